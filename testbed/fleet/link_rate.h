/// @file
/// The bandwidth of one direction of a machine's link.
#pragma once

#include <algorithm>
#include <cstddef>
#include <cstdint>

#include "graniteseam/common/time.h"

namespace graniteseam::testbed {

/// Bytes leave one after the other at a fixed rate; what is sent while others leave waits for them.
/// Not thread safe; `now` must not decrease.
class LinkRate {
 public:
  explicit LinkRate(double bytes_per_second) : bytes_per_second_(bytes_per_second) {}

  /// @return when the last of these bytes has left.
  Instant Send(std::size_t bytes, Instant now) {
    const Instant begins = std::max(now, free_at_);
    longest_wait_ = std::max<Duration>(longest_wait_, begins - now);
    constexpr double kMicrosPerSecond = 1e6;
    const double taken = static_cast<double>(bytes) / bytes_per_second_ * kMicrosPerSecond;
    free_at_ = begins + Duration(static_cast<std::int64_t>(taken));
    return free_at_;
  }

  /// The longest time for which bytes have waited for earlier ones.
  Duration longest_wait() const { return longest_wait_; }

 private:
  const double bytes_per_second_;
  Instant free_at_{};
  Duration longest_wait_{};
};

}  // namespace graniteseam::testbed
