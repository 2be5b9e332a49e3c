/// @file
/// Requests that a fuzz input describes, and a plain parser that says what a server must make of
/// their bytes. Written without the server's own parser, to be compared with it.
#pragma once

#include <algorithm>
#include <cctype>
#include <cstdint>
#include <cstdlib>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace graniteseam::fuzz {

/// The limits that the server under test is given.
inline constexpr std::size_t kHeaderBytes = 2'048;
inline constexpr std::size_t kBodyBytes = 4'096;
/// All bytes of one script: less than what one side may send while the other one does not read.
inline constexpr std::size_t kScriptBytes = std::size_t{48} << 10;

/// Takes numbers from an input; 0 after its end.
class InputReader {
 public:
  InputReader(const std::uint8_t* data, std::size_t size) : data_(data), size_(size) {}

  /// @return a number below `bound`.
  std::size_t Draw(std::size_t bound) {
    std::size_t value = 0;
    for (std::size_t range = 1; range < bound; range <<= 8) value = value << 8 | Next();
    return value % bound;
  }
  bool ended() const { return at_ >= size_; }

 private:
  std::uint8_t Next() { return at_ < size_ ? data_[at_++] : 0; }

  const std::uint8_t* data_;
  std::size_t size_;
  std::size_t at_ = 0;
};

/// What a server must make of a series of bytes.
struct ExpectedRequests {
  std::vector<std::string> sequence;  ///< "POST /r3 body" each.
  bool last_closes = false;           ///< The last one asked for the connection's end.
  bool refused = false;               ///< What follows them is malformed or too large.
  bool incomplete = false;            ///< What follows them is not whole.
};

namespace detail {

inline std::string Lower(std::string_view text) {
  std::string lower(text);
  std::transform(lower.begin(), lower.end(), lower.begin(),
                 [](unsigned char c) { return static_cast<char>(std::tolower(c)); });
  return lower;
}

/// The value of a header field; nullopt when there is none.
inline std::optional<std::string> Field(std::string_view head, const std::string& name) {
  const std::string lower = Lower(head);
  const std::size_t at = lower.find("\r\n" + name + ": ");
  if (at == std::string::npos) return std::nullopt;
  const std::size_t begin = at + name.size() + 4;
  return lower.substr(begin, lower.find("\r\n", begin) - begin);
}

enum class BodyEnd { kWhole, kIncomplete, kTooLarge };

/// Reads chunks from `at` on, which is moved behind them.
inline BodyEnd ReadChunks(std::string_view bytes, std::size_t& at, std::string& body) {
  for (;;) {
    const std::size_t line_end = bytes.find("\r\n", at);
    if (line_end == std::string_view::npos) return BodyEnd::kIncomplete;
    constexpr int kHexadecimal = 16;
    const std::string line(bytes.substr(at, line_end - at));
    const std::size_t size = std::strtoul(line.c_str(), nullptr, kHexadecimal);
    if (body.size() + size > kBodyBytes) return BodyEnd::kTooLarge;
    if (line_end + 2 + size + 2 > bytes.size()) return BodyEnd::kIncomplete;
    body += bytes.substr(line_end + 2, size);
    at = line_end + 2 + size + 2;
    if (size == 0) return BodyEnd::kWhole;
  }
}

inline BodyEnd ReadBody(std::string_view bytes, std::string_view head, std::size_t& at,
                        std::string& body) {
  if (Field(head, "transfer-encoding")) return ReadChunks(bytes, at, body);
  const auto length = Field(head, "content-length");
  const std::size_t size = length ? std::stoul(*length) : 0;
  if (size > kBodyBytes) return BodyEnd::kTooLarge;
  if (at + size > bytes.size()) return BodyEnd::kIncomplete;
  body = bytes.substr(at, size);
  at += size;
  return BodyEnd::kWhole;
}

}  // namespace detail

/// Parses what AppendRequest() may have written, cut anywhere.
inline ExpectedRequests ParsePlainly(std::string_view bytes) {
  ExpectedRequests expected;
  std::size_t at = 0;
  while (at < bytes.size() && !expected.last_closes) {
    const std::size_t head_end = bytes.find("\r\n\r\n", at);
    const bool whole_head = head_end != std::string_view::npos;
    const std::size_t head_size = (whole_head ? head_end + 4 : bytes.size()) - at;
    expected.refused = head_size > kHeaderBytes || bytes[at] == '\x01';
    if (expected.refused) return expected;
    expected.incomplete = !whole_head;
    if (expected.incomplete) return expected;
    const std::string_view head = bytes.substr(at, head_end + 2 - at);
    const std::string line(head.substr(0, head.find(" HTTP/1.1\r\n")));
    at = head_end + 4;
    std::string body;
    const detail::BodyEnd end = detail::ReadBody(bytes, head, at, body);
    expected.refused = end == detail::BodyEnd::kTooLarge;
    expected.incomplete = end == detail::BodyEnd::kIncomplete;
    if (expected.refused || expected.incomplete) return expected;
    expected.sequence.push_back(line + " " + body);
    expected.last_closes = detail::Field(head, "connection") == "close";
  }
  return expected;
}

namespace detail {

inline std::string BodyOf(std::size_t number, std::size_t size) {
  std::string body = "body-" + std::to_string(number) + "-";
  body.resize(std::max(size, body.size()), static_cast<char>('a' + number % 26));
  return body;
}

inline std::string InChunks(const std::string& body, std::size_t chunk) {
  std::string text;
  for (std::size_t at = 0; at < body.size(); at += chunk) {
    const std::string piece = body.substr(at, chunk);
    char size[24];
    std::snprintf(size, sizeof(size), "%zx\r\n", piece.size());
    text += size + piece + "\r\n";
  }
  return text + "0\r\n\r\n";
}

}  // namespace detail

/// Writes one request as the input says: mostly sound ones with small bodies; now and then one that
/// ends the connection, is malformed, or has a head or a body that is too large.
inline void AppendRequest(InputReader& input, std::size_t number, std::string& bytes) {
  constexpr std::size_t kSmallBody = 60;
  constexpr std::size_t kKinds = 128;
  const std::size_t kind = input.Draw(kKinds);
  const std::string target = "/r" + std::to_string(number);
  if (kind == 0) {
    bytes += "\x01 no request\r\n\r\n";
    return;
  }
  std::string head = (kind % 2 == 0 ? "POST " : "GET ") + target + " HTTP/1.1\r\nHost: a\r\n";
  if (kind == 1) head += "Connection: close\r\n";
  if (kind == 3) head += "X-Long: " + std::string(2 * kHeaderBytes, 'h') + "\r\n";
  if (kind % 2 != 0) {
    bytes += head + "\r\n";
    return;
  }
  const std::size_t size = kind == 2   ? kBodyBytes + 1 + input.Draw(kSmallBody)
                           : kind == 4 ? input.Draw(kBodyBytes)
                                       : input.Draw(kSmallBody);
  const std::string body = detail::BodyOf(number, size);
  if (kind % 4 == 0) {
    bytes += head + "Transfer-Encoding: chunked\r\n\r\n";
    bytes += detail::InChunks(body, 1 + input.Draw(kSmallBody));
  } else {
    bytes += head + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
  }
}

}  // namespace graniteseam::fuzz
