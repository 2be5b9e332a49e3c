/// @file
/// Virtual time: actions run in the order of their instants, with no clock and no thread.
#pragma once

#include <cstdint>
#include <functional>
#include <vector>

#include "graniteseam/common/time.h"

namespace graniteseam::testbed {

/// Deterministic: actions of the same instant run in the order in which they were added.
/// Not thread safe.
class EventQueue {
 public:
  using Action = std::function<void()>;

  Instant now() const { return now_; }
  void At(Instant when, Action action);
  void After(Duration delay, Action action) { At(now_ + delay, std::move(action)); }
  /// Runs `action` each `interval` from now on, as long as the queue is run.
  void Every(Duration interval, const Action& action);
  /// Runs everything due up to and including `end`, which is then the present.
  void RunUntil(Instant end);

 private:
  struct Event {
    Instant when;
    std::uint64_t number;
    Action action;
  };
  struct Later {
    bool operator()(const Event& left, const Event& right) const {
      return left.when != right.when ? left.when > right.when : left.number > right.number;
    }
  };

  Instant now_ = InstantFromMicros(1);  // 0 means "never" to some decision makers.
  std::uint64_t added_ = 0;
  std::vector<Event> events_;  ///< A heap by Later.
};

}  // namespace graniteseam::testbed
