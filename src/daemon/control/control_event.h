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
/// What a push sent to routers has left the process.
struct PushSent {
  std::uint64_t push = 0;
  bool of_feed = false;  ///< To the routers that take the state from this process.
};
/// A planned stop begins: hand leadership over.
struct StopPrepared {};

/// The settings were read again and name other seeds.
struct SeedsChanged {
  std::vector<consensus::Member> seeds;
};

using ControlEvent = std::variant<PeerMessageArrived, ServerAnswered, RouterMessageArrived,
                                  RouterDisconnected, OperatorRequested, PlatformListed,
                                  RangeOrderEnded, PushSent, StopPrepared, SeedsChanged>;

/// Whether the sender of an event sends it again by itself, so that it may be dropped.
bool IsSentAgain(const ControlEvent& event);

/// Which duty of the process an event serves, the one that goes first before the others.
enum class EventLane {
  kConsensus,  ///< Keeps the group together: messages of peers, a planned stop, seeds.
  kOperator,   ///< What operators ask: few at once, and somebody waits for each.
  kFleet,      ///< Everything that grows with routers and instances.
};
inline constexpr std::size_t kEventLanes = 3;
EventLane LaneOf(const ControlEvent& event);
/// "consensus", "operator" or "fleet".
std::string_view LaneName(EventLane lane);

struct QueuedEvent {
  ControlEvent event;
  Instant arrived;
};

/// Carries events from all threads to the deciding one, a lane after the other, and within a lane
/// in the order of their arrival. Thread safe.
///
/// The lanes keep a leader one: what hundreds of routers and instances sent may wait, and what the
/// group's elections rest on never waits behind it. With one lane, a group under 330 instances and
/// 100 routers lost its leader each two seconds without a fault (tests/control_daemon).
///
/// Bounded: a lane that is full drops what its sender sends again by itself (messages of peers and
/// routers, answers of servers), and takes the rest, which is bounded at its source.
class ControlEventQueue {
 public:
  /// @param capacity half of it is consensus' own, half the fleet's; operators wait for answers,
  /// which bounds theirs.
  explicit ControlEventQueue(std::size_t capacity = 65'536) : lane_capacity_(capacity / 2) {}

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
  struct Lane {
    std::deque<QueuedEvent> events;
    std::uint64_t dropped = 0;
  };

  std::size_t Waiting() const;

  const std::size_t lane_capacity_;
  mutable std::mutex mutex_;  ///< Guards the members below.
  std::condition_variable changed_;
  std::array<Lane, kEventLanes> lanes_;  ///< In the order of EventLane.
  bool closed_ = false;
};

}  // namespace graniteseam::daemon
