/// @file
/// How many bytes of one message may stand outside of its body.
#pragma once

#include <cstddef>

namespace graniteseam::event_http {

/// Counts what was received of a message since its body last grew: a head, the line of a chunk with
/// its extensions, or a trailer. The parser's own limit is no bound on these: it does not hold for
/// a head that comes in pieces, nor at all behind the head (Boost.Beast 1.81).
class FramingLimit {
 public:
  /// Begins with the next message.
  void Begin(std::size_t bytes_maximum) {
    bytes_maximum_ = bytes_maximum;
    consumed_ = 0;
    body_bytes_ = 0;
  }

  /// The head has ended; its bytes no longer count.
  void EndHead() { consumed_ = 0; }

  /// @param consumed bytes that the parser took.
  /// @param body_bytes of the message so far.
  /// @param unread bytes that the parser has left behind.
  /// @return whether there are too many.
  bool Exceeded(std::size_t consumed, std::size_t body_bytes, std::size_t unread) {
    consumed_ = body_bytes > body_bytes_ ? 0 : consumed_ + consumed;
    body_bytes_ = body_bytes;
    return consumed_ + unread > bytes_maximum_;
  }

 private:
  std::size_t bytes_maximum_ = 0;
  std::size_t consumed_ = 0;  ///< Since the body last grew.
  std::size_t body_bytes_ = 0;
};

}  // namespace graniteseam::event_http
