/// @file
/// How many bytes the head of one message may take.
#pragma once

#include <cstddef>

namespace graniteseam::event_http {

/// Counts what was received of a head that is not whole. The parser's own limit does not hold for a
/// head that comes in pieces: once it has consumed the first lines it waits for more for ever
/// (Boost.Beast 1.81), and all of it is kept.
class HeadLimit {
 public:
  /// Begins with the next message.
  void Begin(std::size_t bytes_maximum) {
    bytes_maximum_ = bytes_maximum;
    consumed_ = 0;
  }

  /// @param consumed bytes that the parser took and that did not end the head.
  /// @param unread bytes behind those, which belong to the head too.
  /// @return whether the head is too long.
  bool Exceeded(std::size_t consumed, std::size_t unread) {
    consumed_ += consumed;
    return consumed_ + unread > bytes_maximum_;
  }

 private:
  std::size_t bytes_maximum_ = 0;
  std::size_t consumed_ = 0;
};

}  // namespace graniteseam::event_http
