/// @file
/// Spaces the pieces in which large responses are written.
#pragma once

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <optional>

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
  /// Time of a late event loop that is made up for at once. What is written for it occupies the
  /// link for less than this, because the rate is below the link's, and holds up messages that the
  /// same loop made late by more.
  static constexpr Duration kMadeUpMaximum{50'000};
  /// Between the time by which the responses would end at the rate and the time by which they must:
  /// an event loop that is as late as this still has a turn in which it writes the rest.
  static constexpr Duration kSpare{500'000};

  /// @param bytes_per_second of all paced responses together; 0: none are paced.
  explicit WritePacer(double bytes_per_second) : bytes_per_second_(bytes_per_second) {}

  bool Paces(std::size_t response_bytes) const {
    return bytes_per_second_ > 0 && response_bytes >= kPacedBytesMinimum;
  }

  /// Counts a response that is to be written in pieces.
  void Add(std::size_t bytes) { unwritten_bytes_ += bytes; }
  /// Bytes of it were written, or will not be.
  void Remove(std::size_t bytes) { unwritten_bytes_ -= bytes; }

  /// All responses must be written by `end`, those that are added later included: once the rate
  /// might be too low for that, they are no longer paced.
  void EndBy(Instant end) { end_ = end; }
  bool GivesUp(Instant now) const {
    return end_ && now + kSpare + TimeOf(unwritten_bytes_) >= *end_;
  }

  /// Reserves the time that a piece takes. Responses that are written at the same time get pieces
  /// in turn.
  /// @return how long to wait before it is written.
  Duration Reserve(std::size_t piece_bytes, Instant now) {
    if (GivesUp(now)) return {};
    const Instant begin = std::max(now, next_);
    next_ = begin + TimeOf(piece_bytes);
    return begin - now;
  }

  /// Makes up for what a late event loop could not write. To be called when a reserved piece is
  /// written: since its response waited for its turn, all time without a reservation that passed
  /// meanwhile was lost to lateness. Each loss is made up for once, whichever response comes first.
  /// Without pacing, nothing needs to wait for a further piece.
  /// @param left_bytes of the response behind the piece.
  /// @return how many of them to write with the piece.
  std::size_t MakeUp(std::size_t left_bytes, Instant now) {
    if (GivesUp(now)) return left_bytes;
    const Instant lost_since = std::max(next_, now - kMadeUpMaximum);
    if (lost_since >= now) return 0;
    const std::size_t bytes = std::min(left_bytes, BytesIn(now - lost_since));
    next_ = lost_since + TimeOf(bytes);
    return bytes;
  }

 private:
  Duration TimeOf(std::size_t bytes) const {
    if (bytes == 0) return {};
    const double seconds = static_cast<double>(bytes) / bytes_per_second_;
    return std::chrono::duration_cast<Duration>(std::chrono::duration<double>(seconds));
  }
  std::size_t BytesIn(Duration time) const {
    return static_cast<std::size_t>(std::chrono::duration<double>(time).count() *
                                    bytes_per_second_);
  }

  const double bytes_per_second_;
  Instant next_{};  ///< When the time that is reserved so far ends.
  std::size_t unwritten_bytes_ = 0;
  std::optional<Instant> end_;
};

}  // namespace graniteseam::event_http
