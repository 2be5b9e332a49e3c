// control-scale: what control costs, and how soon it acts, at a given number of nodes and shards.

#include <fmt/format.h>

#include <algorithm>
#include <map>

#include "src/runtime/clock.h"
#include "testbed/experiment/experiments.h"
#include "testbed/fleet_session/fleet_session.h"
#include "testbed/fleet_session/scale_fleet.h"

namespace graniteseam::testbed {

namespace {

constexpr std::uint32_t kNodesDefault = 50;
constexpr std::uint32_t kShardsPerNode = 79;  // 87,000 shards on 1,100 nodes.
constexpr std::uint32_t kNodesPerRouter = 4;
constexpr std::uint32_t kSecondsDefault = 60;
constexpr Duration kSteady{10'000'000};
constexpr Duration kStep{100'000};
constexpr Duration kShiftInterval{5'000'000};  // 12 a minute.
constexpr Duration kRollInterval{2'000'000};
constexpr Duration kLossInterval{10'000'000};
constexpr Duration kDownTime{5'000'000};
constexpr Duration kSettle{5'000'000};
constexpr std::uint32_t kRestartedOfNodes = 17;  // 66 of 1,100 are one in 17.
constexpr double kMicrosPerSecond = 1e6;
constexpr double kMicrosPerMilli = 1e3;
constexpr double kPercent = 100.0;

// What control may cost on a node.
constexpr double kNodeProcessorPercent = 1.6;
constexpr double kNodeMemoryMb = 32.0;
constexpr double kNodeBytesPerSecond = 11'000.0;

/// Runs the phases over a fleet and collects the figures.
class ScaleRun {
 public:
  ScaleRun(ScaleFleet& fleet, Measurement& result, const Progress& progress)
      : fleet_(fleet), result_(result), progress_(progress) {}

  Result<void> Steady() {
    BOOST_LEAF_AUTO(before, fleet_.Cost());
    FleetSession::Pause(kSteady);
    BOOST_LEAF_AUTO(after, fleet_.Cost());
    AddCosts("steady", before, after);
    progress_("steady", 0.2);
    return {};
  }

  /// Load shifts, bundles, and losses of servers, all at once.
  Result<void> Changing(Duration length) {
    BOOST_LEAF_CHECK(fleet_.Gather());
    BOOST_LEAF_AUTO(before, fleet_.Cost());
    const std::int64_t began = ToMicros(runtime::BootTimeNow());
    for (Duration passed{0}; passed < length;
         passed = Duration(ToMicros(runtime::BootTimeNow()) - began)) {
      BOOST_LEAF_CHECK(DoDue(passed));
      FleetSession::Pause(kStep);
      progress_("changing", 0.2 + 0.5 * static_cast<double>(passed.count()) /
                                      static_cast<double>(length.count()));
    }
    BOOST_LEAF_AUTO(after, fleet_.Cost());
    AddCosts("changing", before, after);
    FleetSession::Pause(kSettle);
    BOOST_LEAF_CHECK(RestartAll());
    BOOST_LEAF_CHECK(fleet_.Gather());
    AddNewOwnerTimes();
    AddInForceTimes();
    return {};
  }

  /// Many nodes restart at once; nobody else's lease may suffer.
  Result<void> RestartTogether() {
    const std::uint32_t count = std::max(1U, fleet_.size().servers / kRestartedOfNodes);
    BOOST_LEAF_AUTO(before, fleet_.Cost());
    for (std::uint32_t index = 0; index < count; ++index) {
      BOOST_LEAF_CHECK(fleet_.KillServer(index * kRestartedOfNodes));
    }
    for (std::uint32_t index = 0; index < count; ++index) {
      BOOST_LEAF_CHECK(fleet_.StartServer(index * kRestartedOfNodes));
    }
    FleetSession::Pause(kSettle);
    BOOST_LEAF_AUTO(after, fleet_.Cost());
    result_.Add("restarted_together_count", count);
    result_.AddAtMost("others_leases_lapsed_at_restart_count",
                      static_cast<double>(after.lapses - before.lapses), 0.0);
    progress_("restart", 0.8);
    return {};
  }

  Result<void> LoseLeader() {
    BOOST_LEAF_CHECK(fleet_.Gather());
    BOOST_LEAF_AUTO(before, fleet_.Cost());
    const auto terms_before = fleet_.events().last_first_messages;
    const std::map<std::uint32_t, std::string> owners_before = Owners();
    BOOST_LEAF_AUTO(killed, fleet_.KillLeader());
    FleetSession::Pause(kSettle);
    BOOST_LEAF_CHECK(fleet_.Gather());
    BOOST_LEAF_AUTO(after, fleet_.Cost());
    std::int64_t all_heard = 0;
    for (const auto& [term, last] : fleet_.events().last_first_messages) {
      if (!terms_before.contains(term)) all_heard = std::max(all_heard, last);
    }
    const double takeover = all_heard == 0 ? static_cast<double>(kSettle.count())
                                           : static_cast<double>(all_heard - killed.second);
    result_.AddAtMost("takeover_of_all_sessions_ms", takeover / kMicrosPerMilli, 2'000.0);
    result_.Add("leases_lapsed_at_takeover_count",
                static_cast<double>(after.lapses - before.lapses));
    const std::map<std::uint32_t, std::string> owners_after = Owners();
    std::size_t given_away = 0;
    for (const auto& [shard, owner] : owners_after) {
      if (owners_before.contains(shard) && owners_before.at(shard) != owner) ++given_away;
    }
    result_.AddAtMost("shards_given_away_at_takeover_count", static_cast<double>(given_away), 0.0);
    BOOST_LEAF_CHECK(fleet_.StartControl(killed.first));
    progress_("takeover", 0.9);
    return {};
  }

 private:
  struct Down {
    Duration since;
    std::uint32_t server;
  };

  /// The server that was granted each shard last. A new leader grants everything anew.
  std::map<std::uint32_t, std::string> Owners() const {
    std::map<std::uint32_t, const ScaleGrant*> last;
    for (const ScaleGrant& grant : fleet_.events().grants) {
      const ScaleGrant*& known = last[grant.shard];
      if (known == nullptr || grant.at_us >= known->at_us) known = &grant;
    }
    std::map<std::uint32_t, std::string> owners;
    for (const auto& [shard, grant] : last) owners[shard] = grant->server;
    return owners;
  }

  static bool IsDue(Duration passed, Duration interval, std::uint32_t done) {
    return passed >= interval * done;
  }

  Result<void> DoDue(Duration passed) {
    if (IsDue(passed, kShiftInterval, shifts_)) {
      ++shifts_;
      BOOST_LEAF_CHECK(fleet_.ShiftKeys());
    }
    if (IsDue(passed, kLossInterval, static_cast<std::uint32_t>(losses_.size()))) {
      const auto server = static_cast<std::uint32_t>(losses_.size()) % fleet_.size().servers;
      BOOST_LEAF_AUTO(loss, fleet_.KillServer(server));
      losses_.push_back(std::move(loss));
      down_.push_back({passed, server});
    }
    if (!down_.empty() && passed >= down_.front().since + kDownTime) {
      BOOST_LEAF_CHECK(fleet_.StartServer(down_.front().server));
      down_.erase(down_.begin());
    }
    if (IsDue(passed, kRollInterval, static_cast<std::uint32_t>(rolls_.size()))) {
      BOOST_LEAF_AUTO(begun, fleet_.RollBundle());
      rolls_[fleet_.bundle_version()] = begun;
    }
    return {};
  }

  Result<void> RestartAll() {
    for (const Down& down : down_) BOOST_LEAF_CHECK(fleet_.StartServer(down.server));
    down_.clear();
    return {};
  }

  void AddCosts(const std::string& phase, const ScaleCost& before, const ScaleCost& after) {
    const double seconds = static_cast<double>(after.at_us - before.at_us) / kMicrosPerSecond;
    const double servers = fleet_.size().servers;
    const double routers = fleet_.size().routers;
    const auto share = [&](double used_s) { return kPercent * used_s / seconds; };
    const double server_share =
        share(after.servers.processor_s - before.servers.processor_s) / servers;
    const double router_share =
        share(after.routers.processor_s - before.routers.processor_s) / routers;
    const double server_bytes = (after.server_bytes - before.server_bytes) / seconds / servers;
    const double router_bytes = (after.router_bytes - before.router_bytes) / seconds / routers;
    const double server_mb = after.servers.resident_mb / servers;
    const double router_mb = after.routers.resident_mb / routers;
    result_.AddAtMost(phase + "_node_processor_percent", server_share + router_share,
                      kNodeProcessorPercent);
    result_.AddAtMost(phase + "_node_memory_mb", server_mb + router_mb, kNodeMemoryMb);
    result_.AddAtMost(phase + "_node_bytes_per_second", server_bytes + router_bytes,
                      kNodeBytesPerSecond);
    result_.Add(phase + "_server_processor_percent", server_share);
    result_.Add(phase + "_server_bytes_per_second", server_bytes);
    result_.Add(phase + "_server_memory_mb", server_mb);
    result_.Add(phase + "_router_processor_percent", router_share);
    result_.Add(phase + "_router_bytes_per_second", router_bytes);
    result_.Add(phase + "_router_memory_mb", router_mb);
    result_.Add(phase + "_leader_processor_percent",
                share(after.leader.processor_s - before.leader.processor_s));
    result_.Add(phase + "_leader_memory_mb", after.leader.resident_mb);
    result_.Add(phase + "_followers_processor_percent",
                share(after.followers_processor_s - before.followers_processor_s));
    result_.Add(phase + "_leases_lapsed_count", static_cast<double>(after.lapses - before.lapses));
  }

  /// From the kill of a server until another one, or its restart, was granted each of its shards.
  void AddNewOwnerTimes() {
    std::vector<double> times;
    std::size_t never = 0;
    std::vector<ScaleGrant> grants = fleet_.events().grants;
    std::sort(grants.begin(), grants.end(),
              [](const auto& left, const auto& right) { return left.at_us < right.at_us; });
    for (ScaleLoss loss : losses_) {
      for (const ScaleGrant& grant : grants) {
        if (grant.at_us <= loss.at_us || loss.shards.erase(grant.shard) == 0) continue;
        times.push_back(static_cast<double>(grant.at_us - loss.at_us) / kMicrosPerMilli);
      }
      never += loss.shards.size();
    }
    result_.Add("new_owner_p50_ms", Percentile(times, 0.5));
    result_.AddAtMost("new_owner_p99_ms", Percentile(times, 0.99), 1'000.0);
    result_.AddAtMost("shards_without_new_owner_count", static_cast<double>(never), 0.0);
    result_.Add("losses_count", static_cast<double>(losses_.size()));
  }

  /// From the start of each roll until every hollow router applied that version or a newer one.
  void AddInForceTimes() {
    std::vector<double> times;
    for (const auto& [version, begun] : rolls_) {
      std::int64_t last = 0;
      std::size_t routers = 0;
      for (const auto& [router, seen] : fleet_.events().versions) {
        const auto first = std::find_if(seen.begin(), seen.end(),
                                        [v = version](const auto& one) { return one.second >= v; });
        if (first == seen.end()) continue;
        last = std::max(last, first->first);
        ++routers;
      }
      if (routers == fleet_.size().routers) {
        times.push_back(static_cast<double>(last - begun) / kMicrosPerMilli);
      }
    }
    result_.Add("bundle_in_force_p50_ms", Percentile(times, 0.5));
    result_.AddAtMost("bundle_in_force_p99_ms", Percentile(times, 0.99), 5'000.0);
    result_.AddAtMost("bundles_not_in_force_everywhere_count",
                      static_cast<double>(rolls_.size() - times.size()), 0.0);
    result_.Add("bundles_rolled_count", static_cast<double>(rolls_.size()));
  }

  ScaleFleet& fleet_;
  Measurement& result_;
  const Progress& progress_;
  std::uint32_t shifts_ = 0;
  std::vector<ScaleLoss> losses_;
  std::vector<Down> down_;
  std::map<std::uint64_t, std::int64_t> rolls_;  ///< Begin of each version's roll.
};

class ControlScale : public Experiment {
 public:
  std::string_view name() const override { return "control-scale"; }
  std::string_view question() const override {
    return "What does control cost on each node and at the leader, and how soon does it act, at "
           "this size?";
  }
  Driver driver() const override { return Driver::kFleet; }

  Result<Measurement> Measure(const RunOptions& options, Way,
                              const Progress& progress) const override {
    ScaleSize size;
    size.servers = options.nodes == 0 ? kNodesDefault : options.nodes;
    size.shards = options.shards == 0 ? size.servers * kShardsPerNode : options.shards;
    size.routers = std::max(1U, size.servers / kNodesPerRouter);
    BOOST_LEAF_AUTO(fleet, ScaleFleet::Start(options, size, progress));
    Measurement result;
    result.Add("processes_count", static_cast<double>(fleet->ProcessCount()));
    ScaleRun run(*fleet, result, progress);
    BOOST_LEAF_CHECK(run.Steady());
    BOOST_LEAF_CHECK(run.Changing(run_length(options, kSecondsDefault)));
    BOOST_LEAF_CHECK(run.RestartTogether());
    BOOST_LEAF_CHECK(run.LoseLeader());
    BOOST_LEAF_AUTO(requests, fleet->StopCallers());
    result.Add("real_requests_count", static_cast<double>(requests.size()));
    result.Add("real_failed_requests_count", static_cast<double>(FailedCount(requests)));
    result.remarks.push_back(fmt::format(
        "{} hollow servers, {} shards, {} hollow routers, beside a real fleet under load. A node "
        "is one server's share plus one router's.",
        size.servers, size.shards, size.routers));
    progress("done", 1.0);
    return result;
  }
};

}  // namespace

std::unique_ptr<Experiment> MakeControlScale() { return std::make_unique<ControlScale>(); }

}  // namespace graniteseam::testbed
