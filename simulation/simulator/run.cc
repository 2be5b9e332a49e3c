#include "simulation/simulator/run.h"

#include <algorithm>
#include <stdexcept>

#include "simulation/simulator/control_replacements.h"
#include "simulation/simulator/faults.h"

namespace graniteseam::simulation {

namespace {

/// Time to found the group and to roll the first bundle.
constexpr Duration kCalmAtStart{3'000'000};
/// Time without faults at the end, in which all must recover.
constexpr Duration kCalmAtEnd{14'000'000};
/// The last part of it, in which each service must answer.
constexpr Duration kProbe{3'000'000};
constexpr std::uint64_t kAnsweredMinimum = 100;

std::vector<FaultKind> KindsOf(const Scenario& scenario) {
  if (scenario.faults.empty()) return Faults::All();
  std::vector<FaultKind> kinds;
  for (const auto& name : scenario.faults) {
    const auto& all = Faults::All();
    const auto found =
        std::find_if(all.begin(), all.end(), [&](const auto& kind) { return kind.name == name; });
    if (found == all.end()) throw std::logic_error("No fault is called " + name + ".");
    kinds.push_back(*found);
  }
  return kinds;
}

/// Checks that a fleet which was left alone for long enough works again.
void CheckRecovered(World& world, Fleet& fleet, Operators& operators, Callers& callers) {
  const auto missing = [&](const std::string& what) {
    world.oracle.Violate(world.now(), "not recovered at the end: " + what);
  };
  if (fleet.Leader() == nullptr) missing("no leader");
  if (operators.lost_disks() > 0) missing("a lost disk was not replaced");
  for (const auto& router : fleet.routers) {
    if (!router->Ready()) {
      missing(ToString(router->name()) + " is not ready");
    } else if (router->bundle_version() < world.oracle.highest_rolled()) {
      missing(ToString(router->name()) + " has an old bundle");
    }
  }
  const auto answered = callers.TakeAnswered();
  for (const char* service : {kTranscripts, kShutOffs, kBilling}) {
    if (!answered.contains(service)) missing(std::string(service) + " answers nothing");
  }
}

void CheckWorkDone(const Scenario& scenario, World& world, Callers& callers) {
  if (callers.answered() < kAnsweredMinimum) {
    world.oracle.Violate(world.now(), "the run proves nothing: only " +
                                          std::to_string(callers.answered()) +
                                          " requests were answered");
  }
  const bool injected = std::any_of(world.counts().begin(), world.counts().end(),
                                    [](const auto& c) { return c.first.starts_with("fault: "); });
  if (!injected) {
    world.oracle.Violate(world.now(),
                         "the run proves nothing: " + scenario.name + " injected no fault");
  }
  if (world.oracle.operation_runs() == 0) {
    world.oracle.Violate(world.now(), "the run proves nothing: no operation ran");
  }
}

}  // namespace

RunResult RunScenario(const Scenario& scenario, const RunOptions& options) {
  World world(options.seed, options.trace);
  Fleet fleet(world, scenario.replaces_controls ? ReplacedCore() : CoreOptions{});
  Callers callers(world, fleet);
  Operators operators(world, fleet);
  Faults faults(world, fleet, operators);
  ControlReplacements replacements(world, fleet);
  fleet.Start();
  operators.Start();
  callers.Start();
  const TrueTime end = options.length.count();
  const TrueTime calm_from = end - kCalmAtEnd.count();
  if (scenario.replaces_controls) replacements.PlayUntil(calm_from);
  world.queue.After(kCalmAtStart, [&] {
    faults.InjectUntil(KindsOf(scenario), scenario.interval_maximum, scenario.twice, calm_from);
  });
  world.queue.At(calm_from, [&] {
    operators.Rest();
    faults.Heal();
  });
  world.queue.At(end - kProbe.count(), [&] { callers.TakeAnswered(); });
  while (world.queue.Step(end)) {
  }
  CheckRecovered(world, fleet, operators, callers);
  CheckWorkDone(scenario, world, callers);
  if (scenario.replaces_controls) replacements.CheckAtEnd();
  RunResult result;
  result.seed = options.seed;
  result.violations = world.oracle.violations();
  result.counts = world.counts();
  result.answered = callers.answered();
  result.checks = world.oracle.checks();
  result.events = world.queue.added();
  result.trace_hash = world.trace_hash();
  return result;
}

}  // namespace graniteseam::simulation
