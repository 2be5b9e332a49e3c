#include "testbed/fleet/run.h"

#include <thread>

#include "src/platform/clock.h"
#include "testbed/fleet/bundle_file.h"
#include "testbed/fleet/fault_runner.h"
#include "testbed/fleet/fleet.h"
#include "testbed/fleet/operator_console.h"
#include "testbed/fleet/readiness.h"
#include "testbed/fleet/version_observer.h"
#include "testbed/support/text_file.h"

namespace graniteseam::testbed {

namespace {

constexpr auto kStepPeriod = std::chrono::milliseconds(10);
constexpr Duration kProgressPeriod{5'000'000};
constexpr Duration kStopLimit{10'000'000};
/// How much longer than the traffic callers may take for their last answers.
constexpr Duration kCallersLimit{120'000'000};

/// One run of one scenario.
class Run {
 public:
  Run(const Scenario& scenario, const FleetPaths& paths, const platform::Logger& log,
      const std::function<bool()>& stop_asked)
      : scenario_(scenario), log_(log), stop_asked_(stop_asked), fleet_(scenario, paths) {}

  Result<FleetReport> Do() {
    BOOST_LEAF_CHECK(fleet_.Prepare());
    std::vector<platform::SocketAddress> control;
    for (const auto& name : fleet_.Names(Role::kControl)) {
      control.push_back(fleet_.member(name).http_address());
    }
    const OperatorConsole console(fleet_.paths(), fleet_.credentials(), control);
    BOOST_LEAF_AUTO(records, RecordFile::Open(fleet_.paths().Record("runner")));
    BOOST_LEAF_CHECK(StartFleet(console));

    std::vector<FaultEvent> events;
    std::vector<std::string> problems;
    std::uint64_t moves = 0;
    {
      const VersionObserver observer(console, records);
      const std::uint64_t moves_before = MovesSoFar(console);
      BOOST_LEAF_CHECK(fleet_.StartAll(Role::kCaller));
      FaultRunner faults(fleet_, console, records, log_);
      BOOST_LEAF_CHECK(RunTraffic(faults));
      log_.Info("The traffic is over; waiting until everything serves again.");
      const auto recovered = Attempt([&] { return AwaitRecovery(fleet_, records); });
      if (const auto* error = ErrorOf(recovered)) problems.push_back(error->message);
      events = faults.Events();
      for (auto& problem : faults.Problems()) problems.push_back(std::move(problem));
      moves = MovesSoFar(console) - moves_before;
    }
    StopFleet();
    return Finish(std::move(events), std::move(problems), moves);
  }

 private:
  Result<void> StartFleet(const OperatorConsole& console) {
    log_.Info("Starting {} in {}.", scenario_.name, fleet_.paths().folder);
    BOOST_LEAF_CHECK(fleet_.StartAll(Role::kPlatform));
    BOOST_LEAF_CHECK(fleet_.StartAll(Role::kControl));
    BOOST_LEAF_CHECK(fleet_.StartAll(Role::kServer));
    BOOST_LEAF_CHECK(fleet_.StartAll(Role::kRouter));
    BOOST_LEAF_CHECK(AwaitLeader(console));
    log_.Info("A control leader is elected; rolling bundle version 1.");
    BOOST_LEAF_CHECK(RollFirstBundle(console));
    BOOST_LEAF_CHECK(AwaitServing(fleet_, console));
    log_.Info("{} servers hold their leases; {} routers are ready.",
              fleet_.Names(Role::kServer, true).size(), fleet_.Names(Role::kRouter, true).size());
    return {};
  }

  Result<void> RollFirstBundle(const OperatorConsole& console) {
    std::vector<std::string> files;
    for (const auto& deployment : scenario_.deployments) files.push_back(deployment.bundle);
    BOOST_LEAF_AUTO(text, JoinBundles(files, 1, "fleet-author"));
    const std::string path = fleet_.paths().folder + "/bundle-1.toml";
    BOOST_LEAF_CHECK(WriteTextFile(path, text));
    BOOST_LEAF_AUTO(result, console.Roll(path));
    if (result.exit_code == 0) return {};
    return Fail(ErrorKind::kFailedPrecondition,
                "Bundle version 1 could not be rolled: " + result.output,
                "Mend the bundles that the scenario's deployments name.");
  }

  /// Lets the traffic run and the faults happen until all callers have their last answers.
  Result<void> RunTraffic(FaultRunner& faults) {
    const Instant start = platform::BootTimeNow();
    const Instant give_up = start + scenario_.duration + kCallersLimit;
    Instant next_progress = start + kProgressPeriod;
    while (!fleet_.Names(Role::kCaller, true).empty() || !faults.Done()) {
      BOOST_LEAF_CHECK(faults.RunDue());
      const Instant now = platform::BootTimeNow();
      if (now >= next_progress) {
        ShowProgress(now - start);
        next_progress = now + kProgressPeriod;
      }
      if (stop_asked_() || now >= give_up) {
        return Fail(ErrorKind::kUnavailable, "The run was ended before its callers were done.",
                    "Run it again, or look at the callers' logs.");
      }
      std::this_thread::sleep_for(kStepPeriod);
    }
    faults.Finish();
    return {};
  }

  void ShowProgress(Duration since_start) {
    constexpr std::int64_t kMicrosPerSecond = 1'000'000;
    log_.Info("{} of {} s; {} servers, {} routers, {} control processes run.",
              since_start.count() / kMicrosPerSecond, scenario_.duration.count() / kMicrosPerSecond,
              fleet_.Names(Role::kServer, true).size(), fleet_.Names(Role::kRouter, true).size(),
              fleet_.Names(Role::kControl, true).size());
  }

  std::uint64_t MovesSoFar(const OperatorConsole& console) {
    const auto view = Attempt([&] { return console.Fleet(); });
    return ErrorOf(view) == nullptr ? std::get<control::FleetView>(view).shard_moves : 0;
  }

  void StopFleet() {
    fleet_.StopAll(Role::kRouter, kStopLimit);
    // Their work has nowhere to go any more, so that a planned stop would wait in vain.
    for (const auto& name : fleet_.Names(Role::kServer, true)) fleet_.Kill(name);
    fleet_.StopAll(Role::kControl, kStopLimit);
    fleet_.StopAll(Role::kPlatform, kStopLimit);
  }

  Result<FleetReport> Finish(std::vector<FaultEvent> events, std::vector<std::string> problems,
                             std::uint64_t moves) {
    BOOST_LEAF_AUTO(history, ReadHistory(fleet_.paths().folder + "/records"));
    auto report = MakeReport(scenario_, history);
    report.events = std::move(events);
    report.shard_moves = moves;
    for (auto& problem : problems) report.problems.push_back(std::move(problem));
    return report;
  }

  const Scenario& scenario_;
  const platform::Logger& log_;
  const std::function<bool()>& stop_asked_;
  Fleet fleet_;
};

}  // namespace

Result<FleetReport> RunScenario(const Scenario& scenario, const FleetPaths& paths,
                                const platform::Logger& log,
                                const std::function<bool()>& stop_asked) {
  return Run(scenario, paths, log, stop_asked).Do();
}

}  // namespace graniteseam::testbed
