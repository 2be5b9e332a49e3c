/// @file
/// When the bytes of a connection were read.
#pragma once

#include <cstddef>
#include <cstdint>
#include <vector>

#include "graniteseam/common/time.h"

namespace graniteseam::event_http {

/// Tells when the last consumed byte of a connection was read. Requests that a client sends ahead
/// may be parsed long after they were read.
///
/// Keeps at most kReadsMaximum instants, so that a client that sends single bytes does not make it
/// grow; later reads then share the newest instant. Not thread safe.
class ReadTimes {
 public:
  static constexpr std::size_t kReadsMaximum = 16;

  /// Records a read of `bytes` bytes.
  void OnRead(std::size_t bytes, Instant now) {
    if (bytes == 0) return;
    read_ += bytes;
    if (reads_.size() < kReadsMaximum) {
      reads_.push_back({read_, now});
    } else {
      reads_.back() = {read_, now};
    }
  }

  /// Records that `bytes` of the bytes read were consumed.
  void OnConsumed(std::size_t bytes) {
    consumed_ += bytes;
    auto first = reads_.begin();
    while (first != reads_.end() && first->end < consumed_) ++first;
    reads_.erase(reads_.begin(), first);
    if (bytes > 0 && !reads_.empty()) last_consumed_at_ = reads_.front().at;
  }

  /// When the last consumed byte was read.
  Instant last_consumed_at() const { return last_consumed_at_; }

 private:
  struct Read {
    std::uint64_t end = 0;  ///< Bytes read in total after it.
    Instant at{};
  };

  std::vector<Read> reads_;  ///< Oldest first.
  std::uint64_t read_ = 0;
  std::uint64_t consumed_ = 0;
  Instant last_consumed_at_{};
};

}  // namespace graniteseam::event_http
