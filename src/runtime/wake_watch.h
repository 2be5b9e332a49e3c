/// @file
/// Tells when the machine woke from a suspension.
#pragma once

#include "graniteseam/common/time.h"
#include "src/runtime/clock.h"

namespace graniteseam::runtime {

/// Timers run by a clock that stands still while the machine is suspended: one that was due in the
/// meantime fires as much later. Whoever set timers by CLOCK_BOOTTIME asks here at each event, and
/// sets them anew after a suspension. Not thread safe.
class WakeWatch {
 public:
  using Reading = Duration (*)();

  explicit WakeWatch(Reading suspended_time = SuspendedTime)
      : suspended_time_(suspended_time), seen_(suspended_time()) {}

  /// Whether the machine was suspended since the last question.
  bool Woke() {
    const Duration suspended = suspended_time_();
    if (suspended - seen_ < kShortest) return false;
    seen_ = suspended;
    return true;
  }

 private:
  /// The two clocks are read one after the other, with a process switch between at times.
  static constexpr Duration kShortest{50'000};

  Reading suspended_time_;
  Duration seen_;
};

}  // namespace graniteseam::runtime
