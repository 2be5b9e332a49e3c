/// @file
/// When the leader last heard of each instance.
#pragma once

#include <map>
#include <optional>

#include "graniteseam/common/time.h"
#include "graniteseam/traffic/instance.h"

namespace graniteseam::control {

/// A hint, not a proof: an instance that is not heard of may still serve, cut off from control
/// only. Not thread safe.
class InstanceLiveness {
 public:
  /// @param unreachable_after after which an instance gets nothing new.
  /// @param now the start of a leadership: all instances count as heard then.
  InstanceLiveness(Duration unreachable_after, Instant now)
      : unreachable_after_(unreachable_after), start_(now) {}

  void RecordHeartbeat(const traffic::InstanceId& id, Instant now) {
    HeardTimes& times = heard_.try_emplace(id, HeardTimes{now, {}, now}).first->second;
    if (now - times.last >= kDuplicateWithin) times.previous = times.last;
    times.last = now;
  }

  bool IsUnreachable(const traffic::InstanceId& id, Instant now) const {
    return now - LastHeard(id).value_or(start_) > unreachable_after_;
  }

  bool HeardSince(const traffic::InstanceId& id, Instant since) const {
    const auto last = LastHeard(id);
    return last && *last >= since;
  }

  /// Whether two heartbeats arrived since: one may have been on its way for long.
  bool HeardTwiceSince(const traffic::InstanceId& id, Instant since) const {
    const auto found = heard_.find(id);
    return found != heard_.end() && found->second.previous >= since;
  }

  /// In this leadership; nullopt when it was not heard of.
  std::optional<Instant> FirstHeard(const traffic::InstanceId& id) const {
    const auto found = heard_.find(id);
    return found == heard_.end() ? std::nullopt : std::optional(found->second.first);
  }
  std::optional<Instant> LastHeard(const traffic::InstanceId& id) const {
    const auto found = heard_.find(id);
    return found == heard_.end() ? std::nullopt : std::optional(found->second.last);
  }

 private:
  /// A heartbeat that comes so soon after another one may be the same, sent again.
  static constexpr Duration kDuplicateWithin{500'000};

  /// When the heartbeats of an instance arrived.
  struct HeardTimes {
    Instant first;
    Instant previous;  ///< Before `last`, not a repetition of it; Instant{} for none.
    Instant last;
  };

  const Duration unreachable_after_;
  const Instant start_;
  std::map<traffic::InstanceId, HeardTimes> heard_;
};

}  // namespace graniteseam::control
