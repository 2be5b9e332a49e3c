/// @file
/// One machine's clock: some origin, and a rate within the drift bound.
#pragma once

#include <cmath>

#include "graniteseam/common/time.h"
#include "simulation/simulator/event_queue.h"

namespace graniteseam::simulation {

/// Never steps back; its rate may change. Not thread safe.
class VirtualClock {
 public:
  VirtualClock() = default;
  VirtualClock(std::int64_t origin, double rate) : local_base_(origin), rate_(rate) {}

  Instant At(TrueTime time) const {
    const double passed = static_cast<double>(time - true_base_) * rate_;
    return InstantFromMicros(local_base_ + static_cast<std::int64_t>(std::floor(passed)));
  }
  /// The first true time at which the clock shows `local` or more.
  TrueTime When(Instant local) const {
    const double left = static_cast<double>(ToMicros(local) - local_base_) / rate_;
    return true_base_ + static_cast<TrueTime>(std::ceil(left));
  }
  void SetRate(double rate, TrueTime now) {
    local_base_ = ToMicros(At(now));
    true_base_ = now;
    rate_ = rate;
  }

 private:
  TrueTime true_base_ = 0;
  std::int64_t local_base_ = 0;
  double rate_ = 1.0;
};

}  // namespace graniteseam::simulation
