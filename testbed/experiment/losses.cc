// owner-loss, freeze-wake, leader-loss, leader-and-owner-loss: what callers notice when processes
// are killed or frozen without warning.

#include <csignal>
#include <map>

#include "testbed/experiment/experiments.h"
#include "testbed/experiment/fault_experiment.h"

namespace graniteseam::testbed {

namespace {

constexpr Duration kWindow{3'000'000};    // Losses are over within it, or counted as this long.
constexpr Duration kRecovery{3'000'000};  // For the restarted process to come back.
constexpr Duration kFrozen{5'000'000};
constexpr Duration kLeaderLimit{20'000'000};
constexpr double kDelayedMs = 100.0;

/// Figures of unavailable time: over all keys, and for each keyed service.
void AddUnavailable(const FaultRun& run, const SessionRecords& records, double limit_ms,
                    Measurement& result) {
  std::vector<RequestView> keyed;
  std::map<std::string, std::vector<RequestView>> by_service;
  for (const RequestView& request : records.requests) {
    if (!request.key.empty()) by_service[request.service].push_back(request);
  }
  AddLatencies(result, "key_unavailable",
               UnavailableMs(records.requests, run.disturbances, run.shard_of, kDelayedMs),
               limit_ms);
  for (const auto& [service, requests] : by_service) {
    AddLatencies(result, service + "_key_unavailable",
                 UnavailableMs(requests, run.disturbances, run.shard_of, kDelayedMs), limit_ms);
  }
  result.Add("failed_requests_count", static_cast<double>(FailedCount(records.requests)));
}

double Sum(const std::vector<double>& samples) {
  return Mean(samples) * static_cast<double>(samples.size());
}

/// Shards that another server owns than before, though their owner was not the lost one.
std::size_t OthersMoved(const control::ShardsView& before, const control::ShardsView& after,
                        const std::string& lost) {
  std::map<ShardId, ServerId> owners;
  for (const auto& entry : before.shards) owners[entry.shard] = entry.owner;
  std::size_t moved = 0;
  for (const auto& entry : after.shards) {
    const ServerId& owner = owners[entry.shard];
    if (owner.value != lost && owner != entry.owner) ++moved;
  }
  return moved;
}

class OwnerLoss : public FaultExperiment {
 public:
  std::string_view name() const override { return "owner-loss"; }
  std::string_view question() const override {
    return "How long are keys unavailable when their owner is killed?";
  }

 protected:
  FaultPlan plan() const override { return {}; }

  Result<void> Disturb(FaultRun& run, std::uint32_t number) const override {
    BOOST_LEAF_AUTO(owner, run.PickOwner(number));
    BOOST_LEAF_AUTO(before, run.session.Shards());
    const std::int64_t from = NowMicros();
    run.session.fleet().Kill(owner);
    run.disturbances.push_back({from, from + kWindow.count(), OwnedBy(before, owner)});
    FleetSession::Pause(kWindow);
    BOOST_LEAF_AUTO(after, run.session.Shards());
    run.samples["others_moved"].push_back(static_cast<double>(OthersMoved(before, after, owner)));
    BOOST_LEAF_CHECK(run.session.fleet().Start(owner));
    FleetSession::Pause(kRecovery);
    return {};
  }

  void Summarise(const FaultRun& run, const SessionRecords& records,
                 Measurement& result) const override {
    AddUnavailable(run, records, 1'000.0, result);
    result.AddAtMost("other_servers_shards_moved_count", Sum(run.samples.at("others_moved")), 0.0);
  }
};

class FreezeWake : public FaultExperiment {
 public:
  std::string_view name() const override { return "freeze-wake"; }
  std::string_view question() const override {
    return "How long are keys unavailable when their owner freezes, and does it run anything when "
           "it wakes?";
  }

 protected:
  FaultPlan plan() const override { return {}; }

  Result<void> Disturb(FaultRun& run, std::uint32_t number) const override {
    BOOST_LEAF_AUTO(owner, run.PickOwner(number));
    BOOST_LEAF_AUTO(before, run.session.Shards());
    const std::int64_t from = NowMicros();
    run.session.fleet().Signal(owner, SIGSTOP);
    run.disturbances.push_back({from, from + kWindow.count(), OwnedBy(before, owner)});
    FleetSession::Pause(kFrozen);
    run.session.fleet().Signal(owner, SIGCONT);
    FleetSession::Pause(kRecovery);
    return {};
  }

  void Summarise(const FaultRun& run, const SessionRecords& records,
                 Measurement& result) const override {
    AddUnavailable(run, records, 1'000.0, result);
    result.remarks.emplace_back(
        "A request that the old owner ran after its lease would be a violation.");
  }
};

struct LostLeader {
  std::string name;
  std::int64_t at_us = 0;
};

Result<LostLeader> LoseLeader(FaultRun& run) {
  const std::string leader = run.session.Leader();
  if (!leader.starts_with("control-")) {
    return Fail(ErrorKind::kUnavailable, "There is no control leader to kill.",
                "Look at the logs of the control processes.");
  }
  const std::int64_t at = NowMicros();
  run.session.fleet().Kill(leader);
  return LostLeader{leader, at};
}

/// Waits until another leader answers operators and notes how long that took.
void AwaitNewLeader(FaultRun& run, const LostLeader& lost) {
  constexpr double kMicrosPerMilli = 1e3;
  run.session.WaitUntil(kLeaderLimit, [&] {
    const std::string leader = run.session.Leader();
    return leader.starts_with("control-") && leader != lost.name;
  });
  run.samples["new_leader"].push_back(static_cast<double>(NowMicros() - lost.at_us) /
                                      kMicrosPerMilli);
}

class LeaderLoss : public FaultExperiment {
 public:
  std::string_view name() const override { return "leader-loss"; }
  std::string_view question() const override {
    return "Do callers notice when the control leader is killed, and when can shards be assigned "
           "again?";
  }

 protected:
  FaultPlan plan() const override { return {}; }

  Result<void> Disturb(FaultRun& run, std::uint32_t) const override {
    BOOST_LEAF_AUTO(lost, LoseLeader(run));
    run.disturbances.push_back({lost.at_us, lost.at_us + kWindow.count(), {}});
    AwaitNewLeader(run, lost);
    FleetSession::Pause(kWindow);
    BOOST_LEAF_CHECK(run.session.fleet().Start(lost.name));
    FleetSession::Pause(kRecovery);
    return {};
  }

  void Summarise(const FaultRun& run, const SessionRecords& records,
                 Measurement& result) const override {
    AddLatencies(result, "new_leader", run.samples.at("new_leader"), 1'000.0);
    result.AddAtMost("failed_requests_count", static_cast<double>(FailedCount(records.requests)),
                     0.0);
    result.remarks.emplace_back(
        "A new leader counts from the kill until it answers an operator, whose tries are 10 ms "
        "apart.");
  }
};

class LeaderAndOwnerLoss : public FaultExperiment {
 public:
  std::string_view name() const override { return "leader-and-owner-loss"; }
  std::string_view question() const override {
    return "How long are keys unavailable when the control leader and their owner are killed at "
           "once?";
  }

 protected:
  FaultPlan plan() const override { return {}; }

  Result<void> Disturb(FaultRun& run, std::uint32_t number) const override {
    BOOST_LEAF_AUTO(owner, run.PickOwner(number));
    BOOST_LEAF_AUTO(before, run.session.Shards());
    BOOST_LEAF_AUTO(lost, LoseLeader(run));
    run.session.fleet().Kill(owner);
    const std::int64_t until = lost.at_us + 2 * kWindow.count();
    run.disturbances.push_back({lost.at_us, until, OwnedBy(before, owner)});
    AwaitNewLeader(run, lost);
    FleetSession::Pause(kWindow);
    BOOST_LEAF_CHECK(run.session.fleet().Start(lost.name));
    BOOST_LEAF_CHECK(run.session.fleet().Start(owner));
    FleetSession::Pause(kRecovery);
    return {};
  }

  void Summarise(const FaultRun& run, const SessionRecords& records,
                 Measurement& result) const override {
    AddUnavailable(run, records, 2'000.0, result);
    AddLatencies(result, "new_leader", run.samples.at("new_leader"), 1'000.0);
  }
};

}  // namespace

std::unique_ptr<Experiment> MakeOwnerLoss() { return std::make_unique<OwnerLoss>(); }
std::unique_ptr<Experiment> MakeFreezeWake() { return std::make_unique<FreezeWake>(); }
std::unique_ptr<Experiment> MakeLeaderLoss() { return std::make_unique<LeaderLoss>(); }
std::unique_ptr<Experiment> MakeLeaderAndOwnerLoss() {
  return std::make_unique<LeaderAndOwnerLoss>();
}

}  // namespace graniteseam::testbed
