/// @file
/// Tracks when the leader last received a heartbeat of each instance.
#pragma once

#include <map>
#include <optional>

#include "graniteseam/common/time.h"
#include "graniteseam/traffic/instance.h"

namespace graniteseam::control {

/// A hint only: an instance without heartbeats may be partitioned from the control group and still
/// serve requests. Not thread safe.
class InstanceLiveness {
 public:
  /// @param unreachable_after time without a heartbeat after which an instance is unreachable.
  /// @param now the start of a leadership; all instances count as reachable at that time.
  InstanceLiveness(Duration unreachable_after, Instant now)
      : unreachable_after_(unreachable_after), start_(now) {}

  /// Records the arrival of a heartbeat.
  void RecordHeartbeat(const traffic::InstanceId& id, Instant now) {
    HeartbeatTimes& times = heartbeat_times_.try_emplace(id, HeartbeatTimes{{}, now}).first->second;
    if (now - times.last >= kDuplicateWithin) times.previous = times.last;
    times.last = now;
  }

  /// Whether the time without a heartbeat exceeds the limit.
  bool IsUnreachable(const traffic::InstanceId& id, Instant now) const {
    return now - LastHeartbeatOrStart(id) > unreachable_after_;
  }

  /// Whether a heartbeat arrived at `since` or later.
  bool HasHeartbeatSince(const traffic::InstanceId& id, Instant since) const {
    const auto last = LastHeartbeatAt(id);
    return last && *last >= since;
  }

  /// Whether two heartbeats arrived since then. A single one may have been delayed in transit.
  bool HasTwoHeartbeatsSince(const traffic::InstanceId& id, Instant since) const {
    const auto found = heartbeat_times_.find(id);
    return found != heartbeat_times_.end() && found->second.previous >= since;
  }

  /// When the last heartbeat in this leadership arrived; nullopt if there was none.
  std::optional<Instant> LastHeartbeatAt(const traffic::InstanceId& id) const {
    const auto found = heartbeat_times_.find(id);
    return found == heartbeat_times_.end() ? std::nullopt : std::optional(found->second.last);
  }
  /// The same, with the start of the leadership if there was none.
  Instant LastHeartbeatOrStart(const traffic::InstanceId& id) const {
    return LastHeartbeatAt(id).value_or(start_);
  }

 private:
  /// A heartbeat that follows another one within this time may be a resent copy of it.
  static constexpr Duration kDuplicateWithin{500'000};

  /// Arrival times of an instance's heartbeats.
  struct HeartbeatTimes {
    Instant previous;  ///< The heartbeat before `last` that is not a copy of it; Instant{} for
                       ///< none.
    Instant last;
  };

  const Duration unreachable_after_;
  const Instant start_;
  std::map<traffic::InstanceId, HeartbeatTimes> heartbeat_times_;
};

}  // namespace graniteseam::control
