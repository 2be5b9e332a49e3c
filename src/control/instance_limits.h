/// @file
/// What instances state of the requests that they take, as routers tell the leader: limits, with
/// the tokens that share them, and rests.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <vector>

#include "graniteseam/common/time.h"
#include "graniteseam/traffic/instance_limit.h"

namespace graniteseam::control {

/// Invariant: within any span, the tokens given for an instance are no more than its limit allows
/// in that span and a burst, also over a change of leader: a new one begins without any, and
/// tokens are given under the leader lease only. Answers the load of many routers that each keep
/// to a limit by themselves.
///
/// The newest word counts, by when a router heard it. Lives as long as one leadership. Not thread
/// safe; `now` never goes back.
class InstanceLimits {
 public:
  void Take(const traffic::InstanceLimit& state, Instant now);
  traffic::LimitTokenGrant TakeTokens(const traffic::LimitTokenRequest& request, Instant now);

  void Take(const traffic::InstanceRest& backoff, Instant now);
  /// Whether an instance lately asked for so long a rest that it had better own nothing.
  bool IsBackingOff(const traffic::InstanceId& instance, Instant now) const;

  /// Requests a second; nullopt for an instance that names no limit.
  std::optional<double> LimitOf(const traffic::InstanceId& instance) const;

  /// Words that changed much since they were told to all routers.
  std::vector<traffic::InstanceLimit> TakeChanges(Instant now);
  /// All limits that stand, for a router that was told nothing yet.
  std::vector<traffic::InstanceLimit> All(Instant now) const;

 private:
  struct LimitState {
    double limit = 0;  ///< Requests a second; 0 for none.
    Instant observed_at{};
    Instant last_used{};   ///< Told or asked about by any router.
    double published = 0;  ///< As told to all routers.
    double tokens = 0;
    Instant refilled_at{};
  };

  /// An instance that asks again soon after it got keys back is left without for longer each time.
  struct Backoff {
    Instant avoid_until{};
    Duration pause{};  ///< Added to the rest.
  };

  static void RefillTokens(LimitState& state, Instant now);
  static traffic::InstanceLimit ToMessage(const traffic::InstanceId& instance,
                                          const LimitState& state, Instant now);

  std::map<traffic::InstanceId, LimitState> limits_;
  std::map<traffic::InstanceId, Backoff> backoffs_;
};

}  // namespace graniteseam::control
