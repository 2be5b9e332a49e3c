/// @file
/// Inputs of the placement planner for tests and benchmarks, and the least number of moves.
#pragma once

#include <algorithm>
#include <string>
#include <vector>

#include "graniteseam/placement/placement_planner.h"

namespace graniteseam::test {

/// One server for each list of shard loads.
inline placement::PlacementInput InputOf(const std::vector<std::vector<double>>& loads) {
  placement::PlacementInput input;
  input.service = {"transcripts"};
  std::uint32_t index = 0;
  for (std::uint32_t server = 0; server < loads.size(); ++server) {
    input.servers.push_back({{"server-" + std::to_string(server)}, {"zone"}, 1.0, true});
    for (const double load : loads[server])
      input.shards.push_back({index++, server, load, 0, true});
  }
  return input;
}

/// The loads of servers after a plan, by number.
inline std::vector<double> LoadsAfter(const placement::PlacementInput& input,
                                      const placement::PlacementPlan& plan) {
  std::vector<double> loads(input.servers.size());
  for (const auto& shard : input.shards) loads[shard.owner] += shard.load;
  for (const auto& move : plan.moves) {
    const double load = input.shards[move.shard.index].load;
    for (std::size_t server = 0; server < loads.size(); ++server) {
      if (input.servers[server].id == move.from) loads[server] -= load;
      if (input.servers[server].id == move.to) loads[server] += load;
    }
  }
  return loads;
}

/// A lower bound on the moves of any plan after which no server is above `limit`: each server must
/// lose at least its excess, and loses it fastest by its heaviest shards first.
inline std::size_t LeastMoves(const placement::PlacementInput& input, double limit) {
  std::vector<std::vector<double>> shards(input.servers.size());
  for (const auto& shard : input.shards) shards[shard.owner].push_back(shard.load);
  std::size_t moves = 0;
  for (auto& loads : shards) {
    std::sort(loads.begin(), loads.end(), std::greater<>());
    double total = 0;
    for (const double load : loads) total += load;
    for (std::size_t next = 0; total > limit && next < loads.size(); ++next) {
      total -= loads[next];
      ++moves;
    }
  }
  return moves;
}

}  // namespace graniteseam::test
