// planned-move, server-drain, router-stop, bundle-rollout: changes that nobody may notice.

#include <fmt/format.h>

#include <csignal>

#include "testbed/experiment/experiments.h"
#include "testbed/experiment/fault_experiment.h"
#include "testbed/fleet/bundle_file.h"
#include "testbed/support/text_file.h"

namespace graniteseam::testbed {

namespace {

constexpr std::uint32_t kChanges = 50;
constexpr Duration kMoveWindow{1'000'000};
constexpr Duration kStopLimit{20'000'000};
constexpr Duration kBetween{1'000'000};
constexpr double kAddedLimitMs = 50.0;
constexpr double kMicrosPerMilli = 1e3;

/// The figures of a change that must cost no request and little time.
void AddUnnoticed(const FaultRun& run, const SessionRecords& records, Measurement& result) {
  const std::vector<double> disturbed = LatenciesOfDisturbed(run, records.requests);
  const double disturbed_p99 = Percentile(disturbed, 0.99);
  const double undisturbed_p99 = Percentile(LatenciesUndisturbed(run, records.requests), 0.99);
  result.AddAtMost("failed_requests_count", static_cast<double>(FailedCount(records.requests)),
                   0.0);
  result.AddAtMost("added_p99_ms", disturbed_p99 - undisturbed_p99, kAddedLimitMs);
  result.Add("disturbed_p99_ms", disturbed_p99);
  result.Add("undisturbed_p99_ms", undisturbed_p99);
  result.Add("disturbed_requests_count", static_cast<double>(disturbed.size()));
}

/// Fails when a command of graniteseamctl was refused.
Result<void> Demand(const CommandResult& result, const std::string& what) {
  if (result.exit_code == 0) return {};
  return Fail(ErrorKind::kFailedPrecondition, what + " was refused: " + result.output,
              "Run graniteseamctl by hand against such a fleet to see why.");
}

class PlannedMove : public FaultExperiment {
 public:
  std::string_view name() const override { return "planned-move"; }
  std::string_view question() const override {
    return "Do callers notice when an operator moves a busy shard?";
  }

 protected:
  FaultPlan plan() const override { return {kChanges, 0.5, 2.0, false}; }

  Result<void> Disturb(FaultRun& run, std::uint32_t number) const override {
    const ShardId shard = BusyShard(run, number);
    BOOST_LEAF_AUTO(view, run.session.Shards());
    std::string owner;
    for (const auto& entry : view.shards) {
      if (entry.shard == shard) owner = entry.owner.value;
    }
    std::string target;
    for (const auto& entry : view.shards) {
      const bool other = entry.shard.service == shard.service && entry.owner.value != owner;
      if (other) target = entry.owner.value;
    }
    const std::int64_t from = NowMicros();
    run.disturbances.push_back({from, from + kMoveWindow.count(), {shard}});
    BOOST_LEAF_AUTO(moved, run.session.console().Run({"shard", "move", shard.service.value,
                                                      std::to_string(shard.index), target}));
    BOOST_LEAF_CHECK(Demand(moved, "The move"));
    FleetSession::Pause(kMoveWindow);
    return {};
  }

  void Summarise(const FaultRun& run, const SessionRecords& records,
                 Measurement& result) const override {
    AddUnnoticed(run, records, result);
  }

 private:
  /// The shards of the keys that the traffic uses most.
  static ShardId BusyShard(const FaultRun& run, std::uint32_t number) {
    constexpr std::uint32_t kBusyKeys = 10;
    const std::string rank = std::to_string(number / 2 % kBusyKeys);
    return number % 2 == 0 ? run.shard_of("transcripts", "a-" + rank)
                           : run.shard_of("readings", "hostel-" + rank);
  }
};

class ServerDrain : public FaultExperiment {
 public:
  std::string_view name() const override { return "server-drain"; }
  std::string_view question() const override {
    return "Do callers notice when a server that owns keys is stopped as planned?";
  }

 protected:
  FaultPlan plan() const override { return {kChanges, 0.5, 1.0, false}; }

  Result<void> Disturb(FaultRun& run, std::uint32_t number) const override {
    BOOST_LEAF_AUTO(owner, run.PickOwner(number));
    BOOST_LEAF_AUTO(before, run.session.Shards());
    const std::int64_t from = NowMicros();
    BOOST_LEAF_CHECK(run.session.fleet().Leave(owner));
    run.session.WaitUntil(kStopLimit, [&] { return !run.session.fleet().member(owner).Running(); });
    const std::int64_t until = NowMicros();
    run.samples["stop"].push_back(static_cast<double>(until - from) / kMicrosPerMilli);
    run.disturbances.push_back({from, until, OwnedBy(before, owner)});
    BOOST_LEAF_CHECK(run.session.fleet().Start(owner));
    FleetSession::Pause(kBetween);
    return {};
  }

  void Summarise(const FaultRun& run, const SessionRecords& records,
                 Measurement& result) const override {
    AddUnnoticed(run, records, result);
    result.Add("stop_p50_ms", Percentile(run.samples.at("stop"), 0.5));
    result.Add("stop_p99_ms", Percentile(run.samples.at("stop"), 0.99));
  }
};

class RouterStop : public FaultExperiment {
 public:
  std::string_view name() const override { return "router-stop"; }
  std::string_view question() const override {
    return "Do callers notice when a router is stopped as planned?";
  }

 protected:
  FaultPlan plan() const override { return {kChanges, 0.5, 1.0, false}; }

  Result<void> Disturb(FaultRun& run, std::uint32_t number) const override {
    const std::string router = run.PickRouter(number);
    const std::int64_t from = NowMicros();
    run.session.fleet().Signal(router, SIGTERM);
    run.session.WaitUntil(kStopLimit,
                          [&] { return !run.session.fleet().member(router).Running(); });
    const std::int64_t until = NowMicros();
    run.samples["stop"].push_back(static_cast<double>(until - from) / kMicrosPerMilli);
    run.disturbances.push_back({from, until, {}});
    BOOST_LEAF_CHECK(run.session.fleet().Start(router));
    FleetSession::Pause(kBetween);
    return {};
  }

  void Summarise(const FaultRun& run, const SessionRecords& records,
                 Measurement& result) const override {
    std::vector<double> during;
    for (const RequestView& request : records.requests) {
      for (const Disturbance& span : run.disturbances) {
        const bool within = request.due_us >= span.from_us && request.due_us < span.until_us;
        if (within && request.answered && !request.key.empty()) {
          during.push_back(request.LatencyMs());
        }
      }
    }
    const double undisturbed_p99 = Percentile(LatenciesUndisturbed(run, records.requests), 0.99);
    result.AddAtMost("failed_requests_count", static_cast<double>(FailedCount(records.requests)),
                     0.0);
    result.AddAtMost("added_p99_ms", Percentile(during, 0.99) - undisturbed_p99, kAddedLimitMs);
    result.Add("undisturbed_p99_ms", undisturbed_p99);
    result.Add("disturbed_requests_count", static_cast<double>(during.size()));
    result.Add("stop_p50_ms", Percentile(run.samples.at("stop"), 0.5));
    result.Add("stop_p99_ms", Percentile(run.samples.at("stop"), 0.99));
    result.remarks.emplace_back(
        "The stand-in callers wait 100 ms before they send again through their zone's other "
        "router; that wait is in the added time.");
  }
};

class BundleRollout : public FaultExperiment {
 public:
  std::string_view name() const override { return "bundle-rollout"; }
  std::string_view question() const override {
    return "How soon is a new bundle version in force on every process?";
  }

 protected:
  FaultPlan plan() const override { return {100, 0.5, 1.0, false}; }

  Result<void> Disturb(FaultRun& run, std::uint32_t number) const override {
    const std::uint64_t version = number + 2;  // The fleet started with version 1.
    BOOST_LEAF_AUTO(file, WriteBundle(run, version));
    for (const char* step : {"submit", "sign"}) {
      BOOST_LEAF_AUTO(result, run.session.console().Run({"bundle", step, file}));
      BOOST_LEAF_CHECK(Demand(result, step));
    }
    const std::int64_t from = NowMicros();
    BOOST_LEAF_AUTO(rolled, run.session.console().Run({"bundle", "roll", file}));
    BOOST_LEAF_CHECK(Demand(rolled, "roll"));
    run.samples["accepted"].push_back(static_cast<double>(NowMicros() - from) / kMicrosPerMilli);
    run.session.WaitUntil(kStopLimit, [&] { return InForceEverywhere(run, version); });
    run.samples["in_force"].push_back(static_cast<double>(NowMicros() - from) / kMicrosPerMilli);
    return {};
  }

  void Summarise(const FaultRun& run, const SessionRecords& records,
                 Measurement& result) const override {
    AddLatencies(result, "in_force_everywhere", run.samples.at("in_force"), 1'000.0);
    result.Add("accepted_p50_ms", Percentile(run.samples.at("accepted"), 0.5));
    result.AddAtMost("failed_requests_count", static_cast<double>(FailedCount(records.requests)),
                     0.0);
    result.remarks.emplace_back(
        "In force: from the start of the roll command until the leader's view shows the version "
        "for every router that runs; the command's own process is in it.");
  }

 private:
  static Result<std::string> WriteBundle(const FaultRun& run, std::uint64_t version) {
    std::vector<std::string> files;
    for (const auto& deployment : run.session.fleet().scenario().deployments) {
      files.push_back(deployment.bundle);
    }
    BOOST_LEAF_AUTO(text, JoinBundles(files, version, "experiment-author"));
    std::string path =
        fmt::format("{}/bundle-{}.toml", run.session.fleet().paths().folder, version);
    BOOST_LEAF_CHECK(WriteTextFile(path, text));
    return path;
  }

  static bool InForceEverywhere(const FaultRun& run, std::uint64_t version) {
    const std::size_t routers = run.session.fleet().Names(Role::kRouter, true).size();
    for (const auto& view : run.session.console().BundlesFromEachLeader()) {
      std::size_t shown = 0;
      bool all = view.in_force.value == version;
      for (const auto& process : view.processes) {
        all = all && process.version.value == version;
        if (process.kind == "router") ++shown;
      }
      if (all && shown >= routers) return true;
    }
    return false;
  }
};

}  // namespace

std::unique_ptr<Experiment> MakePlannedMove() { return std::make_unique<PlannedMove>(); }
std::unique_ptr<Experiment> MakeServerDrain() { return std::make_unique<ServerDrain>(); }
std::unique_ptr<Experiment> MakeRouterStop() { return std::make_unique<RouterStop>(); }
std::unique_ptr<Experiment> MakeBundleRollout() { return std::make_unique<BundleRollout>(); }

}  // namespace graniteseam::testbed
