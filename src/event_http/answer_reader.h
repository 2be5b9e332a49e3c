/// @file
/// Reads the answer to one call from a connection's bytes.
#pragma once

#include <boost/beast/http/parser.hpp>
#include <cstddef>
#include <memory>
#include <optional>

#include "src/event_http/byte_account.h"
#include "src/event_http/framing_limit.h"
#include "src/event_http/head_fields.h"
#include "src/event_http/message.h"
#include "src/event_http/read_buffer.h"
#include "src/event_http/segmented_body.h"

namespace graniteseam::event_http {

enum class AnswerState {
  kIncomplete,
  kWhole,
  kMalformed,   ///< No answer of the protocol, or longer than allowed.
  kAwaitsRoom,  ///< The account has no room for the body; Read() again once it has.
};

struct AnswerLimits {
  std::size_t body_bytes_maximum = 0;
  std::shared_ptr<ByteAccount> account{};  ///< Charged for the body; null: nothing is.
};

/// Invariant: no byte of a body is held that is not charged. A body whose length the head states is
/// charged as a whole before any of it is taken, so that two of them can't keep each other waiting.
///
/// Not thread safe.
class AnswerReader {
 public:
  /// Begins with the answer to the next call.
  /// @param head_only the request was a HEAD: the answer has no body.
  void Begin(AnswerLimits limits, bool head_only);

  /// Takes what the buffer holds, up to the end of the answer. May evict holders of the account.
  AnswerState Read(ReadBuffer& buffer);
  /// The server sends no more: that ends an answer without a length, and cuts off every other.
  /// @return whether the answer is whole.
  bool End();

  /// Of a whole answer, before Take().
  bool keep_alive() const { return head_keeps_alive_ && parser_->keep_alive(); }
  /// The whole answer, once.
  Response Take();
  /// Returns what is charged for an answer that nobody wants any more. Not from within Read().
  void Discard() { charge_.reset(); }

 private:
  void BeginMessage();
  AnswerState ReadSome(ReadBuffer& buffer);
  void TakeHead();
  AnswerState MakeRoom(std::size_t unread);

  AnswerLimits limits_;
  bool head_only_ = false;
  std::optional<boost::beast::http::response_parser<SegmentedBody>> parser_;
  FramingLimit framing_;
  HeadFields head_;
  HeaderFields head_fields_;  ///< Once the head is whole.
  bool head_is_taken_ = false;
  int interim_answers_ = 0;
  std::shared_ptr<ByteCharge> charge_;  ///< Null: nothing is charged yet.
  bool head_keeps_alive_ = false;
};

}  // namespace graniteseam::event_http
