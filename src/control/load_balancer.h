/// @file
/// Moves shards to balance the load reported by routers, and to fill servers that joined without
/// shards.
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

/// Settings of the load balancer.
struct LoadBalancerOptions {
  placement::LoadTrackerOptions tracker;
  placement::PlannerOptions planner;
  /// Interval of balancing rounds.
  Duration interval{500'000};
  /// A server gets shards only after it has served this long, so that a server that leaves again
  /// soon causes no moves.
  Duration fill_delay{5'000'000};
  /// Maximum number of concurrent shard moves to one server that is being filled.
  std::size_t fill_moves_maximum = 16;
  /// A server is filled up to this fraction of the mean number of shards, starting when it has less
  /// than half of the mean.
  double fill_level = 0.9;
};

/// The leader's view of the load. It is not replicated: a new leader starts without data, learns
/// from renewals, and moves nothing by load before it has some. Not thread safe; deterministic.
///
/// Each round makes one pass over the shards of the services that have load; between rounds the
/// cost grows with the number of reports.
class LoadBalancer {
 public:
  /// @param state must outlive the balancer.
  LoadBalancer(LoadBalancerOptions options, const ReplicatedState& state, Instant now);

  /// Records the load that one router measured since its last renewal.
  void Report(const std::vector<ShardLoad>& loads, Instant now);
  /// Records that a server began to serve.
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
  /// Selects a shard of the server with the most shards, as long as that has more than the mean.
  std::optional<placement::PlannedMove> TakeFromFullest(
      ServersByCount& servers, const ServerId& target, double mean,
      const std::vector<placement::PlannedMove>& taken) const;
  /// Number of further moves to a server that is being filled.
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
