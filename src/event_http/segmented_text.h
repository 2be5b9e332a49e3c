/// @file
/// Text that grows without being copied.
#pragma once

#include <cstddef>
#include <deque>
#include <string>
#include <string_view>

namespace graniteseam::event_http {

/// Holds what was appended in segments, and takes memory only as bytes come: one string would hold
/// up to three times the text while it grows. Not thread safe.
class SegmentedText {
 public:
  /// With what the allocator adds, a whole number of pages.
  static constexpr std::size_t kSegmentBytes = (std::size_t{256} << 10) - 64;

  void Append(std::string_view text);
  std::size_t size() const { return size_; }
  /// Bytes that are held, unused ones included.
  std::size_t capacity() const;
  /// The whole text; nothing is left. Holds one segment more than the text at most.
  std::string Take();

 private:
  std::deque<std::string> segments_;
  std::size_t size_ = 0;
};

}  // namespace graniteseam::event_http
