#include "testbed/soak/soak.h"

#include <getopt.h>

#include <algorithm>
#include <cstdio>
#include <cstdlib>
#include <filesystem>
#include <map>
#include <optional>
#include <random>
#include <thread>

#include "src/runtime/clock.h"
#include "testbed/soak/load.h"
#include "testbed/soak/soaked_fleet.h"

namespace graniteseam::testbed::soak {

namespace {

    constexpr std::size_t callers = 4;
    /// The users give this long to recover after the last fault.
    constexpr Duration recovery {15'000'000};
    /// How long it is looked whether requests are served again.
    constexpr Duration final_look {4'000'000};
    constexpr int exit_breach = 1;
    constexpr int exit_usage = 2;

    struct Arguments {
        std::uint64_t first_seed = 0;
        std::uint64_t seeds = 1;
        std::uint32_t faults = 10;
        std::string folder = "/tmp/graniteseam-soak";
        std::string programs;
        std::string templates = "platform";
    };

    constexpr char usage[] = "Usage: graniteseam-soak [--seed N] [--seeds N] [--faults N] [--folder DIR] "
                             "[--programs DIR] [--templates DIR]\n"
                             "  --seed N       first seed; without it one is drawn and printed\n"
                             "  --seeds N      how many, one after the other (1)\n"
                             "  --faults N     of each run (10)\n"
                             "  --folder DIR   for data and logs; those of failed seeds are kept\n"
                             "  --programs DIR where graniteseam-platform-* are (beside this program)\n"
                             "  --templates DIR where their settings templates are (platform)\n";

    auto read_arguments(int argc, char** argv) -> std::optional<Arguments>
    {
        static option const options[] = {{"seed", required_argument, nullptr, 's'},
            {"seeds", required_argument, nullptr, 'n'}, {"faults", required_argument, nullptr, 'f'},
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
            case 'f':
                arguments.faults = static_cast<std::uint32_t>(std::strtoul(optarg, nullptr, 10));
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

    auto sleep_until(Instant instant) -> void
    {
        auto const left = instant - runtime::BootTimeNow();
        if (left > Duration {})
            std::this_thread::sleep_for(left);
    }

    auto play(SoakedFleet& fleet, std::vector<Fault> const& plan, Instant start) -> void
    {
        struct Step {
            Fault const* fault;
            bool begins;
        };
        std::multimap<Duration, Step> steps;
        for (auto const& fault : plan) {
            steps.emplace(fault.at, Step {&fault, true});
            steps.emplace(fault.at + fault.span, Step {&fault, false});
        }
        for (auto const& [at, step] : steps) {
            sleep_until(start + at);
            step.begins ? fleet.begin(*step.fault) : fleet.undo(*step.fault);
        }
    }

    auto print_plan(std::vector<Fault> const& plan) -> void
    {
        for (auto const& fault : plan) {
            std::printf("  %6.2f s to %6.2f s  %s %u\n", std::chrono::duration<double>(fault.at).count(),
                std::chrono::duration<double>(fault.at + fault.span).count(),
                std::string(name_of(fault.kind)).c_str(), fault.target);
        }
    }

    auto count_end(Observed& seen, Instant from) -> void
    {
        for (auto const& answer : seen.answers) {
            if (answer.sent < from)
                continue;
            ++seen.asked_at_the_end;
            if (answer.status == 200)
                ++seen.served_at_the_end;
        }
    }

    /// @return whether every promise was kept.
    auto soak(std::uint64_t seed, Arguments const& arguments, ProgramNames const& names) -> bool
    {
        PlanBounds bounds;
        bounds.faults = arguments.faults;
        auto const plan = plan_faults(seed, bounds);
        FleetOptions options;
        options.programs = arguments.programs;
        options.templates = arguments.templates;
        options.folder = arguments.folder + "/seed-" + std::to_string(seed);
        std::filesystem::remove_all(options.folder);
        SoakedFleet fleet(options, names);
        Endpoints endpoints {{}, fleet.registries(), names.exchange};
        for (std::uint32_t i = 0; i < options.routers; ++i)
            endpoints.routers.push_back(fleet.caller_address(i));

        Observed seen;
        SeenByOperator by_operator;
        std::vector<std::vector<SeenAnswer>> answers(callers);
        auto const start = runtime::BootTimeNow();
        auto const settled = start + bounds.last + recovery;
        {
            std::vector<std::jthread> threads;
            threads.emplace_back(
                [&](std::stop_token const& stop) { by_operator = run_operator(endpoints, seed, stop); });
            for (std::size_t i = 0; i < callers; ++i) {
                threads.emplace_back([&, i](std::stop_token const& stop) {
                    answers[i] = run_caller(endpoints, seed + i + 1, "a" + std::to_string(i), stop);
                });
            }
            play(fleet, plan, start);
            sleep_until(settled + final_look);
        }
        for (auto& it : answers)
            std::move(it.begin(), it.end(), std::back_inserter(seen.answers));
        seen.changes = std::move(by_operator.changes);
        seen.reads = std::move(by_operator.reads);
        fleet.collect(seen);
        count_end(seen, settled);

        auto const breaches = check_promises(seen);
        auto const served = std::count_if(
            seen.answers.begin(), seen.answers.end(), [](auto const& it) { return it.status == 200; });
        std::printf("seed %llu: %zu faults, %zu attempts, %zd served, %zu runs, %zu changes sent, %zu reads, "
                    "at the end %llu of %llu served, %zu breaches\n",
            static_cast<unsigned long long>(seed), plan.size(), seen.answers.size(),
            static_cast<ssize_t>(served), seen.runs.size(), seen.changes.size(), seen.reads.size(),
            static_cast<unsigned long long>(seen.served_at_the_end),
            static_cast<unsigned long long>(seen.asked_at_the_end), breaches.size());
        for (auto const& breach : breaches)
            std::printf("  BROKEN %s: %s\n", breach.promise.c_str(), breach.detail.c_str());
        if (!breaches.empty()) {
            print_plan(plan);
            std::printf("  logs and data: %s\n", options.folder.c_str());
        }
        std::fflush(stdout);
        if (breaches.empty())
            std::filesystem::remove_all(options.folder);
        return breaches.empty();
    }

} // namespace

auto run_soak(ProgramNames const& names, int argc, char** argv) -> int
{
    auto const arguments = read_arguments(argc, argv);
    if (!arguments)
        return exit_usage;
    bool kept = true;
    for (std::uint64_t i = 0; i < arguments->seeds; ++i)
        kept = soak(arguments->first_seed + i, *arguments, names) && kept;
    return kept ? 0 : exit_breach;
}

} // namespace graniteseam::testbed::soak
