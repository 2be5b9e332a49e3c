#include "src/event_http/answer_reader.h"

#include <boost/asio/buffer.hpp>
#include <cstdint>
#include <string>
#include <utility>

namespace graniteseam::event_http {
namespace {

namespace asio = boost::asio;
namespace http = boost::beast::http;
using ErrorCode = boost::system::error_code;

constexpr std::uint32_t kHeaderBytes = 65'536;

}  // namespace

void AnswerReader::Begin(std::size_t body_bytes_maximum, bool head_only) {
  body_bytes_maximum_ = body_bytes_maximum;
  head_only_ = head_only;
  BeginMessage();
}

void AnswerReader::BeginMessage() {
  parser_.emplace();
  parser_->eager(true);
  parser_->header_limit(kHeaderBytes);
  head_limit_.Begin(kHeaderBytes);
  parser_->body_limit(body_bytes_maximum_);
  parser_->skip(head_only_);
}

AnswerState AnswerReader::Read(ReadBuffer& buffer) {
  while (!buffer.empty() && !parser_->is_done()) {
    ErrorCode error;
    const std::size_t used = parser_->put(asio::buffer(buffer.unread()), error);
    buffer.Consume(used);
    if (error && error != http::error::need_more) return AnswerState::kMalformed;
    const bool in_head = !parser_->is_header_done();
    if (in_head && head_limit_.Exceeded(used, buffer.size())) return AnswerState::kMalformed;
    if (parser_->is_done() && parser_->get().result_int() / 100 == 1) {
      // An interim answer; the final one follows (RFC 9110, section 15.2).
      BeginMessage();
    } else if (used == 0) {
      break;
    }
  }
  return parser_->is_done() ? AnswerState::kWhole : AnswerState::kIncomplete;
}

bool AnswerReader::End() {
  ErrorCode error;
  if (parser_->got_some()) parser_->put_eof(error);
  return !error && parser_->is_done();
}

Response AnswerReader::Take() {
  auto message = parser_->release();
  parser_.reset();
  Response response;
  response.status = static_cast<int>(message.result_int());
  response.reason = std::string(message.reason());
  for (const auto& field : message) {
    response.fields.Add({field.name_string().data(), field.name_string().size()},
                        {field.value().data(), field.value().size()});
  }
  response.body = std::move(message.body());
  response.head_only = head_only_;
  return response;
}

}  // namespace graniteseam::event_http
