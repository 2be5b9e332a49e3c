/// @file
/// What a router knows and does for one service: admission, servers, retry budget and the figures
/// that it reports to control.
#pragma once

#include <cstdint>
#include <map>
#include <unordered_map>
#include <vector>

#include "graniteseam/admission/group_limiter.h"
#include "graniteseam/bundle/bundle.h"
#include "graniteseam/control/router_messages.h"
#include "graniteseam/routing/retry_budget.h"
#include "graniteseam/routing/server_selector.h"

namespace graniteseam::routing {

/// Means over time of one group's use of a service. Not thread safe.
class GroupUsage {
 public:
  void OnOffered() { ++offered_; }
  /// Notes what is in flight and what waits from now on.
  void Set(double in_flight, double waiting, Instant now);
  /// Returns the means since the last call.
  control::GroupDemand Take(Instant now);
  /// Whether there was anything to report since the last call.
  bool Idle() const { return offered_ == 0 && in_flight_ == 0.0 && waiting_ == 0.0 && !used_; }

 private:
  void Advance(Instant now);

  std::uint64_t offered_ = 0;
  double in_flight_ = 0.0;
  double waiting_ = 0.0;
  double in_flight_us_ = 0.0;
  double waiting_us_ = 0.0;
  bool used_ = false;
  Instant since_{};
  Instant advanced_to_{};
};

/// One service in one router. Its parts are used by RequestFlow; not thread safe.
class ServiceRouter {
 public:
  ServiceRouter(const bundle::Service& service, const SelectorOptions& selector_options,
                const RetryBudgetOptions& budget_options, std::uint64_t seed);

  void Configure(const bundle::Service& service, const std::vector<bundle::Group>& groups);
  const bundle::Service& service() const { return service_; }
  bool keyed() const { return service_.kind == bundle::ServiceKind::kKeyed; }

  admission::GroupLimiter& limiter() { return limiter_; }
  ServerSelector& selector() { return selector_; }
  const ServerSelector& selector() const { return selector_; }
  /// A group's own budget: a group that is shed a lot does not spend the others' retries.
  RetryBudget& budget(const GroupName& group) {
    return budgets_.try_emplace(group, budget_options_).first->second;
  }

  /// Free places for a lane: those of the pool, or of the lane's server.
  std::size_t AvailableSlotsInLane(admission::Lane lane, Instant now) const;

  void OnOffered(const GroupName& group) { usage_[group].OnOffered(); }
  /// Counts a request that waits outside of the limiter's queue.
  void AddHeld(const GroupName& group, int change) { held_[group] += change; }
  /// Notes a group's present use; called after each change.
  void RecordUsage(const GroupName& group, Instant now);
  void RecordShardLoad(std::uint32_t shard, Duration busy);

  /// Moves the figures since the last call into a renewal.
  void Report(control::RouterRenewal& renewal, Instant now);

 private:
  struct Load {
    double requests = 0.0;
    double busy_us = 0.0;
  };

  bundle::Service service_;
  admission::GroupLimiter limiter_;
  ServerSelector selector_;
  RetryBudgetOptions budget_options_;
  std::map<GroupName, RetryBudget> budgets_;
  std::map<GroupName, GroupUsage> usage_;
  std::map<GroupName, int> held_;
  std::unordered_map<std::uint32_t, Load> shard_load_;
};

}  // namespace graniteseam::routing
