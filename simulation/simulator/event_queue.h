/// @file
/// Virtual time: what is to happen, in order.
#pragma once

#include <cstdint>
#include <functional>
#include <queue>
#include <utility>
#include <vector>

#include "graniteseam/common/time.h"

namespace graniteseam::simulation {

/// Microseconds since the start of the run, as an observer outside of all machines counts them.
using TrueTime = std::int64_t;

/// Runs events in the order of their time; of equal times, in the order in which they were added.
/// Not thread safe: one run, one thread.
class EventQueue {
 public:
  TrueTime now() const { return now_; }

  void At(TrueTime time, std::function<void()> run) {
    events_.push({std::max(time, now_), ++added_, std::move(run)});
  }
  void After(Duration delay, std::function<void()> run) {
    At(now_ + delay.count(), std::move(run));
  }

  /// Runs the next event if it is not later than `end`.
  /// @return false when there is none; the time is `end` then.
  bool Step(TrueTime end) {
    if (events_.empty() || events_.top().time > end) {
      now_ = end;
      return false;
    }
    // The top of a priority queue is const; the event leaves it on the next line.
    auto run = std::move(const_cast<Event&>(events_.top()).run);  // NOLINT
    now_ = events_.top().time;
    events_.pop();
    run();
    return true;
  }
  std::uint64_t added() const { return added_; }

 private:
  struct Event {
    TrueTime time = 0;
    std::uint64_t order = 0;
    std::function<void()> run;
    bool operator<(const Event& other) const {
      return std::pair(time, order) > std::pair(other.time, other.order);
    }
  };

  std::priority_queue<Event> events_;
  TrueTime now_ = 0;
  std::uint64_t added_ = 0;
};

}  // namespace graniteseam::simulation
