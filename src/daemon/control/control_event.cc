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

bool ControlEventQueue::Push(ControlEvent event) {
  const std::lock_guard lock(mutex_);
  if (events_.size() >= capacity_ && IsSentAgain(event)) return false;
  events_.push_back(std::move(event));
  changed_.notify_one();
  return true;
}

std::vector<ControlEvent> ControlEventQueue::Take(std::size_t maximum, Duration limit) {
  std::unique_lock lock(mutex_);
  changed_.wait_for(lock, limit, [this] { return closed_ || !events_.empty(); });
  const auto count = static_cast<std::ptrdiff_t>(std::min(maximum, events_.size()));
  std::vector<ControlEvent> taken(std::make_move_iterator(events_.begin()),
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

}  // namespace graniteseam::daemon
