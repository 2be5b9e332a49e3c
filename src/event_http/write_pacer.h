/// @file
/// Spaces the pieces in which large responses are written.
#pragma once

#include <algorithm>
#include <cstddef>
#include <cstdint>

#include "graniteseam/common/time.h"

namespace graniteseam::event_http {

/// Large responses fill the queue of a machine's link: with 6 Mbit/s, one of 90 KB holds up
/// everything that is sent after it by 120 ms. They are therefore written in pieces, together at
/// less than the link's rate, and small messages pass between the pieces. Not thread safe; `now`
/// must not decrease.
class WritePacer {
 public:
  /// Size of a piece: 5 ms of a link of 6 Mbit/s.
  static constexpr std::size_t kPieceBytes = 4'096;
  /// Shorter responses are written at once: pacing them would delay them by more than they delay
  /// others.
  static constexpr std::size_t kPacedBytesMinimum = 16'384;

  /// @param bytes_per_second of all paced responses together; 0: none are paced.
  explicit WritePacer(double bytes_per_second) : bytes_per_second_(bytes_per_second) {}

  bool Paces(std::size_t response_bytes) const {
    return bytes_per_second_ > 0 && response_bytes >= kPacedBytesMinimum;
  }

  /// Reserves the time that a piece takes. Responses that are written at the same time get pieces
  /// in turn.
  /// @return how long to wait before it is written.
  Duration Reserve(std::size_t piece_bytes, Instant now) {
    const Instant begin = std::max(now, next_);
    const double seconds = static_cast<double>(piece_bytes) / bytes_per_second_;
    next_ = begin + std::chrono::duration_cast<Duration>(std::chrono::duration<double>(seconds));
    return begin - now;
  }

 private:
  const double bytes_per_second_;
  Instant next_{};  ///< When the time that is reserved so far ends.
};

}  // namespace graniteseam::event_http
