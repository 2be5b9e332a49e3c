// path-overhead: what the way through a router costs, beside the direct way in the same run.

#include <fmt/format.h>

#include <map>

#include "testbed/experiment/experiments.h"
#include "testbed/fleet_session/exchange_load.h"
#include "testbed/fleet_session/fleet_session.h"

namespace graniteseam::testbed {

namespace {

constexpr std::size_t kConnections = 32;
constexpr std::uint32_t kSecondsDefault = 5;
constexpr double kThroughputLeast = 0.42;
constexpr double kLightLoad = 0.3;
constexpr double kAddedP50LimitMs = 0.3;
constexpr double kAddedP99LimitMs = 1.0;
const std::string kGroup = "measurement";

/// The same requests, sent to the servers and through the router.
struct Ways {
  std::vector<ExchangeTarget> direct;
  std::vector<ExchangeTarget> routed;
};

httplib::Headers DirectHeaders(const std::string& service, const std::string& key) {
  return {{"Graniteseam-Service", service},
          {"Graniteseam-Group", kGroup},
          {"Graniteseam-Key", key},
          {"Graniteseam-Deadline-Ms", "2000"},
          {"Graniteseam-Attempt", "direct"}};
}

httplib::Headers CallerHeaders() {
  return {{"Graniteseam-Group", kGroup}, {"Graniteseam-Deadline-Ms", "2000"}};
}

Result<Ways> KeyedWays(FleetSession& session, const runtime::SocketAddress& router) {
  BOOST_LEAF_AUTO(shard_of, session.MakeShardOf());
  BOOST_LEAF_AUTO(view, session.Shards());
  std::map<ShardId, control::ShardEntry> entries;
  for (const auto& entry : view.shards) entries[entry.shard] = entry;
  Ways ways;
  for (std::size_t index = 0; index < kConnections; ++index) {
    const std::string key = "key-" + std::to_string(index);
    const std::string path = "/v1/services/owned/keys/" + key + "/answer?nonce=n&padding=100";
    const control::ShardEntry& entry = entries.at(shard_of("owned", key));
    httplib::Headers headers = DirectHeaders("owned", key);
    headers.emplace("Graniteseam-Shard", std::to_string(entry.shard.index));
    headers.emplace("Graniteseam-Epoch", std::to_string(entry.epoch.value));
    const Member& owner = session.fleet().member(entry.owner.value);
    ways.direct.push_back({owner.http_address(), path, std::move(headers)});
    ways.routed.push_back({router, path, CallerHeaders()});
  }
  return ways;
}

Ways PooledWays(FleetSession& session, const runtime::SocketAddress& router) {
  std::vector<runtime::SocketAddress> servers;
  for (const auto& name : session.fleet().Names(Role::kServer)) {
    const Member& member = session.fleet().member(name);
    if (member.service == "pooled") servers.push_back(member.http_address());
  }
  const std::string path = "/v1/services/pooled/answer?nonce=n&padding=100";
  Ways ways;
  for (std::size_t index = 0; index < kConnections; ++index) {
    ways.direct.push_back({servers[index % servers.size()], path, DirectHeaders("pooled", "")});
    ways.routed.push_back({router, path, CallerHeaders()});
  }
  return ways;
}

class PathOverhead : public Experiment {
 public:
  std::string_view name() const override { return "path-overhead"; }
  std::string_view question() const override {
    return "What does the way through a router cost, in throughput and in time?";
  }
  Driver driver() const override { return Driver::kFleet; }

  Result<Measurement> Measure(const RunOptions& options, Way,
                              const Progress& progress) const override {
    progress("starting the fleet", 0.0);
    BOOST_LEAF_AUTO(scenario, ScenarioOf(options, {"path-overhead"}, 1.0, 1.0));
    scenario.voters_per_zone = {1, 1, 1};
    scenario.routers_per_zone = 1;
    scenario.servers_record = false;
    BOOST_LEAF_AUTO(session, FleetSession::Start(scenario, options, false));
    const std::string router_name = session->fleet().Names(Role::kRouter).front();
    const runtime::SocketAddress router = session->fleet().member(router_name).http_address();
    const Duration length = run_length(options, kSecondsDefault);
    Measurement result;
    BOOST_LEAF_AUTO(keyed, KeyedWays(*session, router));
    Compare("keyed", keyed, length, result);
    progress("keyed", 0.5);
    Compare("pooled", PooledWays(*session, router), length, result);
    progress("pooled", 1.0);
    BOOST_LEAF_AUTO(records, session->Finish());
    static_cast<void>(records);
    result.remarks.push_back(fmt::format(
        "{} connections; callers, one router and the servers share this machine. The light load "
        "is {} of what the router carried with all connections busy, paced.",
        kConnections, kLightLoad));
    return result;
  }

 private:
  static void Compare(const std::string& name, const Ways& ways, Duration length,
                      Measurement& result) {
    const ExchangeResult direct = RunExchanges(ways.direct, length, 0.0);
    const ExchangeResult routed = RunExchanges(ways.routed, length, 0.0);
    const double light = kLightLoad * routed.PerSecond();
    const ExchangeResult direct_light = RunExchanges(ways.direct, length, light);
    const ExchangeResult routed_light = RunExchanges(ways.routed, length, light);
    const auto added = [&](double fraction) {
      return Percentile(routed_light.latencies_ms, fraction) -
             Percentile(direct_light.latencies_ms, fraction);
    };
    result.Add(name + "_direct_per_second", direct.PerSecond());
    result.Add(name + "_routed_per_second", routed.PerSecond());
    result.AddAtLeast(name + "_routed_over_direct_ratio", routed.PerSecond() / direct.PerSecond(),
                      kThroughputLeast);
    result.AddAtMost(name + "_added_p50_ms", added(0.5), kAddedP50LimitMs);
    result.AddAtMost(name + "_added_p99_ms", added(0.99), kAddedP99LimitMs);
    result.Add(name + "_light_direct_p99_ms", Percentile(direct_light.latencies_ms, 0.99));
    result.Add(name + "_light_routed_p99_ms", Percentile(routed_light.latencies_ms, 0.99));
    result.AddAtMost(name + "_failed_requests_count",
                     static_cast<double>(direct.failed + routed.failed + direct_light.failed +
                                         routed_light.failed),
                     0.0);
  }
};

}  // namespace

std::unique_ptr<Experiment> MakePathOverhead() { return std::make_unique<PathOverhead>(); }

}  // namespace graniteseam::testbed
