/// @file
/// Placement at the size of letter 1: 87,000 shards on 1,100 servers.

#include <benchmark/benchmark.h>

#include <cmath>
#include <random>
#include <string>
#include <vector>

#include "graniteseam/placement/load_tracker.h"
#include "graniteseam/placement/placement_planner.h"

namespace graniteseam::placement {
namespace {

constexpr std::uint32_t kShards = 87'000;
constexpr std::uint32_t kServers = 1'100;
constexpr double kRequestsPerSecond = 8.5e6;
const ServiceName kService{"transcripts"};

/// Shards with a log-normal load, dealt round robin; every `overload_every`th server carries half
/// as much again.
PlacementInput Fleet(std::uint32_t overload_every) {
  PlacementInput input;
  input.service = kService;
  for (std::uint32_t server = 0; server < kServers; ++server) {
    input.servers.push_back({{"server-" + std::to_string(server)}, {"zone"}, 1.0, true});
  }
  std::mt19937 random(1);
  std::lognormal_distribution<double> load(0, 0.5);
  for (std::uint32_t index = 0; index < kShards; ++index) {
    const std::uint32_t owner = index % kServers;
    const double factor = overload_every != 0 && owner % overload_every == 0 ? 1.5 : 1.0;
    const double rate = kRequestsPerSecond / kShards * factor * load(random);
    input.shards.push_back({index, owner, rate, std::sqrt(rate / 10), true});
  }
  return input;
}

void PlanMoves(benchmark::State& state) {
  const PlacementInput input = Fleet(static_cast<std::uint32_t>(state.range(0)));
  std::size_t moves = 0;
  double imbalance = 0;
  while (state.KeepRunning()) {
    PlacementPlanner planner;
    const PlacementPlan plan = planner.Plan(input, InstantFromMicros(1'000'000));
    moves = plan.moves.size();
    imbalance = plan.imbalance_after;
  }
  state.counters["moves"] = static_cast<double>(moves);
  state.counters["imbalance_before"] =
      PlacementPlanner().Plan(input, InstantFromMicros(1'000'000)).imbalance_before;
  state.counters["imbalance_after"] = imbalance;
}
BENCHMARK(PlanMoves)->Arg(0)->Arg(100)->Arg(10)->Unit(benchmark::kMillisecond);

/// One slot of 250 ms in which each shard was reported by 18 routers (two a zone).
void TrackLoad(benchmark::State& state) {
  constexpr int kRouters = 18;
  std::vector<ShardId> shards;
  for (std::uint32_t index = 0; index < kShards; ++index) shards.push_back({kService, index});
  LoadTracker tracker;
  Instant now = InstantFromMicros(1'000'000);
  while (state.KeepRunning()) {
    for (int router = 0; router < kRouters; ++router) {
      for (const ShardId& shard : shards) tracker.Record(shard, 1.0, now);
    }
    now += Duration(250'000);
    tracker.Advance(now);
  }
  state.SetItemsProcessed(state.iterations() * kRouters * kShards);
}
BENCHMARK(TrackLoad)->Unit(benchmark::kMillisecond);

}  // namespace
}  // namespace graniteseam::placement
