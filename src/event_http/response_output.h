/// @file
/// What of a response the socket has not taken yet.
#pragma once

#include <algorithm>
#include <array>
#include <boost/asio/buffer.hpp>
#include <cstddef>
#include <memory>
#include <string>
#include <utility>

#include "src/event_http/byte_account.h"
#include "src/event_http/message.h"

namespace graniteseam::event_http {

/// Holds the head and the body, and what the body is charged with, until Clear(). Not thread safe.
class ResponseOutput {
 public:
  ResponseOutput() = default;
  /// @param close says that the connection ends with the response.
  ResponseOutput(Response response, bool close) : head_(SerializeHead(response, close)) {
    if (!HasBody(response)) return;
    body_ = std::move(response.body);
    charge_ = std::move(response.charge);
  }

  std::size_t size() const { return head_.size() + body_.size(); }
  std::size_t taken() const { return taken_; }
  std::size_t left() const { return size() - taken_; }
  /// Bytes that its account gets back by Clear().
  std::size_t charged_bytes() const { return charge_ ? charge_->bytes() : 0; }

  /// The next bytes, `most` at most.
  std::array<boost::asio::const_buffer, 2> Next(std::size_t most) const {
    const std::size_t head_at = std::min(taken_, head_.size());
    const std::size_t body_at = taken_ - head_at;
    const std::size_t of_head = std::min(most, head_.size() - head_at);
    const std::size_t of_body = std::min(most - of_head, body_.size() - body_at);
    return {boost::asio::buffer(head_.data() + head_at, of_head),
            boost::asio::buffer(body_.data() + body_at, of_body)};
  }
  void Take(std::size_t bytes) { taken_ += bytes; }
  void Clear() { *this = {}; }

 private:
  std::string head_;
  std::string body_;
  std::shared_ptr<const ByteCharge> charge_;
  std::size_t taken_ = 0;
};

}  // namespace graniteseam::event_http
