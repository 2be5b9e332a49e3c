/// @file
/// Handling of heartbeats by a control process that is not the leader.
#pragma once

#include <cstdint>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "graniteseam/consensus/types.h"
#include "graniteseam/control/operator_messages.h"
#include "src/traffic/traffic_state.h"

namespace graniteseam::control {

/// Handles heartbeats on behalf of the leader. A heartbeat that changes nothing is acknowledged at
/// once, and its instance is reported to the leader in a batch. One that changes something is
/// forwarded to the leader in a batch, which the leader proposes as one command; it is acknowledged
/// when the change is committed and applied in this process's own state.
///
/// Heartbeats of hundreds of instances thus neither cross zones nor cost the leader one call each,
/// even if all instances start or drain at the same time. Without a leader, heartbeats wait here
/// instead of being retried at other processes: 290 instances that retried 150 ms after each
/// refusal used all of the 0.06 of a core that each of six processes had, and no leader could be
/// elected. Each heartbeat waits for at most `kWaitMaximum`. Not thread safe; `now` must not
/// decrease.
class HeartbeatRelayer {
 public:
  /// How a heartbeat was handled.
  enum class Disposition {
    kAcknowledged,  ///< The heartbeat changes nothing.
    kPending,       ///< TakeCompleted() or TakeExpired() returns it later.
    kRefused,       ///< Only the leader may answer it, or too many are pending.
  };

  explicit HeartbeatRelayer(const traffic::TrafficState& state) : state_(state) {}

  /// Accepts a heartbeat.
  /// @param leader_known whether this process has a known leader, or had one recently.
  Disposition Take(std::uint64_t request, const ReportInstance& heartbeat, bool leader_known,
                   Instant now);

  /// Requests that can be answered, on a process with a known leader.
  struct Completed {
    std::vector<std::uint64_t> acknowledged;  ///< Their changes are in the committed state.
    std::vector<std::uint64_t> refused;       ///< Only the leader may answer them.
  };
  Completed TakeCompleted(Instant now);
  /// Removes and returns the requests that have waited too long.
  std::vector<std::uint64_t> TakeExpired(Instant now);
  /// A heartbeat that waits for its answer.
  struct Waiting {
    std::uint64_t request = 0;
    ReportInstance heartbeat;
    Instant until;
  };
  /// Removes and returns all pending heartbeats, for a process that has become leader. They are
  /// complete, since the leader evaluates their key reports, and a report without keys would look
  /// like a release.
  std::vector<Waiting> TakeAll() { return std::exchange(waiting_, {}); }

  /// The batch that is due to be sent to the leader; nullopt when nothing is due.
  std::optional<consensus::HeartbeatRelay> Flush(Instant now);

  /// When TakeExpired() is due, or Flush() if a leader is known.
  Instant NextDue(bool leader_known) const;

 private:
  void QueueUnchanged(const traffic::InstanceId& instance, Instant now);

  const traffic::TrafficState& state_;
  std::set<std::string>
      unchanged_instances_;  ///< Instances with heartbeats without changes since the last batch.
  Instant unchanged_due_ = Instant::max();
  std::vector<Waiting> waiting_;  ///< In the order of `until`.
  Instant reports_due_ = Instant::max();
  std::uint64_t checked_version_ = 0;  ///< State version that pending reports were last compared
                                       ///< with.
  bool has_unchecked_ = false;         ///< Whether reports without changes have arrived since.
};

}  // namespace graniteseam::control
