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
  bool may_gain = true;   ///< False while leaving, drained or without a lease: it only loses.
};

/// A shard with its present owner and load.
struct PlannedShard {
  std::uint32_t index = 0;
  std::uint32_t owner = 0;  ///< Index into PlacementInput::servers.
  double load = 0;          ///< Requests a second.
  double deviation = 0;     ///< Standard deviation of `load`.
  bool movable = true;      ///< False while a move of it is under way.
};

/// One service as it stands.
struct PlacementInput {
  ServiceName service;
  bundle::PlacementWeights weights;
  std::vector<PlannedServer> servers;
  std::vector<PlannedShard> shards;
  Instant last_load_shift{};  ///< LoadTracker::LastShift of the service.
};

struct ShardMove {
  ShardId shard;
  ServerId from;
  ServerId to;

  bool operator==(const ShardMove&) const = default;
};

/// A shard that alone exceeds what one server should carry. It can not be split; only more shards
/// (a new service) or a faster server helps.
struct HotShard {
  ShardId shard;
  double load = 0;
  double of_mean = 0;  ///< Its load over the mean load of a server.
};

struct PlacementPlan {
  std::vector<ShardMove> moves;  ///< In the order in which they should start.
  std::vector<HotShard> hot_shards;
  double imbalance_before = 1.0;  ///< Highest load over mean load of servers, by capacity.
  double imbalance_after = 1.0;   ///< The same once all moves are done.
};

/// Tunables; the services' weights scale the thresholds, see docs/operations/rebalancing.md.
struct PlannerOptions {
  double imbalance_trigger = 1.15;  ///< Relieve servers above this over the mean...
  double imbalance_target = 1.08;   ///< ...and bring them down to this.
  /// Where no server has room below the target: the least gain, over the mean, that is worth a
  /// move.
  double gain_minimum = 0.05;
  /// A shard above the target moves as a whole to a server that carries no more than this, over the
  /// mean: cheaper than moving all its neighbours.
  double hot_shard_target_load_maximum = 0.06;
  double noise_deviations = 2.0;    ///< Imbalance within this much noise is none.
  double load_floor = 5.0;          ///< Mean requests a second of a server below which none moves.
  Duration settle_time{1'000'000};  ///< Wait this long after the last shift of load...
  Duration settle_maximum{1'000'000};  ///< ...but never longer than this in all.
  Duration cool_down{2'000'000};       ///< Least time between two plans with moves for one service.
  std::uint32_t moves_maximum = 256;   ///< Of one plan.
  double budget_moves_per_second = 20.0;  ///< Refill of the move budget, for each service.
  double budget_moves_maximum = 512.0;    ///< Its upper limit.
};

/// How reluctant a service is to move shards, from its weights: 1 for equal weights, more where
/// churn (or the short unavailability that each move brings) weighs more than imbalance. Infinite
/// where imbalance weighs nothing. Thresholds over 1 and waiting times are multiplied by it, and
/// the budget is divided by it.
double MoveReluctance(const bundle::PlacementWeights& weights);

/// Plans one service's moves. Keeps the service's move budget and the time of its last plan.
///
/// Deterministic: equal inputs give equal plans. Not thread safe. `now` never goes back.
class PlacementPlanner {
 public:
  explicit PlacementPlanner(PlannerOptions options = {});

  /// Looks at the service's load and returns the moves to start now, often none. Moves are few:
  /// only servers above the trigger lose shards, and each loses as few as can be.
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
