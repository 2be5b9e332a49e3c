/// @file
/// What happens to a control process, as its deciding thread takes it, and the queue between.
#pragma once

#include <array>
#include <condition_variable>
#include <cstdint>
#include <deque>
#include <mutex>
#include <string_view>
#include <variant>
#include <vector>

#include "graniteseam/control/control_node.h"
#include "src/runtime/clock.h"

namespace graniteseam::daemon {

struct PeerMessageArrived {
  consensus::PeerMessage message;
};
struct ServerAnswered {
  lease::LeaseAnswer answer;
};
struct RouterMessageArrived {
  control::ConnectionId connection = 0;
  control::RouterToControl message;
};
struct RouterDisconnected {
  control::ConnectionId connection = 0;
};
struct OperatorRequested {
  control::RequestId request = 0;
  control::OperatorRequest command;
};
struct PlatformListed {
  control::PlatformList list;
};
struct RangeOrderEnded {
  control::RangeOrderResult result;
};
/// A planned stop begins: hand leadership over.
struct StopPrepared {};

using ControlEvent =
    std::variant<PeerMessageArrived, ServerAnswered, RouterMessageArrived, RouterDisconnected,
                 OperatorRequested, PlatformListed, RangeOrderEnded, StopPrepared>;

/// Whether the sender of an event sends it again by itself, so that it may be dropped.
bool IsSentAgain(const ControlEvent& event);

/// Which duty of the process an event serves.
enum class EventLane {
  kConsensus,  ///< Keeps the group together: messages of peers, a planned stop.
  kFleet,      ///< Everything that grows with routers, instances and operators.
};
EventLane LaneOf(const ControlEvent& event);
/// "consensus" or "fleet".
std::string_view LaneName(EventLane lane);

struct QueuedEvent {
  ControlEvent event;
  Instant arrived;
};

/// Carries events from all threads to the deciding one. Thread safe.
///
/// Bounded: when full, it drops what its sender sends again by itself (messages of peers and
/// routers, answers of servers), and takes the rest, which is bounded at its source.
class ControlEventQueue {
 public:
  explicit ControlEventQueue(std::size_t capacity = 65'536) : capacity_(capacity) {}

  /// @return false when the event was dropped.
  bool Push(ControlEvent event, Instant arrived = runtime::BootTimeNow());

  /// Waits at most `limit` for an event, then takes up to `maximum`.
  std::vector<QueuedEvent> Take(std::size_t maximum, Duration limit);

  /// Makes Take() return at once from now on.
  void Close();
  bool closed() const;

  std::size_t size() const;
  /// Events of a lane that were dropped so far.
  std::uint64_t dropped(EventLane lane) const;

 private:
  const std::size_t capacity_;
  mutable std::mutex mutex_;  ///< Guards the members below.
  std::condition_variable changed_;
  std::deque<QueuedEvent> events_;
  std::array<std::uint64_t, 2> dropped_{};  ///< By lane.
  bool closed_ = false;
};

}  // namespace graniteseam::daemon
