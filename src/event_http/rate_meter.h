/// @file
/// The rate at which a peer lately moved bytes.
#pragma once

#include <chrono>
#include <cstddef>

#include "graniteseam/common/time.h"

namespace graniteseam::event_http {

/// Counts bytes in the present window and the one before. Not thread safe; `now` must not decrease.
class RateMeter {
 public:
  static constexpr Duration kWindow{1'000'000};

  /// Begins anew: until a window has passed, the peer counts as fast.
  void Start(Instant now) {
    window_begin_ = now;
    current_ = 0;
    previous_ = 0;
    first_window_ = true;
  }

  void Record(std::size_t bytes, Instant now) {
    Advance(now);
    current_ += bytes;
  }

  /// @return bytes a second over the last one to two windows; `while_new` in the first window.
  double Rate(Instant now, double while_new) const {
    RateMeter meter = *this;
    meter.Advance(now);
    if (meter.first_window_) return while_new;
    const Duration span = kWindow + (now - meter.window_begin_);
    const double seconds = std::chrono::duration<double>(span).count();
    return static_cast<double>(meter.previous_ + meter.current_) / seconds;
  }

 private:
  void Advance(Instant now) {
    const Duration passed = now - window_begin_;
    if (passed < kWindow) return;
    first_window_ = false;
    previous_ = passed < 2 * kWindow ? current_ : 0;
    current_ = 0;
    window_begin_ += passed / kWindow * kWindow;
  }

  Instant window_begin_{};
  std::size_t current_ = 0;
  std::size_t previous_ = 0;
  bool first_window_ = true;
};

}  // namespace graniteseam::event_http
