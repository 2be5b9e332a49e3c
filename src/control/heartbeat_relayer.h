/// @file
/// Heartbeats that a control process takes although it does not lead.
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

/// Takes heartbeats for the leader. One that changes nothing is acknowledged at once and its
/// instance named to the leader with others; one that changes something is told to the leader with
/// others, which proposes them together, and is acknowledged when the change was committed and
/// stands in this process's own state.
///
/// So hundreds of instances neither cross zones nor cost the leader a call each, also when they all
/// start or drain at the same moment. Without a leader they wait here instead of asking round: 290
/// of them that came again 150 ms after each refusal took all of the 0.06 of a core that each of
/// six processes had, and none could elect. Each waits for `kWaitMaximum` at most. Not thread safe;
/// `now` never goes back.
class HeartbeatRelayer {
 public:
  enum class Disposition {
    kAcknowledged,  ///< It changes nothing.
    kPending,       ///< TakeCompleted() or TakeExpired() will name it.
    kRefused,       ///< Only the leader may answer it, or too many wait.
  };

  explicit HeartbeatRelayer(const traffic::TrafficState& state) : state_(state) {}

  /// @param leader_known whether this process knows a leader, or did so lately.
  Disposition Take(std::uint64_t request, const ReportInstance& heartbeat, bool leader_known,
                   Instant now);

  /// Requests that may be answered, for a process that knows a leader.
  struct Completed {
    std::vector<std::uint64_t> acknowledged;  ///< What they told stands in the committed state.
    std::vector<std::uint64_t> refused;       ///< The leader must answer them itself.
  };
  Completed TakeCompleted(Instant now);
  /// Requests that have waited too long.
  std::vector<std::uint64_t> TakeExpired(Instant now);
  struct Waiting {
    std::uint64_t request = 0;
    ReportInstance heartbeat;
    Instant until;
  };
  /// All that wait, whole, for a process that has come to lead: what a heartbeat says of keys
  /// counts there, and one that left them out would seem to have let them go.
  std::vector<Waiting> TakeAll() { return std::exchange(waiting_, {}); }

  /// What the leader is to be told now, nullopt when nothing is due.
  std::optional<consensus::HeartbeatRelay> Flush(Instant now);

  /// When TakeExpired() has something to do, or Flush() where a leader is known.
  Instant NextDue(bool leader_known) const;

 private:
  void QueueUnchanged(const traffic::InstanceId& instance, Instant now);

  const traffic::TrafficState& state_;
  std::set<std::string>
      unchanged_instances_;  ///< Instances that told nothing new since the last batch.
  Instant unchanged_due_ = Instant::max();
  std::vector<Waiting> waiting_;  ///< In the order of their `until`.
  Instant reports_due_ = Instant::max();
  std::uint64_t checked_version_ = 0;  ///< Of the state that waiting reports were held against.
  bool has_unchecked_ = false;         ///< Some came since that need not change the state.
};

}  // namespace graniteseam::control
