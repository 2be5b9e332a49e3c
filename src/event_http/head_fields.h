/// @file
/// How many fields the head of a message may have, and what they take in memory.
#pragma once

#include <algorithm>
#include <cstddef>
#include <string_view>

namespace graniteseam::event_http {

/// Counts the lines of one head. A field of four bytes takes forty times as much memory as it has
/// on the wire, so that a limit on bytes alone bounds nothing.
class HeadFields {
 public:
  static constexpr std::size_t kLinesMaximum = 256;

  /// @param consumed what the parser took of the head.
  void Add(std::string_view consumed) {
    bytes_ += consumed.size();
    lines_ += static_cast<std::size_t>(std::count(consumed.begin(), consumed.end(), '\n'));
  }

  bool TooMany() const { return lines_ > kLinesMaximum; }
  /// Bytes that the head takes in the parser and in the message.
  std::size_t held_bytes() const { return 2 * bytes_ + lines_ * kFieldBytes; }

 private:
  /// A node of the parser and two strings of the message, beside their texts.
  static constexpr std::size_t kFieldBytes = 160;

  std::size_t bytes_ = 0;
  std::size_t lines_ = 0;
};

}  // namespace graniteseam::event_http
