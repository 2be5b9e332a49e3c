/// @file
/// What happens to a control process, as its deciding thread takes it, and the queue between.
#pragma once

#include <condition_variable>
#include <deque>
#include <mutex>
#include <variant>
#include <vector>

#include "graniteseam/control/control_node.h"

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

/// Carries events from all threads to the deciding one. Thread safe.
///
/// Bounded: when full, it drops what its sender sends again by itself (messages of peers and
/// routers, answers of servers), and takes the rest, which is bounded at its source.
class ControlEventQueue {
 public:
  explicit ControlEventQueue(std::size_t capacity = 65'536) : capacity_(capacity) {}

  /// @return false when the event was dropped.
  bool Push(ControlEvent event);

  /// Waits at most `limit` for an event, then takes up to `maximum`.
  std::vector<ControlEvent> Take(std::size_t maximum, Duration limit);

  /// Makes Take() return at once from now on.
  void Close();
  bool closed() const;

  std::size_t size() const;

 private:
  const std::size_t capacity_;
  mutable std::mutex mutex_;  ///< Guards the members below.
  std::condition_variable changed_;
  std::deque<ControlEvent> events_;
  bool closed_ = false;
};

}  // namespace graniteseam::daemon
