#include "testbed/virtual_fleet/event_queue.h"

#include <algorithm>
#include <utility>

namespace graniteseam::testbed {

void EventQueue::At(Instant when, Action action) {
  events_.push_back({std::max(when, now_), added_++, std::move(action)});
  std::push_heap(events_.begin(), events_.end(), Later());
}

void EventQueue::Every(Duration interval, const Action& action) {
  After(interval, [this, interval, action] {
    action();
    Every(interval, action);
  });
}

void EventQueue::RunUntil(Instant end) {
  while (!events_.empty() && events_.front().when <= end) {
    std::pop_heap(events_.begin(), events_.end(), Later());
    Event event = std::move(events_.back());
    events_.pop_back();
    now_ = event.when;
    event.action();
  }
  now_ = std::max(now_, end);
}

}  // namespace graniteseam::testbed
