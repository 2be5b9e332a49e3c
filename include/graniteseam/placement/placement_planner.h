/// @file
/// Plans moves of shards from overloaded to less loaded servers. See docs/design/placement.md.
#pragma once

#include <cstdint>
#include <optional>
#include <vector>

#include "graniteseam/bundle/bundle.h"
#include "graniteseam/common/ids.h"
#include "graniteseam/common/time.h"

namespace graniteseam::placement {

/// A server that may own shards of the service being planned.
struct PlannedServer {
  ServerId id;
  ZoneName zone;
  double capacity = 1.0;  ///< Relative to the other servers; greater than 0.
  bool may_gain = true;   ///< False while leaving, drained or without a lease: loses shards only.
};

/// A shard with its current owner and load.
struct PlannedShard {
  std::uint32_t index = 0;
  std::uint32_t owner = 0;  ///< Index into PlacementInput::servers.
  double load = 0;          ///< Requests per second.
  double deviation = 0;     ///< Standard deviation of `load`.
  bool movable = true;      ///< False while it is being moved.
};

/// The current state of one service.
struct PlacementInput {
  ServiceName service;
  bundle::PlacementWeights weights;
  std::vector<PlannedServer> servers;
  std::vector<PlannedShard> shards;
  Instant last_load_shift{};  ///< LoadTracker::LastShift of the service.
};

/// A move of a shard from its owner to another server.
struct ShardMove {
  ShardId shard;
  ServerId from;
  ServerId to;

  bool operator==(const ShardMove&) const = default;
};

/// A shard whose load alone exceeds the target load of a server. It cannot be split; the remedies
/// are more shards (a new service) or a faster server.
struct HotShard {
  ShardId shard;
  double load = 0;
  double of_mean = 0;  ///< Its load divided by the mean load of a server.
};

/// The result of PlacementPlanner::Plan().
struct PlacementPlan {
  std::vector<ShardMove> moves;  ///< In starting order.
  std::vector<HotShard> hot_shards;
  double imbalance_before = 1.0;  ///< Highest over mean load of servers, by capacity.
  double imbalance_after = 1.0;   ///< The same after all moves.
};

/// Settings of a PlacementPlanner. The services' weights scale the thresholds, see
/// docs/operations/rebalancing.md.
struct PlannerOptions {
  double imbalance_trigger = 1.15;  ///< Servers above this multiple of the mean are relieved.
  double imbalance_target = 1.08;   ///< Multiple of the mean that they are brought down to.
  /// Where no server has room below the target: the minimum gain that justifies a move, as
  /// a fraction of the mean.
  double gain_minimum = 0.05;
  /// A shard above the target is moved to a server with at most this fraction of the mean load,
  /// because that is cheaper than moving all of its neighbours.
  double hot_shard_target_load_maximum = 0.06;
  /// Imbalance within this many standard deviations of the load estimates is ignored.
  double noise_deviations = 2.0;
  /// Mean requests per second of a server, below which no shard is moved.
  double load_floor = 5.0;
  Duration settle_time{1'000'000};     ///< Waiting time after the last shift of load.
  Duration settle_maximum{1'000'000};  ///< Limit of the waiting time over all shifts.
  Duration cool_down{2'000'000};  ///< Minimum time between two plans with moves for one service.
  std::uint32_t moves_maximum = 256;      ///< Most moves of one plan.
  double budget_moves_per_second = 20.0;  ///< Refill rate of each service's move budget.
  double budget_moves_maximum = 512.0;    ///< Upper limit of the budget.
};

/// The cost factor of moves for a service, from its weights: 1 for equal weights, higher where
/// churn (or the short unavailability during each move) has more weight than imbalance, infinite
/// where imbalance has no weight. Thresholds' distance from 1 and the cool-down are multiplied by
/// it, and the budget's refill rate is divided by it.
double MoveReluctance(const bundle::PlacementWeights& weights);

/// Plans one service's moves. Keeps the service's move budget and the time of its last plan.
///
/// Deterministic: equal inputs give equal plans. Not thread safe. `now` never decreases.
class PlacementPlanner {
 public:
  explicit PlacementPlanner(PlannerOptions options = {});

  /// Returns the moves to start now, often none. Only servers above the trigger lose shards, and
  /// each loses as few as possible.
  PlacementPlan Plan(const PlacementInput& input, Instant now);

 private:
  void RefillBudget(double reluctance, Instant now);
  bool MayPlan(const PlacementInput& input, double reluctance, Instant now);

  PlannerOptions options_;
  double budget_;
  std::optional<Instant> last_refill_;
  std::optional<Instant> last_plan_;
  std::optional<Instant> unsettled_since_;
};

}  // namespace graniteseam::placement
