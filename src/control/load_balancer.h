/// @file
/// Moves shards to even out the load that routers report, and fills servers that joined empty.
#pragma once

#include <map>
#include <optional>
#include <set>
#include <utility>
#include <vector>

#include "graniteseam/control/router_messages.h"
#include "graniteseam/placement/load_tracker.h"
#include "graniteseam/placement/placement_planner.h"
#include "src/control/replicated_state.h"
#include "src/control/shard_assigner.h"

namespace graniteseam::control {

struct LoadBalancerOptions {
  placement::LoadTrackerOptions tracker;
  placement::PlannerOptions planner;
  /// How often the load is looked at.
  Duration interval{500'000};
  /// A server gets shards only after it has served this long: one that comes and goes costs none.
  Duration fill_delay{5'000'000};
  /// Shards that are on their way to one filling server at once.
  std::size_t fill_moves_maximum = 16;
  /// A server is filled up to this part of the mean number of shards, from below half of it.
  double fill_level = 0.9;
};

/// The control leader's view of load. Soft: a new leader starts empty and learns from renewals, and
/// moves nothing by load before it has. Not thread safe; deterministic.
///
/// Each round costs one pass over the shards of the services that have load; between rounds work
/// grows with what routers report.
class LoadBalancer {
 public:
  /// @param state outlives the balancer.
  LoadBalancer(LoadBalancerOptions options, const ReplicatedState& state, Instant now);

  /// Takes what one router counted since its last renewal.
  void Report(const std::vector<ShardLoad>& loads, Instant now);
  /// Notes that a server began to serve.
  void Joined(const ServerId& server, Instant now) { joined_[server] = now; }

  /// Moves to begin now; empty between rounds.
  std::vector<placement::PlannedMove> Decide(const HealthCheck& healthy, Instant now);
  Instant NextDue() const { return due_; }

 private:
  using ServersByCount = std::set<std::pair<std::size_t, ServerId>>;

  void PlanByLoad(const bundle::Service& service, const HealthCheck& healthy, Instant now,
                  std::vector<placement::PlannedMove>& moves);
  placement::PlacementInput InputOf(const bundle::Service& service,
                                    const HealthCheck& healthy) const;
  void FillEmptyServers(const bundle::Service& service, const HealthCheck& healthy, Instant now,
                        std::vector<placement::PlannedMove>& moves);
  /// Takes one shard of the server with the most shards, as long as it has more than the mean.
  std::optional<placement::PlannedMove> TakeFromFullest(
      ServersByCount& servers, const ServerId& target, double mean,
      const std::vector<placement::PlannedMove>& taken) const;
  std::size_t MovesToFill(const ServerId& server, double mean, Instant now) const;

  LoadBalancerOptions options_;
  const ReplicatedState& state_;
  placement::LoadTracker tracker_;
  std::map<ServiceName, placement::PlacementPlanner> planners_;
  std::map<ServerId, Instant> joined_;
  Instant started_;
  Instant due_;
};

}  // namespace graniteseam::control
