#include "src/daemon/control/control_event.h"

#include <algorithm>
#include <iterator>
#include <utility>

namespace graniteseam::daemon {

bool IsSentAgain(const ControlEvent& event) {
  return std::holds_alternative<PeerMessageArrived>(event) ||
         std::holds_alternative<ServerAnswered>(event) ||
         std::holds_alternative<RouterMessageArrived>(event) ||
         std::holds_alternative<PlatformListed>(event);
}

EventLane LaneOf(const ControlEvent& event) {
  const bool consensus = std::holds_alternative<PeerMessageArrived>(event) ||
                         std::holds_alternative<StopPrepared>(event);
  return consensus ? EventLane::kConsensus : EventLane::kFleet;
}

std::string_view LaneName(EventLane lane) {
  return lane == EventLane::kConsensus ? "consensus" : "fleet";
}

bool ControlEventQueue::Push(ControlEvent event, Instant arrived) {
  const std::lock_guard lock(mutex_);
  if (events_.size() >= capacity_ && IsSentAgain(event)) {
    ++dropped_[static_cast<std::size_t>(LaneOf(event))];
    return false;
  }
  events_.push_back({std::move(event), arrived});
  changed_.notify_one();
  return true;
}

std::vector<QueuedEvent> ControlEventQueue::Take(std::size_t maximum, Duration limit) {
  std::unique_lock lock(mutex_);
  changed_.wait_for(lock, limit, [this] { return closed_ || !events_.empty(); });
  const auto count = static_cast<std::ptrdiff_t>(std::min(maximum, events_.size()));
  std::vector<QueuedEvent> taken(std::make_move_iterator(events_.begin()),
                                 std::make_move_iterator(events_.begin() + count));
  events_.erase(events_.begin(), events_.begin() + count);
  return taken;
}

void ControlEventQueue::Close() {
  const std::lock_guard lock(mutex_);
  closed_ = true;
  changed_.notify_all();
}

bool ControlEventQueue::closed() const {
  const std::lock_guard lock(mutex_);
  return closed_;
}

std::size_t ControlEventQueue::size() const {
  const std::lock_guard lock(mutex_);
  return events_.size();
}

std::uint64_t ControlEventQueue::dropped(EventLane lane) const {
  const std::lock_guard lock(mutex_);
  return dropped_[static_cast<std::size_t>(lane)];
}

}  // namespace graniteseam::daemon
