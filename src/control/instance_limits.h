/// @file
/// Request limits and back-off requests of instances, as reported by routers to the leader, and the
/// tokens that share the limits among routers.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <vector>

#include "graniteseam/common/time.h"
#include "graniteseam/traffic/instance_limit.h"

namespace graniteseam::control {

/// Distributes an instance's request limit among routers as tokens.
///
/// Invariant: within any period, the tokens granted for an instance do not exceed its limit for
/// that period plus one burst, also across a change of leader: a new leader starts without tokens,
/// and tokens are granted under the leader lease only. This prevents the overload by many routers
/// that each observe a limit independently.
///
/// The newest report counts, by the time when a router received it. Exists for one leadership. Not
/// thread safe. `now` must not decrease.
class InstanceLimits {
 public:
  /// Records a reported limit.
  void Take(const traffic::InstanceLimit& limit, Instant now);
  /// Records the request's limit and grants as many of the requested tokens as are available. A
  /// partial grant has the time after which to retry.
  traffic::LimitTokenGrant TakeTokens(const traffic::LimitTokenRequest& request, Instant now);

  /// Records an instance's request to back off.
  void Take(const traffic::InstanceRest& report, Instant now);
  /// Whether an instance recently requested so long a back-off that it should own no keys.
  bool IsBackingOff(const traffic::InstanceId& instance, Instant now) const;

  /// In requests per second; nullopt for an instance without a limit.
  std::optional<double> LimitOf(const traffic::InstanceId& instance) const;

  /// Drops the limits that no router reported or requested tokens for recently.
  void DropUnused(Instant now);
  /// Limits that changed considerably since they were last published to all routers; marks them as
  /// published.
  std::vector<traffic::InstanceLimit> TakeChanges(Instant now);
  /// All current limits, for a router that has received none yet.
  std::vector<traffic::InstanceLimit> All(Instant now) const;

 private:
  /// An instance's limit and token bucket.
  struct LimitState {
    double limit = 0;  ///< In requests per second; 0 for none.
    Instant observed_at{};
    Instant last_used{};   ///< When a router last reported the limit or requested tokens.
    double published = 0;  ///< As last published to all routers.
    double tokens = 0;
    Instant refilled_at{};
  };

  /// An instance that backs off again soon after it got keys back is avoided for longer each time.
  struct Backoff {
    Instant avoid_until{};
    Duration pause{};  ///< Added to the requested back-off.
  };

  static void RefillTokens(LimitState& state, Instant now);
  static traffic::InstanceLimit ToMessage(const traffic::InstanceId& instance,
                                          const LimitState& state, Instant now);

  std::map<traffic::InstanceId, LimitState> limits_;
  std::map<traffic::InstanceId, Backoff> backoffs_;
};

}  // namespace graniteseam::control
