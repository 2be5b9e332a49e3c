/// @file
/// Chooses owners for shards that have none, that are leaving a drained server, or whose owner's
/// lease is over. Balances by the number of shards; moves by load are the planner's.
#pragma once

#include <cstddef>
#include <functional>
#include <map>
#include <optional>
#include <vector>

#include "graniteseam/common/ids.h"
#include "src/control/replicated_state.h"
#include "src/placement/shard_table.h"

namespace graniteseam::control {

/// Tells whether a server answered lately enough to be given shards.
using HealthCheck = std::function<bool(const ServerId&)>;

/// Shards promised to servers by commands that are not applied yet.
using PendingAssignments = std::map<ServerId, std::size_t>;

/// Hands out the servers of one service, the one with the fewest shards first.
///
/// Building it costs one pass over the servers; each choice the logarithm of their number.
class TargetChooser {
 public:
  /// Takes the service's servers that accept new work and are healthy.
  TargetChooser(const ReplicatedState& state, const HealthCheck& healthy,
                const PendingAssignments& pending, const ServiceName& service);

  /// Chooses the server with the fewest shards and counts one more for it; nullopt without any.
  std::optional<ServerId> Next();
  /// Whether the server is among those that may be chosen.
  bool Contains(const ServerId& server) const;
  bool empty() const { return heap_.empty(); }
  /// Whether servers were left out only because they did not answer lately.
  bool has_unhealthy() const { return has_unhealthy_; }

 private:
  struct Candidate {
    std::size_t shards = 0;
    const ServerId* server = nullptr;  ///< Key of the registry's map, which is stable.
  };
  /// Orders a heap so that the fewest shards are on top; ties by name, for determinism.
  static bool Worse(const Candidate& left, const Candidate& right);

  std::vector<Candidate> heap_;
  bool has_unhealthy_ = false;
};

/// The choosers of one round of decisions, so that each choice counts for all later ones.
class TargetChoosers {
 public:
  TargetChoosers(const ReplicatedState& state, const HealthCheck& healthy,
                 const PendingAssignments& pending)
      : state_(state), healthy_(healthy), pending_assignments_(pending) {}

  TargetChooser& For(const ServiceName& service);

 private:
  const ReplicatedState& state_;
  const HealthCheck& healthy_;
  const PendingAssignments& pending_assignments_;
  std::map<ServiceName, TargetChooser> choosers_;
};

/// Assignments for all shards that the server owns, whose lease is over. A shard that is moving
/// goes to its target. Shards without a candidate are left out.
std::vector<placement::Assignment> AssignShardsOf(const ServerId& lost,
                                                  const ReplicatedState& state,
                                                  TargetChoosers& choosers);

/// Moves that empty a server which takes no new work, `moves_maximum` at most.
std::vector<placement::PlannedMove> DrainShardsOf(const ServerId& server,
                                                  const ReplicatedState& state,
                                                  TargetChoosers& choosers,
                                                  std::size_t moves_maximum);

}  // namespace graniteseam::control
