// A body in segments: all bytes in their order, whatever the pieces in which they come.
#include "src/event_http/segmented_body.h"

#include <criterion/criterion.h>

#include <boost/beast/http/parser.hpp>
#include <string>

using namespace graniteseam::event_http;

namespace {

namespace http = boost::beast::http;

/// Bytes that tell their place.
std::string Numbered(std::size_t bytes) {
  std::string text(bytes, '\0');
  for (std::size_t at = 0; at < bytes; ++at) text[at] = static_cast<char>(at * 31 % 251);
  return text;
}

std::string JoinedFromPieces(const std::string& text, std::size_t piece) {
  SegmentedBytes body;
  for (std::size_t at = 0; at < text.size(); at += piece) {
    body.Append(std::string_view(text).substr(at, piece));
  }
  cr_expect_eq(body.size(), text.size());
  return std::move(body).Join();
}

}  // namespace

Test(segmented_body, joins_pieces_of_any_size) {
  constexpr std::size_t kSegment = SegmentedBytes::kSegmentBytes;
  for (const std::size_t size :
       {std::size_t{0}, std::size_t{1}, kSegment - 1, kSegment, kSegment + 1, 3 * kSegment + 17}) {
    const std::string text = Numbered(size);
    for (const std::size_t piece : {std::size_t{4'099}, std::size_t{8'192}, 2 * kSegment + 5}) {
      cr_expect(JoinedFromPieces(text, piece) == text, "%zu bytes in pieces of %zu", size, piece);
    }
  }
}

Test(segmented_body, a_single_segment_is_moved) {
  SegmentedBytes body;
  body.Append(Numbered(100'000));
  const std::string joined = std::move(body).Join();
  cr_expect(joined == Numbered(100'000));
  cr_expect(joined.capacity() <= SegmentedBytes::kSegmentBytes);
  cr_expect_eq(body.size(), std::size_t{0});
}

Test(segmented_body, a_parser_fills_it) {
  http::response_parser<SegmentedBody> parser;
  const std::string body = Numbered(SegmentedBytes::kSegmentBytes + 100);
  parser.body_limit(body.size());
  parser.eager(true);
  const std::string text =
      "HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
  boost::system::error_code error;
  std::size_t used = 0;
  while (!parser.is_done() && !error) {
    used += parser.put(boost::asio::buffer(text.data() + used, text.size() - used), error);
  }
  cr_expect(!error);
  cr_expect(parser.is_done());
  cr_expect(std::move(parser.release().body()).Join() == body);
}

// What is charged for a body must be what it holds.
Test(segmented_body, holds_one_segment_more_than_its_bytes_at_most) {
  SegmentedBytes body;
  body.Append(std::string(100, 'x'));
  cr_assert_leq(body.capacity(), std::size_t{200});
  while (body.size() < 8 * SegmentedBytes::kSegmentBytes) {
    body.Append(std::string(8'192, 'x'));
    cr_assert_geq(body.capacity(), body.size());
    cr_assert_lt(body.capacity(), body.size() + SegmentedBytes::kSegmentBytes);
  }
}
