/// @file
/// The body of a message whose memory grows with the bytes that have come.
#pragma once

#include <algorithm>
#include <boost/asio/buffer.hpp>
#include <boost/beast/http/message.hpp>
#include <boost/optional.hpp>
#include <boost/system/error_code.hpp>
#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace graniteseam::event_http {

/// Bytes in segments. A text that grows holds its old and its new memory at once while it moves;
/// here only the first segment moves, and memory is taken when bytes come.
class SegmentedBytes {
 public:
  static constexpr std::size_t kSegmentBytes = std::size_t{256} << 10;

  void Append(std::string_view bytes) {
    while (!bytes.empty()) {
      if (segments_.empty() || segments_.back().size() == kSegmentBytes) AddSegment();
      std::string& last = segments_.back();
      const std::size_t taken = std::min(bytes.size(), kSegmentBytes - last.size());
      if (last.size() + taken > last.capacity()) Grow(last, taken);
      last.append(bytes.substr(0, taken));
      bytes.remove_prefix(taken);
      size_ += taken;
    }
  }

  std::size_t size() const { return size_; }
  /// Bytes that are held, unused ones included.
  std::size_t capacity() const {
    std::size_t bytes = 0;
    for (const std::string& segment : segments_) bytes += segment.capacity();
    return bytes;
  }

  /// @return all bytes in one text. Each segment is freed once it is copied; a single one is moved.
  std::string Join() && {
    std::vector<std::string> segments = std::exchange(segments_, {});
    const std::size_t size = std::exchange(size_, 0);
    if (segments.empty()) return {};
    if (segments.size() == 1) return std::move(segments.front());
    std::string joined;
    joined.reserve(size);
    for (std::string& segment : segments) {
      joined += segment;
      std::string().swap(segment);
    }
    return joined;
  }

 private:
  /// The first segment begins small, since most bodies are.
  void AddSegment() {
    const bool first = segments_.empty();
    segments_.emplace_back();
    if (!first) segments_.back().reserve(kSegmentBytes);
  }

  static void Grow(std::string& segment, std::size_t bytes) {
    const std::size_t doubled = std::min(2 * segment.capacity(), kSegmentBytes);
    // A string of its own: reserve() would double the capacity beyond the segment.
    std::string larger;
    larger.reserve(std::max(segment.size() + bytes, doubled));
    larger.append(segment);
    segment.swap(larger);
  }

  std::vector<std::string> segments_;
  std::size_t size_ = 0;
};

/// Body type of Boost.Beast for messages that are read. A stated length is not reserved ahead: the
/// peer may never send what it announced.
struct SegmentedBody {
  using value_type = SegmentedBytes;

  class Reader {
   public:
    template <bool IsRequest, class Fields>
    Reader(boost::beast::http::header<IsRequest, Fields>& /*head*/, value_type& body)
        : body_(body) {}

    void init(const boost::optional<std::uint64_t>& /*length*/, boost::system::error_code& error) {
      error = {};
    }

    template <class ConstBufferSequence>
    std::size_t put(const ConstBufferSequence& buffers, boost::system::error_code& error) {
      error = {};
      std::size_t taken = 0;
      for (auto it = boost::asio::buffer_sequence_begin(buffers);
           it != boost::asio::buffer_sequence_end(buffers); ++it) {
        const boost::asio::const_buffer buffer = *it;
        body_.Append({static_cast<const char*>(buffer.data()), buffer.size()});
        taken += buffer.size();
      }
      return taken;
    }

    void finish(boost::system::error_code& error) { error = {}; }

   private:
    value_type& body_;
  };
  using reader = Reader;  ///< The name that Boost.Beast looks for.
};

}  // namespace graniteseam::event_http
