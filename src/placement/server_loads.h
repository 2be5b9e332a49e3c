/// @file
/// The loads of one service's servers during planning, and the search for single moves.
#pragma once

#include <cstddef>
#include <cstdint>
#include <set>
#include <utility>
#include <vector>

#include "graniteseam/placement/placement_planner.h"

namespace graniteseam::placement {

/// A move, as positions in PlacementInput.
struct MoveChoice {
  std::uint32_t shard = 0;  ///< Position in PlacementInput::shards.
  std::uint32_t from = 0;   ///< Position in PlacementInput::servers.
  std::uint32_t to = 0;     ///< Position in PlacementInput::servers.
};

/// Keeps servers ordered by overload and by room, and each server's shards ordered by load. Loads
/// are compared relative to capacity: a "ratio" is a server's load divided by the mean load of a
/// server of its capacity. "Room" is the load that a server can gain up to the target. Not thread
/// safe.
class ServerLoads {
 public:
  /// @param input must outlive this object.
  /// @param trigger the ratio above which servers are relieved.
  /// @param target the ratio that relieved servers are brought down to.
  /// @param options must outlive this object; the settings for noise and minimum gains are used.
  ServerLoads(const PlacementInput& input, double trigger, double target,
              const PlannerOptions& options);

  /// Mean load of a server of capacity 1.
  double mean() const { return mean_; }
  /// The highest ratio of any server.
  double Imbalance() const;
  /// Whether a server is above the trigger, exceeds the mean by more than its noise, and may still
  /// have a move.
  bool AnyOverloaded() const { return !sources_.empty(); }

  /// Finds the next move from the most overloaded server that has one, and applies it.
  /// @return false when no move is left that brings a server to the target or has the minimum gain.
  bool TakeNextMove(MoveChoice& choice);

 private:
  using ServerNumber = std::uint32_t;
  /// Highest key first; equal keys by number, so that equal inputs give equal plans.
  using RankedServers = std::set<std::pair<double, ServerNumber>, std::greater<>>;

  struct Server {
    double capacity = 1;
    bool may_gain = true;
    double load = 0;      ///< Without shards that are being moved.
    double variance = 0;  ///< Of `load`.
    bool sorted = false;
    std::vector<std::uint32_t> shards;  ///< Movable shards; by ascending load once `sorted`.
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
  bool FindBalancingMove(const Server& source, const Server& target, std::size_t& position);
  void Apply(const MoveChoice& choice);
  void ChangeLoad(ServerNumber number, double load, double variance);

  const PlacementInput& input_;
  double target_;
  const PlannerOptions& options_;
  double mean_ = 0;
  std::vector<Server> servers_;
  RankedServers sources_;  ///< Overloaded servers still above the target, by ratio.
  RankedServers rooms_;    ///< Servers that may gain, by room.
};

}  // namespace graniteseam::placement
