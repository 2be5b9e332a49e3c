#include "testbed/soak/arguments.h"

#include <getopt.h>

#include <algorithm>
#include <cstdio>
#include <cstdlib>
#include <filesystem>
#include <random>
#include <string_view>

namespace graniteseam::testbed::soak {

namespace {

    constexpr char usage[]
        = "Usage: graniteseam-soak [--seed N] [--seeds N] [--parallel K] [--size small|large|crowd|wide] "
          "[--faults N] [--only KINDS]\n"
          "                        [--crashing] [--silencing] [--starving] [--stating] [--warming]\n"
          "                        [--coordinating] [--stopping] [--rejecting] [--faulty-answers]\n"
          "                        [--hostile-clients] [--replacing]\n"
          "                        [--processor SHARE] [--keep] [--folder DIR] [--programs DIR] "
          "[--templates DIR]\n"
          "  --seed N       first seed; without it one is drawn and printed\n"
          "  --seeds N      how many, from the first on (1)\n"
          "  --parallel K   how many side by side (1), as long as they start at most 60 processes together\n"
          "  --size SIZE    of all runs; without it drawn from the seed, one in four large, none a crowd or "
          "wide\n"
          "  --crashing     some requests end each worker that runs them, as in a crowd\n"
          "  --silencing    open connections with control fall silent for good, and new ones work\n"
          "  --starving     control processes get hardly any processor time, or a narrow link, for seconds\n"
          "  --stating      workers name limits, ask for rests and say that they leave\n"
          "  --warming      workers warm up after their starts\n"
          "  --coordinating routers coordinate admission at workers whose leases come by heartbeat\n"
          "  --stopping     planned faults only: series of stops of routers with little processor time, and\n"
          "                 callers that rest and send around the close of a router that stops\n"
          "  --rejecting    all workers begin to reject requests at one moment, and all routers start again\n"
          "                 soon after\n"
          "  --replacing    control processes are replaced for good at other addresses, in series and\n"
          "                 overlapping, planned and not, until none of the first ones is left\n"
          "  --hostile-clients clients that keep to no limit send without end, stop short or read nothing\n"
          "  --faulty-answers workers reject requests, and repeat, cut, withhold or spoil answers; further\n"
          "                 callers send requests that may run once only\n"
          "  --processor X  part of a core that each control process and each router may use\n"
          "  --keep         logs and data of seeds that kept every promise, too\n"
          "  --faults N     of each run (20, a large one 45, a crowd 10)\n"
          "  --only KINDS   faults of these kinds alone, such as kill_router,cut_control\n"
          "  --folder DIR   for data and logs; those of failed seeds are kept\n"
          "  --programs DIR where graniteseam-platform-* are (beside this program)\n"
          "  --templates DIR where their settings templates are (platform)\n";

    auto read_size(std::string_view text) -> std::optional<RunSize>
    {
        if (text == "small")
            return RunSize::Small;
        if (text == "large")
            return RunSize::Large;
        if (text == "crowd")
            return RunSize::Crowd;
        if (text == "wide")
            return RunSize::Wide;
        return std::nullopt;
    }

    /// Adds kinds of faults, separated by commas.
    auto read_kinds(std::string_view text, std::set<FaultKind>& kinds) -> bool
    {
        while (!text.empty()) {
            auto const name = text.substr(0, text.find(','));
            auto const kind = kind_named(name);
            if (!kind) {
                std::fprintf(stderr, "There is no kind of fault with the name '%.*s'.\n",
                    static_cast<int>(name.size()), name.data());
                return false;
            }
            kinds.insert(*kind);
            text.remove_prefix(std::min(text.size(), name.size() + 1));
        }
        return true;
    }

} // namespace

auto read_arguments(int argc, char** argv) -> std::optional<Arguments>
{
    static option const options[] = {{"seed", required_argument, nullptr, 's'},
        {"seeds", required_argument, nullptr, 'n'}, {"parallel", required_argument, nullptr, 'k'},
        {"size", required_argument, nullptr, 'z'}, {"crashing", no_argument, nullptr, 'x'},
        {"silencing", no_argument, nullptr, 'i'}, {"stating", no_argument, nullptr, 'g'},
        {"starving", no_argument, nullptr, 'v'}, {"warming", no_argument, nullptr, 'w'},
        {"coordinating", no_argument, nullptr, 'o'}, {"stopping", no_argument, nullptr, 'b'},
        {"rejecting", no_argument, nullptr, 'r'}, {"faulty-answers", no_argument, nullptr, 'a'},
        {"hostile-clients", no_argument, nullptr, 'h'}, {"processor", required_argument, nullptr, 'c'},
        {"replacing", no_argument, nullptr, 'm'}, {"keep", no_argument, nullptr, 'e'},
        {"faults", required_argument, nullptr, 'f'}, {"only", required_argument, nullptr, 'l'},
        {"folder", required_argument, nullptr, 'd'}, {"programs", required_argument, nullptr, 'p'},
        {"templates", required_argument, nullptr, 't'}, {}};
    Arguments arguments;
    arguments.first_seed = std::random_device {}();
    arguments.programs = std::filesystem::path(argv[0]).parent_path();
    for (int c = 0; (c = getopt_long(argc, argv, "", options, nullptr)) != -1;) {
        switch (c) {
        case 's':
            arguments.first_seed = std::strtoull(optarg, nullptr, 10);
            break;
        case 'n':
            arguments.seeds = std::strtoull(optarg, nullptr, 10);
            break;
        case 'k':
            arguments.parallel = std::max(1ULL, std::strtoull(optarg, nullptr, 10));
            break;
        case 'z':
            arguments.size = read_size(optarg);
            if (!arguments.size) {
                std::fputs(usage, stderr);
                return std::nullopt;
            }
            break;
        case 'x':
            arguments.crashing = true;
            break;
        case 'i':
            arguments.silencing = true;
            break;
        case 'v':
            arguments.starving = true;
            break;
        case 'g':
            arguments.stating = true;
            break;
        case 'w':
            arguments.warming = true;
            break;
        case 'o':
            arguments.coordinating = true;
            break;
        case 'b':
            arguments.stopping = true;
            break;
        case 'r':
            arguments.rejecting = true;
            break;
        case 'm':
            arguments.replacing = true;
            break;
        case 'a':
            arguments.faulty_answers = true;
            break;
        case 'h':
            arguments.hostile_clients = true;
            break;
        case 'e':
            arguments.keep = true;
            break;
        case 'c':
            arguments.processor = std::strtod(optarg, nullptr);
            break;
        case 'f':
            arguments.faults = static_cast<std::uint32_t>(std::strtoul(optarg, nullptr, 10));
            break;
        case 'l':
            if (!read_kinds(optarg, arguments.only)) {
                std::fputs(usage, stderr);
                return std::nullopt;
            }
            break;
        case 'd':
            arguments.folder = optarg;
            break;
        case 'p':
            arguments.programs = optarg;
            break;
        case 't':
            arguments.templates = optarg;
            break;
        default:
            std::fputs(usage, stderr);
            return std::nullopt;
        }
    }
    return arguments;
}

} // namespace graniteseam::testbed::soak
