#include "src/daemon/control/control_event.h"

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
                         std::holds_alternative<StopPrepared>(event) ||
                         std::holds_alternative<SeedsChanged>(event);
  if (consensus) return EventLane::kConsensus;
  const auto* const asked = std::get_if<OperatorRequested>(&event);
  if (asked == nullptr) return EventLane::kFleet;
  const bool of_instance = std::holds_alternative<control::ReportInstance>(asked->command) ||
                           std::holds_alternative<control::DeregisterInstance>(asked->command);
  return of_instance ? EventLane::kFleet : EventLane::kOperator;
}

std::string_view LaneName(EventLane lane) {
  switch (lane) {
    case EventLane::kConsensus:
      return "consensus";
    case EventLane::kOperator:
      return "operator";
    case EventLane::kFleet:
      return "fleet";
  }
  return "";
}

bool ControlEventQueue::Push(ControlEvent event, Instant arrived) {
  const std::lock_guard lock(mutex_);
  Lane& lane = lanes_[static_cast<std::size_t>(LaneOf(event))];
  if (lane.events.size() >= lane_capacity_ && IsSentAgain(event)) {
    ++lane.dropped;
    return false;
  }
  lane.events.push_back({std::move(event), arrived});
  changed_.notify_one();
  return true;
}

std::vector<QueuedEvent> ControlEventQueue::Take(std::size_t maximum, Duration limit) {
  std::unique_lock lock(mutex_);
  const auto has_some = [this] { return closed_ || Waiting() > 0; };
  if (!has_some() && limit > Duration::zero()) changed_.wait_for(lock, limit, has_some);
  std::vector<QueuedEvent> taken;
  for (Lane& lane : lanes_) {
    while (taken.size() < maximum && !lane.events.empty()) {
      taken.push_back(std::move(lane.events.front()));
      lane.events.pop_front();
    }
  }
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

std::size_t ControlEventQueue::Waiting() const {
  std::size_t waiting = 0;
  for (const Lane& lane : lanes_) waiting += lane.events.size();
  return waiting;
}

std::size_t ControlEventQueue::size() const {
  const std::lock_guard lock(mutex_);
  return Waiting();
}

std::uint64_t ControlEventQueue::dropped(EventLane lane) const {
  const std::lock_guard lock(mutex_);
  return lanes_[static_cast<std::size_t>(lane)].dropped;
}

}  // namespace graniteseam::daemon
