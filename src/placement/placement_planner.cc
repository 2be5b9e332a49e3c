#include "graniteseam/placement/placement_planner.h"

#include <algorithm>
#include <cmath>
#include <limits>

#include "src/placement/server_loads.h"

namespace graniteseam::placement {
namespace {

constexpr double kReluctanceMinimum = 0.5;
constexpr double kReluctanceMaximum = 4.0;
/// Weight of unavailability relative to churn: a move makes its keys unavailable only briefly, so
/// it counts by half.
constexpr double kUnavailabilityPart = 0.5;

Duration Scaled(Duration duration, double factor) {
  return Duration(static_cast<std::int64_t>(static_cast<double>(duration.count()) * factor));
}

/// Scales a threshold's distance from 1 by the reluctance.
double Threshold(double ratio, double reluctance) { return 1 + (ratio - 1) * reluctance; }

std::vector<HotShard> FindHotShards(const PlacementInput& input, double target, double mean) {
  double capacity = 0;
  for (const PlannedServer& server : input.servers) capacity = std::max(capacity, server.capacity);
  std::vector<HotShard> hot;
  for (const PlannedShard& shard : input.shards) {
    if (mean <= 0 || shard.load <= target * mean * capacity) continue;
    hot.push_back({{input.service, shard.index}, shard.load, shard.load / mean});
  }
  return hot;
}

}  // namespace

double MoveReluctance(const bundle::PlacementWeights& weights) {
  if (weights.imbalance <= 0) return std::numeric_limits<double>::infinity();
  const double cost =
      (weights.churn + kUnavailabilityPart * weights.unavailability) / (1 + kUnavailabilityPart);
  return std::clamp(std::sqrt(cost / weights.imbalance), kReluctanceMinimum, kReluctanceMaximum);
}

PlacementPlanner::PlacementPlanner(PlannerOptions options)
    : options_(options), budget_(options.budget_moves_maximum) {}

PlacementPlan PlacementPlanner::Plan(const PlacementInput& input, Instant now) {
  const double reluctance = MoveReluctance(input.weights);
  const bool never_moves = std::isinf(reluctance);
  const double target = Threshold(options_.imbalance_target, never_moves ? 1 : reluctance);
  const double trigger = Threshold(options_.imbalance_trigger, never_moves ? 1 : reluctance);
  ServerLoads loads(input, trigger, target, options_);
  PlacementPlan plan;
  plan.hot_shards = FindHotShards(input, target, loads.mean());
  plan.imbalance_before = plan.imbalance_after = loads.Imbalance();
  if (never_moves) return plan;
  RefillBudget(reluctance, now);
  if (!MayPlan(input, reluctance, now)) return plan;
  if (loads.mean() < options_.load_floor || !loads.AnyOverloaded()) return plan;
  const auto moves_maximum =
      std::min<std::size_t>(options_.moves_maximum, static_cast<std::size_t>(budget_));
  MoveChoice choice;
  while (plan.moves.size() < moves_maximum && loads.TakeNextMove(choice)) {
    plan.moves.push_back({{input.service, input.shards[choice.shard].index},
                          input.servers[choice.from].id,
                          input.servers[choice.to].id});
  }
  if (plan.moves.empty()) return plan;
  budget_ -= static_cast<double>(plan.moves.size());
  last_plan_ = now;
  plan.imbalance_after = loads.Imbalance();
  return plan;
}

/// Whether the load estimates have settled and the cool-down after the last plan has passed.
bool PlacementPlanner::MayPlan(const PlacementInput& input, double reluctance, Instant now) {
  const bool shifted =
      input.last_load_shift != Instant{} && now < input.last_load_shift + options_.settle_time;
  if (!shifted) {
    unsettled_since_.reset();
  } else {
    if (!unsettled_since_.has_value()) unsettled_since_ = now;
    // The wait is limited, so that a load that never settles does not leave a server overloaded.
    if (now < *unsettled_since_ + options_.settle_maximum) return false;
  }
  return !last_plan_.has_value() || now >= *last_plan_ + Scaled(options_.cool_down, reluctance);
}

void PlacementPlanner::RefillBudget(double reluctance, Instant now) {
  if (last_refill_.has_value()) {
    const double seconds = std::chrono::duration<double>(now - *last_refill_).count();
    budget_ = std::min(options_.budget_moves_maximum,
                       budget_ + seconds * options_.budget_moves_per_second / reluctance);
  }
  last_refill_ = now;
}

}  // namespace graniteseam::placement
