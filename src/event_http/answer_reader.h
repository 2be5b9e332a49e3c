/// @file
/// Reads the answer to one call from a connection's bytes.
#pragma once

#include <boost/beast/http/parser.hpp>
#include <cstddef>
#include <optional>

#include "src/event_http/framing_limit.h"
#include "src/event_http/message.h"
#include "src/event_http/read_buffer.h"
#include "src/event_http/segmented_body.h"

namespace graniteseam::event_http {

enum class AnswerState {
  kIncomplete,
  kWhole,
  kMalformed,  ///< No answer of the protocol, or longer than allowed.
};

/// Not thread safe.
class AnswerReader {
 public:
  /// Begins with the answer to the next call.
  /// @param head_only the request was a HEAD: the answer has no body.
  void Begin(std::size_t body_bytes_maximum, bool head_only);

  /// Takes what the buffer holds, up to the end of the answer.
  AnswerState Read(ReadBuffer& buffer);
  /// The server sends no more: that ends an answer without a length, and cuts off every other.
  /// @return whether the answer is whole.
  bool End();

  /// Of a whole answer, before Take().
  bool keep_alive() const { return head_keeps_alive_ && parser_->keep_alive(); }
  /// The whole answer, once.
  Response Take();

 private:
  void BeginMessage();
  AnswerState ReadSome(ReadBuffer& buffer);
  void TakeHead();

  std::size_t body_bytes_maximum_ = 0;
  bool head_only_ = false;
  std::optional<boost::beast::http::response_parser<SegmentedBody>> parser_;
  FramingLimit framing_;
  HeaderFields head_fields_;  ///< Once the head is whole.
  bool head_is_taken_ = false;
  int interim_answers_ = 0;
  bool head_keeps_alive_ = false;
};

}  // namespace graniteseam::event_http
