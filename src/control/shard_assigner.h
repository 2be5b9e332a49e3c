/// @file
/// Chooses owners for shards that are unassigned, that a drained server releases, or whose owner's
/// lease has expired. Balances by the number of shards; LoadBalancer plans moves by load.
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

/// Returns whether a server has answered recently enough to receive shards.
using HealthCheck = std::function<bool(const ServerId&)>;

/// Number of shards assigned to each server by commands that are not applied yet.
using PendingAssignments = std::map<ServerId, std::size_t>;

/// Chooses servers of one service, the one with the fewest shards first.
///
/// Construction takes one pass over the servers; each choice takes time logarithmic in their
/// number.
class TargetChooser {
 public:
  /// Collects the service's servers that accept new work and are healthy.
  TargetChooser(const ReplicatedState& state, const HealthCheck& healthy,
                const PendingAssignments& pending, const ServiceName& service);

  /// Returns the server with the fewest shards and adds one to its count; nullopt if there is none.
  std::optional<ServerId> Next();
  /// Whether the server may be chosen.
  bool Contains(const ServerId& server) const;
  bool empty() const { return heap_.empty(); }
  /// Whether servers were excluded only because they have not answered recently.
  bool has_unhealthy() const { return has_unhealthy_; }

 private:
  struct Candidate {
    std::size_t shards = 0;
    const ServerId* server = nullptr;  ///< Points to a key of the registry's map, which is stable.
  };
  /// Heap order with the fewest shards on top; ties are ordered by server id, for determinism.
  static bool Worse(const Candidate& left, const Candidate& right);

  std::vector<Candidate> heap_;
  bool has_unhealthy_ = false;
};

/// The choosers of one Decide(), so that each choice counts for all later ones.
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

/// Assigns all shards of a server whose lease has expired. A moving shard goes to its target if
/// that may be chosen. Shards without a candidate are omitted.
std::vector<placement::Assignment> AssignShardsOf(const ServerId& lost,
                                                  const ReplicatedState& state,
                                                  TargetChoosers& choosers);

/// Plans at most `moves_maximum` moves away from a server that accepts no new work.
std::vector<placement::PlannedMove> DrainShardsOf(const ServerId& server,
                                                  const ReplicatedState& state,
                                                  TargetChoosers& choosers,
                                                  std::size_t moves_maximum);

}  // namespace graniteseam::control
