#include "src/event_http/answer_reader.h"

#include <algorithm>
#include <boost/asio/buffer.hpp>
#include <cstdint>
#include <string>
#include <utility>

#include "src/runtime/answer_status.h"
#include "src/runtime/chunk_end.h"

namespace graniteseam::event_http {
namespace {

namespace asio = boost::asio;
namespace http = boost::beast::http;
using ErrorCode = boost::system::error_code;

/// Of a head, of the line of a chunk, and of a trailer.
constexpr std::uint32_t kFramingBytes = 65'536;
/// Bodies up to this size may use the part of an account that is reserved for small ones.
constexpr std::size_t kSmallBodyBytes = std::size_t{64} << 10;

std::size_t LargestCharge(const ByteAccount& account) {
  const std::size_t room = account.limit() - std::min(ByteAccount::kReservedBytes, account.limit());
  return std::max(room, std::min(kSmallBodyBytes, account.limit()));
}

/// Large bodies are charged in segments, as they take memory.
std::size_t InSegments(std::size_t bytes) {
  constexpr std::size_t kSegment = SegmentedBytes::kSegmentBytes;
  return bytes <= kSmallBodyBytes ? bytes : (bytes + kSegment - 1) / kSegment * kSegment;
}

}  // namespace

void AnswerReader::Begin(AnswerLimits limits, bool head_only) {
  limits_ = std::move(limits);
  head_only_ = head_only;
  interim_answers_ = 0;
  charge_.reset();
  BeginMessage();
}

void AnswerReader::BeginMessage() {
  parser_.emplace();
  // Stops behind the head, whose fields are taken before those of a trailer join them.
  parser_->eager(false);
  parser_->header_limit(kFramingBytes);
  framing_.Begin(kFramingBytes);
  head_ = {};
  head_is_taken_ = false;
  parser_->body_limit(limits_.body_bytes_maximum);
  parser_->skip(head_only_);
}

AnswerState AnswerReader::Read(ReadBuffer& buffer) {
  for (;;) {
    const AnswerState room = MakeRoom(buffer.size());
    if (room != AnswerState::kIncomplete || buffer.empty()) return room;
    const std::size_t before = buffer.size();
    const AnswerState state = ReadSome(buffer);
    if (state != AnswerState::kIncomplete || buffer.size() == before) return state;
  }
}

/// Charges the body for what it will be once it has taken the unread bytes, or for its whole stated
/// length.
AnswerState AnswerReader::MakeRoom(std::size_t unread) {
  if (!limits_.account || !head_is_taken_) return AnswerState::kIncomplete;
  const auto stated = parser_->content_length();
  const std::size_t bytes =
      stated ? static_cast<std::size_t>(*stated) : parser_->get().body().size() + unread;
  if (bytes == 0) return AnswerState::kIncomplete;
  const std::size_t largest = LargestCharge(*limits_.account);
  if (bytes > largest) return AnswerState::kMalformed;
  const std::size_t wanted = std::min(stated ? bytes : InSegments(bytes), largest);
  if (!charge_) charge_ = MakeCharge(limits_.account);
  if (wanted <= charge_->bytes()) return AnswerState::kIncomplete;
  const ChargeSize size = wanted <= kSmallBodyBytes ? ChargeSize::kSmall : ChargeSize::kLarge;
  return charge_->Set(wanted, size) ? AnswerState::kIncomplete : AnswerState::kAwaitsRoom;
}

AnswerState AnswerReader::ReadSome(ReadBuffer& buffer) {
  if (!runtime::MayParseUnread(*parser_, buffer.size())) return AnswerState::kIncomplete;
  ErrorCode error;
  const std::size_t used = parser_->put(asio::buffer(buffer.unread()), error);
  if (!head_is_taken_) head_.Add(buffer.unread().substr(0, used));
  buffer.Consume(used);
  const bool needs_more = error == http::error::need_more;
  if ((error && !needs_more) || head_.TooMany()) return AnswerState::kMalformed;
  // What is left behind for want of more is a line that is not whole.
  const std::size_t unread = needs_more ? buffer.size() : 0;
  const std::size_t body_bytes = parser_->get().body().size();
  if (framing_.Exceeded(used, body_bytes, unread)) return AnswerState::kMalformed;
  if (!parser_->is_header_done()) return AnswerState::kIncomplete;
  TakeHead();
  const runtime::StatusClass status =
      runtime::ClassOfStatus(static_cast<int>(parser_->get().result_int()));
  if (status == runtime::StatusClass::kInvalid) return AnswerState::kMalformed;
  if (!parser_->is_done()) return AnswerState::kIncomplete;
  if (status == runtime::StatusClass::kFinal) return AnswerState::kWhole;
  if (++interim_answers_ > runtime::kInterimAnswersMaximum) return AnswerState::kMalformed;
  BeginMessage();
  return AnswerState::kIncomplete;
}

/// Fields of a trailer are left out (RFC 9110, section 6.5.1): a caller is told what the head says,
/// and a trailer could add to it what the server did not say there.
void AnswerReader::TakeHead() {
  if (std::exchange(head_is_taken_, true)) return;
  framing_.EndHead();
  head_keeps_alive_ = parser_->keep_alive();
  head_fields_ = {};
  for (const auto& field : parser_->get()) {
    head_fields_.Add({field.name_string().data(), field.name_string().size()},
                     {field.value().data(), field.value().size()});
  }
  parser_->eager(true);
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
  response.fields = std::move(head_fields_);
  response.body = std::move(message.body()).Join();
  response.head_only = head_only_;
  if (charge_) charge_->Set(response.body.size(), ChargeSize::kSmall);
  response.charge = std::move(charge_);
  return response;
}

}  // namespace graniteseam::event_http
