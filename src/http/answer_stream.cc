#include "src/http/answer_stream.h"

#include <algorithm>
#include <cctype>
#include <cstring>
#include <optional>
#include <string_view>

#include "src/runtime/answer_status.h"

namespace graniteseam::http {
namespace {

constexpr std::size_t kVersionBytes = 9;  ///< "HTTP/1.1 "
constexpr std::size_t kStatusDigits = 3;

/// The status in a head's first line; nullopt when that line is none.
std::optional<int> StatusOf(std::string_view head) {
  if (!head.starts_with("HTTP/1.1 ") && !head.starts_with("HTTP/1.0 ")) return std::nullopt;
  const std::string_view digits = head.substr(kVersionBytes, kStatusDigits);
  int status = 0;
  for (const char digit : digits) {
    if (std::isdigit(static_cast<unsigned char>(digit)) == 0) return std::nullopt;
    status = status * 10 + (digit - '0');
  }
  const std::string_view rest = head.substr(kVersionBytes + digits.size());
  if (!rest.starts_with(' ') && !rest.starts_with("\r\n")) return std::nullopt;
  return status;
}

}  // namespace

void AnswerStream::Begin() {
  state_ = State::kBegun;
  head_.clear();
  given_ = 0;
}

ssize_t AnswerStream::read(char* target, size_t size) {
  if (state_ == State::kBegun) state_ = ReadFinalHead();
  if (state_ == State::kFailed) return -1;
  if (given_ == head_.size()) return stream_.read(target, size);
  const std::size_t count = std::min(size, head_.size() - given_);
  std::memcpy(target, head_.data() + given_, count);
  given_ += count;
  return static_cast<ssize_t>(count);
}

AnswerStream::State AnswerStream::ReadFinalHead() {
  for (int interim_answers = 0; interim_answers <= runtime::kInterimAnswersMaximum;
       ++interim_answers) {
    if (!ReadHead()) return State::kFailed;
    const auto status = StatusOf(head_);
    const runtime::StatusClass kind =
        status ? runtime::ClassOfStatus(*status) : runtime::StatusClass::kInvalid;
    if (kind == runtime::StatusClass::kInvalid) return State::kFailed;
    if (kind == runtime::StatusClass::kInterim) continue;
    constexpr std::size_t kReasonAt = kVersionBytes + kStatusDigits;
    head_.erase(kReasonAt, head_.find("\r\n") - kReasonAt);
    return State::kHeadRead;
  }
  return State::kFailed;
}

bool AnswerStream::ReadHead() {
  head_.clear();
  while (!head_.ends_with("\r\n\r\n")) {
    char byte = 0;
    if (head_.size() == head_bytes_maximum_ || stream_.read(&byte, 1) != 1) return false;
    head_.push_back(byte);
  }
  return true;
}

}  // namespace graniteseam::http
