#include "src/event_http/segmented_text.h"

#include <algorithm>
#include <utility>

namespace graniteseam::event_http {

void SegmentedText::Append(std::string_view text) {
  size_ += text.size();
  while (!text.empty()) {
    if (segments_.empty() || segments_.back().size() == kSegmentBytes) {
      // The first one grows with its text: most texts are short.
      const bool first = segments_.empty();
      segments_.emplace_back();
      if (!first) segments_.back().reserve(kSegmentBytes);
    }
    std::string& last = segments_.back();
    const std::size_t bytes = std::min(text.size(), kSegmentBytes - last.size());
    if (last.size() + bytes > last.capacity()) {
      last.reserve(std::min(kSegmentBytes, std::max(2 * last.capacity(), last.size() + bytes)));
    }
    last.append(text.substr(0, bytes));
    text.remove_prefix(bytes);
  }
}

std::size_t SegmentedText::capacity() const {
  if (segments_.size() < 2) return segments_.empty() ? 0 : segments_.front().capacity();
  return segments_.size() * kSegmentBytes;
}

std::string SegmentedText::Take() {
  std::string whole;
  if (segments_.size() == 1) {
    whole = std::move(segments_.front());
    segments_.clear();
  }
  if (!segments_.empty()) whole.reserve(size_);
  while (!segments_.empty()) {
    whole.append(segments_.front());
    segments_.pop_front();
  }
  size_ = 0;
  return whole;
}

}  // namespace graniteseam::event_http
