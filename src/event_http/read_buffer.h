/// @file
/// What a connection received and nobody consumed yet.
#pragma once

#include <boost/asio/buffer.hpp>
#include <cstddef>
#include <string>
#include <string_view>
#include <vector>

namespace graniteseam::event_http {

/// Invariant: a pending read and a consumer never share bytes. A read fills an area of its own, and
/// what it brought joins the unread bytes only when it has ended. So bytes may be consumed, or
/// thrown away, while a read is pending; a buffer that hands its free end to the read would move
/// that end when it is emptied, and old bytes would be taken for what the read brought.
///
/// The price is one copy of each byte, of at most one read at a time. Not thread safe.
class ReadBuffer {
 public:
  /// What one read brings at most.
  static constexpr std::size_t kReadBytes = 8'192;

  /// Where the next read puts its bytes, until EndRead(). Not while one is pending.
  boost::asio::mutable_buffer BeginRead() {
    pending_ = true;
    area_.resize(kReadBytes);
    return boost::asio::buffer(area_);
  }

  /// Takes the first `bytes` of the area; 0 when the read failed or nobody wants them.
  void EndRead(std::size_t bytes) {
    pending_ = false;
    Append({area_.data(), bytes});
  }

  /// Takes bytes that were read elsewhere.
  void Append(std::string_view bytes) {
    unread_.erase(0, consumed_);
    consumed_ = 0;
    unread_.append(bytes);
  }

  bool pending() const { return pending_; }

  std::string_view unread() const { return std::string_view(unread_).substr(consumed_); }
  bool empty() const { return size() == 0; }
  std::size_t size() const { return unread_.size() - consumed_; }

  /// @param bytes size() at most.
  void Consume(std::size_t bytes) {
    consumed_ += bytes;
    if (empty()) Clear();
  }

  /// Forgets what is unread, and returns its memory. A pending read goes on.
  void Clear() {
    unread_ = {};
    consumed_ = 0;
  }
  /// Bytes that are held for what is unread.
  std::size_t held_bytes() const { return unread_.empty() ? 0 : unread_.capacity(); }

 private:
  std::vector<char> area_;
  std::string unread_;  ///< Its first `consumed_` bytes are done with.
  std::size_t consumed_ = 0;
  bool pending_ = false;
};

}  // namespace graniteseam::event_http
