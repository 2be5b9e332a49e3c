/// @file
/// graniteseam-simulation: runs the shipped decision makers of control, routers and servers in
/// virtual time under faults, and judges them by an oracle of its own.
#include <getopt.h>
#include <oneapi/tbb/global_control.h>
#include <oneapi/tbb/parallel_for.h>

#include <algorithm>
#include <chrono>
#include <cstdio>
#include <cstdlib>
#include <map>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

#include "graniteseam/common/seeded_defects.h"
#include "simulation/simulator/run.h"
#include "simulation/traffic_world/traffic_run.h"

namespace {

using graniteseam::Duration;
using graniteseam::simulation::FindScenario;
using graniteseam::simulation::RunOptions;
using graniteseam::simulation::RunResult;
using graniteseam::simulation::RunScenario;
using graniteseam::simulation::Scenario;
using graniteseam::simulation::Scenarios;
using graniteseam::simulation::seeded_traffic_defects;

/// The world of gateways, key ranges and configuration, with faults of its own.
constexpr const char* kTrafficScenario = "traffic";
/// The same without faults of control and of the whole network.
constexpr const char* kTrafficCalmCore = "traffic-calm-core";
/// The same as the first with requests that end each worker that runs them.
constexpr const char* kTrafficCrashing = "traffic-crashing";

/// The same as the first with workers that name limits and ask for rests.
constexpr const char* kTrafficLimits = "traffic-limits";
/// The same as the first with workers that warm up and more gateways, some of which join later.
constexpr const char* kTrafficWarmUps = "traffic-warm-ups";
/// The same as the first with gateways that coordinate admission, and faults of theirs.
constexpr const char* kTrafficCoordination = "traffic-coordination";
constexpr const char* kTrafficPartitions = "traffic-partitions";
/// The same as the first with a configuration that takes many messages to copy to a member.
constexpr const char* kTrafficLargeConfiguration = "traffic-large-configuration";
constexpr int kFurtherRoutes = 1'762;
/// Only what makes gateways retry and forget what they spent on it.
constexpr const char* kTrafficRetries = "traffic-retries";
/// Requests begin to fail at one moment, and most gateways start again soon after.
constexpr const char* kTrafficRetryRestarts = "traffic-retry-restarts";
/// Workers reject requests, and answer requests and orders twice.
constexpr const char* kTrafficSurplusAnswers = "traffic-surplus-answers";
/// Heartbeats are late by any time, also over the crash of their sender.
constexpr const char* kTrafficLateHeartbeats = "traffic-late-heartbeats";

constexpr const char* kUsage =
    "Usage: graniteseam-simulation [OPTION...]\n"
    "  --seeds A:B        run the seeds from A to B (default 1:20)\n"
    "  --seed N           run one seed\n"
    "  --trace            print each event of the run; with --seed\n"
    "  --scenario NAME    inject the faults of one scenario (default any)\n"
    "  --seconds N        virtual seconds of each run (default 60, at least 20)\n"
    "  --threads N        runs at once (default: all processors)\n"
    "  --defect NAME      switch on a seeded defect; succeed when a run finds it\n"
    "  --list             list scenarios and seeded defects\n"
    "  --help, --version\n"
    "Exit status: 0 as promised, 1 a promise was broken (or a defect not found), 2 wrong usage.\n";

struct Settings {
  std::uint64_t first = 1;
  std::uint64_t last = 20;
  bool trace = false;
  std::string scenario = "any";
  std::int64_t seconds = 60;
  int threads = 0;
  std::string defect;
  bool list = false;

  bool Traffic() const {
    return scenario == kTrafficScenario || scenario == kTrafficCalmCore ||
           scenario == kTrafficCrashing || scenario == kTrafficLimits ||
           scenario == kTrafficWarmUps || scenario == kTrafficCoordination ||
           scenario == kTrafficPartitions || scenario == kTrafficRetries ||
           scenario == kTrafficLargeConfiguration || scenario == kTrafficRetryRestarts ||
           scenario == kTrafficSurplusAnswers || scenario == kTrafficLateHeartbeats;
  }
};

[[noreturn]] void ExitWithUsage(const std::string& fault) {
  std::fprintf(stderr, "graniteseam-simulation: %s\n%s", fault.c_str(), kUsage);
  std::exit(2);
}

std::uint64_t ParseNumber(const std::string& text) {
  char* end = nullptr;
  const unsigned long long value = std::strtoull(text.c_str(), &end, 10);
  if (text.empty() || *end != '\0') ExitWithUsage("'" + text + "' is not a number.");
  return value;
}

void ParseSeeds(const std::string& text, Settings& settings) {
  const auto colon = text.find(':');
  if (colon == std::string::npos) ExitWithUsage("--seeds wants A:B.");
  settings.first = ParseNumber(text.substr(0, colon));
  settings.last = ParseNumber(text.substr(colon + 1));
  if (settings.last < settings.first) ExitWithUsage("--seeds wants A not above B.");
}

Settings ParseArguments(int argc, char** argv) {
  static const option kOptions[] = {{"seeds", required_argument, nullptr, 's'},
                                    {"seed", required_argument, nullptr, 'n'},
                                    {"trace", no_argument, nullptr, 't'},
                                    {"scenario", required_argument, nullptr, 'c'},
                                    {"seconds", required_argument, nullptr, 'l'},
                                    {"threads", required_argument, nullptr, 'j'},
                                    {"defect", required_argument, nullptr, 'd'},
                                    {"list", no_argument, nullptr, 'i'},
                                    {"help", no_argument, nullptr, 'h'},
                                    {"version", no_argument, nullptr, 'v'},
                                    {nullptr, 0, nullptr, 0}};
  Settings settings;
  for (int chosen = 0; (chosen = getopt_long(argc, argv, "", kOptions, nullptr)) != -1;) {
    switch (chosen) {
      case 's':
        ParseSeeds(optarg, settings);
        break;
      case 'n':
        settings.first = settings.last = ParseNumber(optarg);
        break;
      case 't':
        settings.trace = true;
        break;
      case 'c':
        settings.scenario = optarg;
        break;
      case 'l':
        settings.seconds = static_cast<std::int64_t>(ParseNumber(optarg));
        break;
      case 'j':
        settings.threads = static_cast<int>(ParseNumber(optarg));
        break;
      case 'd':
        settings.defect = optarg;
        break;
      case 'i':
        settings.list = true;
        break;
      case 'h':
        std::printf("%s", kUsage);
        std::exit(0);
      case 'v':
        std::printf("graniteseam-simulation %s\n", GRANITESEAM_VERSION);
        std::exit(0);
      default:
        ExitWithUsage("unknown option.");
    }
  }
  if (optind < argc) ExitWithUsage(std::string("unexpected argument ") + argv[optind] + ".");
  // The traffic world is left alone for longer at its end.
  const std::int64_t shortest = settings.Traffic() ? 30 : 20;
  if (settings.seconds < shortest) {
    ExitWithUsage("--seconds is below " + std::to_string(shortest) + ".");
  }
  if (settings.trace && settings.first != settings.last) ExitWithUsage("--trace wants --seed.");
  return settings;
}

int List() {
  for (const auto& scenario : Scenarios()) {
    std::printf("scenario %-36s %s\n", scenario.name.c_str(), scenario.description.c_str());
  }
  std::printf("scenario %-36s %s\n", kTrafficScenario,
              "gateways, key ranges and configuration under faults that the seed draws");
  std::printf("scenario %-36s %s\n", kTrafficCalmCore,
              "the same without faults of control and of the whole network");
  std::printf("scenario %-36s %s\n", kTrafficCrashing,
              "traffic with requests that end each worker that runs them");
  std::printf("scenario %-36s %s\n", kTrafficLimits,
              "traffic with workers that name limits, ask for rests and say that they leave");
  std::printf(
      "scenario %-36s %s\n", kTrafficWarmUps,
      "traffic with workers that warm up, zones that restart or are drained, and 24 gateways");
  std::printf("scenario %-36s %s\n", kTrafficCoordination,
              "traffic with six gateways that coordinate admission, and three times the calls");
  std::printf("scenario %-36s %s\n", kTrafficPartitions,
              "traffic with eleven gateways that are partitioned from all workers at times");
  std::printf("scenario %-36s %s\n", kTrafficLargeConfiguration,
              "traffic with a configuration of 1,762 further routes");
  std::printf("scenario %-36s %s\n", kTrafficRetries,
              "24 gateways that stop in turn and are partitioned, while workers shed requests");
  std::printf("scenario %-36s %s\n", kTrafficRetryRestarts,
              "24 gateways, most of which start again as requests begin to fail");
  std::printf("scenario %-36s %s\n", kTrafficSurplusAnswers,
              "workers that reject requests, and answer requests and orders twice");
  std::printf("scenario %-36s %s\n", kTrafficLateHeartbeats,
              "heartbeats that are late by up to 100 s, also over the crash of their sender");
  for (const auto& [defect, name, promise, description] : seeded_traffic_defects()) {
    std::printf("defect   %-36.*s traffic: %.*s\n", static_cast<int>(name.size()), name.data(),
                static_cast<int>(description.size()), description.data());
  }
  for (const auto& [defect, name, description] : graniteseam::SeededDefects()) {
    std::printf("defect   %-36s %s\n", name, description);
  }
  if (!graniteseam::kSeededDefectsCompiled) {
    std::printf("Defects are compiled only with -DGRANITESEAM_SEEDED_DEFECTS=ON.\n");
  }
  return 0;
}

struct Totals {
  std::mutex mutex;  ///< Guards all members.
  std::map<std::string, std::uint64_t> counts;
  std::uint64_t answered = 0;
  std::uint64_t checks = 0;
  std::uint64_t events = 0;
  std::uint64_t runs = 0;
  double retry_bound_used = 0;
  std::map<std::uint64_t, std::vector<std::string>> violations;  ///< By seed.
};

/// Whether a defect was found; one of the traffic world by the promise that it breaks.
bool Found(const Totals& totals, const graniteseam::simulation::SeededTrafficDefect* in_traffic) {
  if (in_traffic == nullptr) return !totals.violations.empty();
  const std::string promise = " us: " + std::string(in_traffic->promise) + ": ";
  return std::any_of(totals.violations.begin(), totals.violations.end(), [&](const auto& entry) {
    return std::any_of(entry.second.begin(), entry.second.end(), [&](const std::string& violation) {
      return violation.find(promise) != std::string::npos;
    });
  });
}

void Add(Totals& totals, const RunResult& result) {
  const std::lock_guard lock(totals.mutex);
  for (const auto& [name, count] : result.counts) totals.counts[name] += count;
  totals.answered += result.answered;
  totals.checks += result.checks;
  totals.events += result.events;
  ++totals.runs;
  totals.retry_bound_used = std::max(totals.retry_bound_used, result.retry_bound_used);
  if (!result.violations.empty()) totals.violations[result.seed] = result.violations;
}

/// The traffic world's defect of a name. @return nullptr when it has none.
const graniteseam::simulation::SeededTrafficDefect* FindTrafficDefect(const std::string& name) {
  static const auto defects = seeded_traffic_defects();
  const auto found = std::find_if(defects.begin(), defects.end(),
                                  [&](const auto& seeded) { return seeded.name == name; });
  return found == defects.end() ? nullptr : &*found;
}

/// Runs one seed. @param scenario not used in the traffic world.
RunResult RunOne(const Settings& settings, const Scenario* scenario, std::uint64_t seed,
                 bool trace) {
  RunOptions options;
  options.seed = seed;
  options.length = std::chrono::seconds(settings.seconds);
  options.trace = trace;
  if (!settings.Traffic()) return RunScenario(*scenario, options);
  const auto* defect = FindTrafficDefect(settings.defect);
  graniteseam::simulation::TrafficWorldOptions world;
  if (defect != nullptr) world.defect = defect->defect;
  world.core_stays_calm = settings.scenario == kTrafficCalmCore;
  world.crashing_requests = settings.scenario == kTrafficCrashing;
  world.stated_limits = settings.scenario == kTrafficLimits;
  world.warm_ups = settings.scenario == kTrafficWarmUps;
  if (world.warm_ups) {
    world.gateways = 24;
    world.spare_gateways = 6;
  }
  if (settings.scenario == kTrafficLargeConfiguration) world.further_routes = kFurtherRoutes;
  if (settings.scenario == kTrafficCoordination) {
    world.coordination = true;
    // Two a zone, so that another one of the same zone takes over the servers of one that is gone.
    world.gateways = 6;
    // Owners of busy keys get more than they can run.
    world.load = 3;
  }
  if (settings.scenario == kTrafficPartitions) {
    world.partitions = true;
    world.gateways = 11;
    world.load = 2;
  }
  if (settings.scenario == kTrafficRetries) {
    world.retries = true;
    world.partitions = true;
    world.nothing_else = true;
    world.gateways = 24;
    // Much of the bound does not depend on the requests.
    world.retry_bound.extra = 190;
  }
  if (settings.scenario == kTrafficRetryRestarts) {
    world.restarts_at_failures = true;
    world.nothing_else = true;
    world.gateways = 24;
    world.load = 4;
  }
  world.surplus_answers = settings.scenario == kTrafficSurplusAnswers;
  if (settings.scenario == kTrafficLateHeartbeats) {
    world.late_heartbeats = true;
    world.nothing_else = true;
  }
  return graniteseam::simulation::run_traffic({options, world});
}

void RunAll(const Settings& settings, const Scenario* scenario, Totals& totals) {
  tbb::parallel_for(settings.first, settings.last + 1, [&](std::uint64_t seed) {
    {
      // A defect is found once; more runs would add nothing.
      const std::lock_guard lock(totals.mutex);
      const bool done =
          !settings.defect.empty() && Found(totals, FindTrafficDefect(settings.defect));
      if (done) return;
    }
    Add(totals, RunOne(settings, scenario, seed, settings.trace));
  });
}

/// Runs the first seed twice. @return whether both runs were the same, bit for bit.
bool Repeats(const Settings& settings, const Scenario* scenario) {
  const RunResult one = RunOne(settings, scenario, settings.first, false);
  const RunResult two = RunOne(settings, scenario, settings.first, false);
  return one.trace_hash == two.trace_hash && one.events == two.events && one.counts == two.counts;
}

void Print(const Totals& totals, double seconds, std::int64_t virtual_seconds) {
  for (const auto& [name, count] : totals.counts) {
    std::printf("%-32s %12llu\n", name.c_str(), static_cast<unsigned long long>(count));
  }
  if (totals.retry_bound_used > 0) {
    std::printf("%-32s %12.2f\n", "bound on retries used, most", totals.retry_bound_used);
  }
  for (const auto& [seed, violations] : totals.violations) {
    for (const auto& violation : violations) {
      std::printf("seed %llu: %s\n", static_cast<unsigned long long>(seed), violation.c_str());
    }
  }
  std::printf(
      "%llu runs of %lld virtual seconds, %llu requests answered, %llu checks, %llu events, "
      "%.1f s, %.0f virtual seconds a second; seeds with violations: %zu\n",
      static_cast<unsigned long long>(totals.runs), static_cast<long long>(virtual_seconds),
      static_cast<unsigned long long>(totals.answered),
      static_cast<unsigned long long>(totals.checks),
      static_cast<unsigned long long>(totals.events), seconds,
      static_cast<double>(totals.runs) * static_cast<double>(virtual_seconds) / seconds,
      totals.violations.size());
}

}  // namespace

int main(int argc, char** argv) {
  const Settings settings = ParseArguments(argc, argv);
  if (settings.list) return List();
  const Scenario* scenario = FindScenario(settings.scenario);
  if (scenario == nullptr && !settings.Traffic()) {
    ExitWithUsage("no scenario " + settings.scenario + "; see --list.");
  }
  const auto* in_traffic = settings.Traffic() ? FindTrafficDefect(settings.defect) : nullptr;
  if (!settings.defect.empty() && in_traffic == nullptr &&
      !graniteseam::EnableDefect(settings.defect)) {
    ExitWithUsage("no defect " + settings.defect + " in this build; see --list.");
  }
  const auto threads = settings.threads > 0 ? static_cast<unsigned>(settings.threads)
                                            : std::thread::hardware_concurrency();
  const tbb::global_control limit(tbb::global_control::max_allowed_parallelism, threads);
  Totals totals;
  const auto started = std::chrono::steady_clock::now();
  RunAll(settings, scenario, totals);
  const std::chrono::duration<double> took = std::chrono::steady_clock::now() - started;
  if (!settings.trace) Print(totals, took.count(), settings.seconds);
  if (!settings.defect.empty()) {
    const bool found = Found(totals, in_traffic);
    std::printf("Defect %s: %s.\n", settings.defect.c_str(), found ? "found" : "NOT FOUND");
    return found ? 0 : 1;
  }
  if (!settings.trace && !Repeats(settings, scenario)) {
    std::printf("Seed %llu does not repeat itself bit for bit.\n",
                static_cast<unsigned long long>(settings.first));
    return 1;
  }
  return totals.violations.empty() ? 0 : 1;
}
