/// @file
/// The loads of one service's servers while a plan is made, and the search for single moves.
#pragma once

#include <cstddef>
#include <cstdint>
#include <set>
#include <utility>
#include <vector>

#include "graniteseam/placement/placement_planner.h"

namespace graniteseam::placement {

/// A move found, as positions in PlacementInput.
struct MoveChoice {
  std::uint32_t shard = 0;  ///< Position in PlacementInput::shards.
  std::uint32_t from = 0;
  std::uint32_t to = 0;
};

/// Keeps servers in order of overload and of room, and each server's shards in order of load. Loads
/// are compared by capacity: a "ratio" is load over what a server of its capacity carries at the
/// mean. Not thread safe.
class ServerLoads {
 public:
  /// @param trigger servers above this ratio are relieved...
  /// @param target ...down to this one.
  /// @param options for the noise and the gains that are worth a move.
  ServerLoads(const PlacementInput& input, double trigger, double target,
              const PlannerOptions& options);

  /// Mean load of a server of capacity 1.
  double mean() const { return mean_; }
  /// The highest ratio of any server.
  double Imbalance() const;
  /// Whether a server is above the trigger, and above the mean by more than its noise.
  bool AnyOverloaded() const { return !sources_.empty(); }

  /// Finds the next move off the most overloaded server that has one, and applies it.
  /// @return false when no move is left that brings a server to the target or is worth it.
  bool TakeNextMove(MoveChoice& choice);

 private:
  using ServerNumber = std::uint32_t;
  /// Highest key first; equal keys by number, so that equal inputs give equal plans.
  using RankedServers = std::set<std::pair<double, ServerNumber>, std::greater<>>;

  struct Server {
    double capacity = 1;
    bool may_gain = true;
    double load = 0;      ///< Without the shards that are on their way to another server.
    double variance = 0;  ///< Of `load`.
    bool sorted = false;
    std::vector<std::uint32_t> shards;  ///< Movable ones; by ascending load once sorted.
  };

  double Ratio(const Server& server) const { return server.load / (server.capacity * mean_); }
  double Room(const Server& server) const {
    return target_ * server.capacity * mean_ - server.load;
  }
  double Noise(const Server& server) const;
  double Load(std::uint32_t shard) const { return input_.shards[shard].load; }

  void SortShards(Server& server);
  bool FindMove(ServerNumber from, MoveChoice& choice);
  bool IsHotShardMove(const Server& source, const Server& target) const;
  bool FindMoveWithinTarget(const Server& source, const Server& target, std::size_t& position);
  bool FindEveningMove(const Server& source, const Server& target, std::size_t& position);
  void Apply(const MoveChoice& choice);
  void ChangeLoad(ServerNumber number, double load, double variance);

  const PlacementInput& input_;
  double target_;
  const PlannerOptions& options_;
  double mean_ = 0;
  std::vector<Server> servers_;
  RankedServers sources_;  ///< Servers to be relieved that are still above the target, by ratio.
  RankedServers rooms_;    ///< Servers that may gain, by room.
};

}  // namespace graniteseam::placement
