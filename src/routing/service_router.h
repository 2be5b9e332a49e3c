/// @file
/// A router's state for one service: admission, servers, retry budgets and the load figures that it
/// reports to control.
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

/// Time-weighted means of one group's use of a service. Not thread safe.
class GroupUsage {
 public:
  void OnOffered() { ++offered_; }
  /// Sets the requests in flight and waiting from `now` on.
  void Set(double in_flight, double waiting, Instant now);
  /// Returns the means since the last call and starts a new period.
  control::GroupDemand Take(Instant now);
  /// Whether the group did not use the service since the last Take().
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

/// One service in one router, used by RequestFlow. Not thread safe.
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
  /// The retry budget of one group: a group with many sheds does not use up other groups' retries.
  RetryBudget& budget(const GroupName& group) {
    return budgets_.try_emplace(group, budget_options_).first->second;
  }

  /// Free slots for a lane: those of the pool, or of the lane's server for a keyed service.
  std::size_t AvailableSlotsInLane(admission::Lane lane, Instant now) const;

  void OnOffered(const GroupName& group) { usage_[group].OnOffered(); }
  /// Adjusts the number of requests that wait outside the limiter's queue.
  void AddHeld(const GroupName& group, int change) { held_[group] += change; }
  /// Records a group's current usage; called after each change.
  void RecordUsage(const GroupName& group, Instant now);
  void RecordShardLoad(std::uint32_t shard, Duration busy);

  /// Adds the figures since the last call to a renewal and resets them.
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
