/// @file
/// What a server sends in place of an answer: only whole answers with a final status are handed
/// over, within the limit on bodies, and the same ones whatever pieces the bytes come in. The first
/// byte of an input tells the size of the pieces and whether the call was a HEAD; the rest is sent.
#include <algorithm>
#include <cstdio>
#include <cstdlib>
#include <string>
#include <string_view>

#include "fuzz/fuzz_target.h"
#include "src/event_http/answer_reader.h"

namespace {

using namespace graniteseam::event_http;

constexpr std::size_t kBodyBytesMaximum = 1'024;
constexpr int kLowestFinal = 200;
constexpr int kHighest = 599;

struct ReadAnswer {
  AnswerState state = AnswerState::kIncomplete;
  Response response;       ///< Of a whole answer.
  std::size_t unread = 0;  ///< Bytes behind it.

  bool whole() const { return state == AnswerState::kWhole; }
  /// A fault may be seen in a head that is whole, and only later in one that comes in pieces.
  bool Same(const ReadAnswer& other) const {
    if (whole() != other.whole()) return false;
    if (!whole()) return true;
    return response.status == other.response.status && response.reason == other.response.reason &&
           response.body == other.response.body && unread == other.unread;
  }
};

/// @param ends the server closes behind the bytes.
ReadAnswer ReadIn(std::string_view bytes, std::size_t piece, bool head_only, bool ends) {
  AnswerReader reader;
  reader.Begin({kBodyBytesMaximum, nullptr}, head_only);
  ReadBuffer buffer;
  ReadAnswer read;
  std::size_t at = 0;
  while (at < bytes.size() && read.state == AnswerState::kIncomplete) {
    buffer.Append(bytes.substr(at, piece));
    at = std::min(bytes.size(), at + piece);
    read.state = reader.Read(buffer);
  }
  read.unread = buffer.size() + (bytes.size() - at);
  if (ends && read.state == AnswerState::kIncomplete && reader.End()) {
    read.state = AnswerState::kWhole;
  }
  if (read.whole()) read.response = reader.Take();
  return read;
}

void Require(bool holds, const char* what) {
  if (holds) return;
  std::fprintf(stderr, "%s\n", what);
  std::abort();
}

}  // namespace

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size) {
  if (size < 2) return 0;
  const std::size_t piece = 1 + data[0] % 64;
  const bool head_only = data[0] >= 0xc0;
  const std::string_view bytes(reinterpret_cast<const char*>(data) + 1, size - 1);
  for (const bool ends : {false, true}) {
    const ReadAnswer at_once = ReadIn(bytes, bytes.size(), head_only, ends);
    Require(at_once.Same(ReadIn(bytes, piece, head_only, ends)), "Pieces change what is read.");
    if (!at_once.whole()) continue;
    const int status = at_once.response.status;
    Require(kLowestFinal <= status && status <= kHighest, "A status that is none is handed over.");
    Require(at_once.response.body.size() <= kBodyBytesMaximum, "A body beyond its limit.");
    Require(!head_only || at_once.response.body.empty(), "A body of an answer to a HEAD.");
  }
  return 0;
}
