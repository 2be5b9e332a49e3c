// Speed of the router's decision makers: shard lookup, choice of a server, and a whole request.
#include <benchmark/benchmark.h>

#include <string>
#include <vector>

#include "graniteseam/admission/group_limiter.h"
#include "graniteseam/routing/router_node.h"
#include "graniteseam/routing/routing_table.h"
#include "graniteseam/routing/server_selector.h"

namespace graniteseam {
namespace {

constexpr Instant kNow = InstantFromMicros(1'000'000);
const ServiceName kService{"transcripts"};

control::MapUpdate WholeMap(std::uint32_t shards, std::uint32_t servers) {
  control::MapUpdate map;
  map.version = 1;
  for (std::uint32_t i = 0; i < servers; ++i) {
    const ServerId id{"server-" + std::to_string(i)};
    map.servers.push_back({id, kService, "127.0.0.1:1", {"zone"}, true, 0.0});
  }
  for (std::uint32_t i = 0; i < shards; ++i) {
    const ServerId owner{"server-" + std::to_string(i % servers)};
    map.shards.push_back({{kService, i}, control::ShardState::kAssigned, owner, {1}});
  }
  return map;
}

bundle::Bundle OneService(bundle::ServiceKind kind, std::uint32_t shards) {
  bundle::Bundle bundle;
  bundle.version = {1};
  bundle::Service service;
  service.name = kService;
  service.kind = kind;
  service.repeatable = true;
  service.shard_count = shards;
  bundle.services.push_back(service);
  bundle.groups.push_back({{"carrier"}, {kService}, "", 1.0, 256});
  return bundle;
}

void ShardLookup(benchmark::State& state) {
  routing::RoutingTable table;
  const auto shards = static_cast<std::uint32_t>(state.range(0));
  table.Apply(WholeMap(shards, 1'100));
  std::uint64_t number = 0;
  while (state.KeepRunning()) {
    const std::string key = "+90555" + std::to_string(number++ % 100'000);
    benchmark::DoNotOptimize(&table.Find(kService, routing::ShardOfKey(key, shards)));
  }
}
BENCHMARK(ShardLookup)->Arg(4'000)->Arg(87'000);

void ApplyWholeMap(benchmark::State& state) {
  const control::MapUpdate map = WholeMap(static_cast<std::uint32_t>(state.range(0)), 1'100);
  while (state.KeepRunning()) {
    routing::RoutingTable table;
    benchmark::DoNotOptimize(table.Apply(map));
  }
}
BENCHMARK(ApplyWholeMap)->Arg(4'000)->Arg(87'000);

void ChooseServer(benchmark::State& state) {
  const control::MapUpdate map = WholeMap(1, static_cast<std::uint32_t>(state.range(0)));
  std::vector<const control::ServerEntry*> servers;
  for (const auto& entry : map.servers) servers.push_back(&entry);
  routing::ServerSelector selector({}, 1);
  selector.Update(servers, 64, kNow);
  while (state.KeepRunning()) {
    const ServerId server = *selector.Choose({}, kNow);
    selector.Reserve(server);
    selector.OnEnd(server, routing::AttemptEnd::kAnswered, 200, Duration{1'000}, kNow);
  }
}
BENCHMARK(ChooseServer)->Arg(14)->Arg(1'100);

void Admission(benchmark::State& state) {
  admission::GroupLimiter limiter;
  std::vector<admission::GroupSettings> groups;
  groups.reserve(static_cast<std::size_t>(state.range(0)));
  for (int i = 0; i < state.range(0); ++i) groups.push_back({{"group-" + std::to_string(i)}});
  limiter.Configure(groups);
  std::uint64_t number = 0;
  while (state.KeepRunning()) {
    const GroupName& group = groups[number % groups.size()].group;
    limiter.Offer({++number, group, 0, kNow + Duration{1'000'000}}, 1, kNow);
    limiter.Release(group, kNow);
  }
}
BENCHMARK(Admission)->Arg(4)->Arg(64);

/// All decisions for one request that is answered at the first attempt.
void WholeRequest(benchmark::State& state) {
  constexpr std::uint32_t kShards = 4'000;
  constexpr std::uint32_t kServers = 14;
  const bool keyed = state.range(0) != 0;
  routing::RouterNode node({}, 1, kNow);
  const routing::RouterEffects first = node.Tick(kNow);
  control::RouterRenewalAnswer answer;
  answer.sequence = std::get<control::RouterRenewal>(first.control_messages.at(0)).sequence;
  answer.granted = true;
  answer.lease_us = 3'600'000'000;
  answer.bundle = OneService(keyed ? bundle::ServiceKind::kKeyed : bundle::ServiceKind::kPooled,
                             keyed ? kShards : 0);
  answer.map = WholeMap(keyed ? kShards : 1, kServers);
  node.OnControlMessage(answer, kNow);
  routing::CallerRequest request;
  request.service = kService;
  request.group = {"carrier"};
  while (state.KeepRunning()) {
    ++request.number;
    if (keyed) request.key = "+90555" + std::to_string(request.number % 100'000);
    const routing::RouterEffects effects = node.OnRequest(request, kNow);
    const routing::AttemptSend& send = effects.sends.at(0);
    benchmark::DoNotOptimize(node.OnAttemptEnd(
        {send.request, send.attempt, routing::AttemptEnd::kAnswered, 200, {}, {}}, kNow));
  }
}
BENCHMARK(WholeRequest)->ArgName("keyed")->Arg(0)->Arg(1);

}  // namespace
}  // namespace graniteseam
