#include "testbed/fleet/run.h"

#include <thread>

#include "src/runtime/clock.h"
#include "testbed/fleet/fault_runner.h"
#include "testbed/fleet/readiness.h"
#include "testbed/fleet/running_fleet.h"
#include "testbed/fleet/version_observer.h"

namespace graniteseam::testbed {

namespace {

constexpr auto kStepPeriod = std::chrono::milliseconds(10);
constexpr Duration kProgressPeriod{5'000'000};
/// How much longer than the traffic callers may take for their last answers.
constexpr Duration kCallersLimit{120'000'000};

/// One run of one scenario.
class Run {
 public:
  Run(const Scenario& scenario, const FleetPaths& paths, const runtime::Logger& log,
      const std::function<bool()>& stop_asked)
      : scenario_(scenario),
        log_(log),
        stop_asked_(stop_asked),
        running_(scenario, paths, log),
        fleet_(running_.fleet()) {}

  Result<FleetReport> Do() {
    BOOST_LEAF_CHECK(running_.Start());
    const OperatorConsole& console = running_.console();
    BOOST_LEAF_AUTO(records, RecordFile::Open(fleet_.paths().Record("runner")));

    std::vector<FaultEvent> events;
    std::vector<std::string> problems;
    std::uint64_t moves = 0;
    {
      const VersionObserver observer(console, records);
      const std::uint64_t moves_before = running_.MovesSoFar();
      BOOST_LEAF_CHECK(fleet_.StartAll(Role::kCaller));
      FaultRunner faults(fleet_, console, records, log_);
      BOOST_LEAF_CHECK(RunTraffic(faults));
      log_.Info("The traffic is over; waiting until everything serves again.");
      const auto recovered = Attempt([&] { return AwaitRecovery(fleet_, records); });
      if (const auto* error = ErrorOf(recovered)) problems.push_back(error->message);
      events = faults.Events();
      for (auto& problem : faults.Problems()) problems.push_back(std::move(problem));
      moves = running_.MovesSoFar() - moves_before;
    }
    running_.Stop();
    return Finish(std::move(events), std::move(problems), moves);
  }

 private:
  /// Lets the traffic run and the faults happen until all callers have their last answers.
  Result<void> RunTraffic(FaultRunner& faults) {
    const Instant start = runtime::BootTimeNow();
    const Instant give_up = start + scenario_.duration + kCallersLimit;
    Instant next_progress = start + kProgressPeriod;
    while (!fleet_.Names(Role::kCaller, true).empty() || !faults.Done()) {
      BOOST_LEAF_CHECK(faults.RunDue());
      const Instant now = runtime::BootTimeNow();
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
  const runtime::Logger& log_;
  const std::function<bool()>& stop_asked_;
  RunningFleet running_;
  Fleet& fleet_;
};

}  // namespace

Result<FleetReport> RunScenario(const Scenario& scenario, const FleetPaths& paths,
                                const runtime::Logger& log,
                                const std::function<bool()>& stop_asked) {
  return Run(scenario, paths, log, stop_asked).Do();
}

}  // namespace graniteseam::testbed
