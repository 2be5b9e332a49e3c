// zone-cut: a zone's control, routers and servers are cut off from the rest for 10 s.

#include <algorithm>
#include <map>

#include "testbed/experiment/experiments.h"
#include "testbed/experiment/fault_experiment.h"

namespace graniteseam::testbed {

namespace {

const std::string kZone = "zone-3";
constexpr Duration kCut{10'000'000};
constexpr Duration kAfter{10'000'000};
constexpr Duration kWatchPeriod{200'000};
constexpr double kDelayedMs = 100.0;
constexpr double kUnavailableLimitMs = 1'500.0;

/// Counts how often each shard changes its owner.
class OwnerWatch {
 public:
  void See(const control::ShardsView& view) {
    for (const auto& entry : view.shards) {
      const auto [known, is_new] = owners_.emplace(entry.shard, entry.owner);
      if (is_new || known->second == entry.owner) continue;
      known->second = entry.owner;
      ++changes_[entry.shard];
    }
  }
  std::size_t total() const {
    std::size_t sum = 0;
    for (const auto& [shard, count] : changes_) sum += count;
    return sum;
  }
  std::size_t most() const {
    std::size_t most = 0;
    for (const auto& [shard, count] : changes_) most = std::max(most, count);
    return most;
  }

 private:
  std::map<ShardId, ServerId> owners_;
  std::map<ShardId, std::size_t> changes_;
};

class ZoneCut : public FaultExperiment {
 public:
  std::string_view name() const override { return "zone-cut"; }
  std::string_view question() const override {
    return "What do callers in the other zones notice when a zone is cut off, and how much moves "
           "when it comes back?";
  }

 protected:
  FaultPlan plan() const override { return {1, 0.5, 1.0, true}; }

  Result<void> Disturb(FaultRun& run, std::uint32_t) const override {
    Fleet& fleet = run.session.fleet();
    std::vector<std::string> inside;
    std::vector<std::string> outside;
    std::set<ShardId> shards;
    BOOST_LEAF_AUTO(before, run.session.Shards());
    for (const Role role : {Role::kControl, Role::kRouter, Role::kServer, Role::kCaller}) {
      for (const auto& name : fleet.Names(role)) {
        const bool cut_off = fleet.member(name).zone == kZone;
        (cut_off ? inside : outside).push_back(name);
        if (cut_off) shards.merge(OwnedBy(before, name));
      }
    }
    const std::int64_t from = NowMicros();
    fleet.Cut(inside, outside, false);
    run.disturbances.push_back({from, from + kCut.count(), shards});
    FleetSession::Pause(kCut);
    OwnerWatch watch;
    BOOST_LEAF_AUTO(healing, run.session.Shards());
    watch.See(healing);
    fleet.Heal(inside, outside);
    for (Duration passed{0}; passed < kAfter; passed += kWatchPeriod) {
      FleetSession::Pause(kWatchPeriod);
      BOOST_LEAF_AUTO(view, run.session.Shards());
      watch.See(view);
    }
    run.samples["moves_after_heal"].push_back(static_cast<double>(watch.total()));
    run.samples["moves_of_one_shard"].push_back(static_cast<double>(watch.most()));
    run.samples["shards_in_zone"].push_back(static_cast<double>(shards.size()));
    return {};
  }

  void Summarise(const FaultRun& run, const SessionRecords& records,
                 Measurement& result) const override {
    std::set<std::string> routers;
    for (const auto& name : run.session.fleet().Names(Role::kRouter)) {
      const Member& member = run.session.fleet().member(name);
      if (member.zone != kZone) routers.insert(runtime::ToString(member.http_address()));
    }
    std::vector<RequestView> rest;
    for (const RequestView& request : records.requests) {
      if (routers.contains(request.router)) rest.push_back(request);
    }
    AddLatencies(result, "rest_key_unavailable",
                 UnavailableMs(rest, run.disturbances, run.shard_of, kDelayedMs),
                 kUnavailableLimitMs);
    result.Add("rest_failed_requests_count", static_cast<double>(FailedCount(rest)));
    result.Add("shards_in_zone_count", Mean(run.samples.at("shards_in_zone")));
    result.Add("moves_after_heal_count", Mean(run.samples.at("moves_after_heal")));
    result.AddAtMost("moves_of_one_shard_after_heal_count",
                     Percentile(run.samples.at("moves_of_one_shard"), 1.0), 1.0);
  }
};

}  // namespace

std::unique_ptr<Experiment> MakeZoneCut() { return std::make_unique<ZoneCut>(); }

}  // namespace graniteseam::testbed
