// Guards against memory that grows with what a client sends of a message beside its body: the lines
// of its chunks and its trailer had no bound.
#include <criterion/criterion.h>

#include "tests/event_http/stepped_server.h"

using namespace graniteseam;
using namespace graniteseam::event_http;
using namespace graniteseam::event_http::test;

namespace {

constexpr char kHead[] = "POST /x HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n";
const std::size_t kTooMany = ServerLimits{}.header_bytes + 1;

/// The first line of the answer to `bytes`, which are sent in pieces.
std::string StatusOf(const std::string& bytes, std::size_t piece_bytes) {
  SteppedServer stepped;
  RawClient client(stepped.server->port());
  for (std::size_t at = 0; at < bytes.size(); at += piece_bytes) {
    client.Send(bytes.substr(at, piece_bytes));
    stepped.Turn();
  }
  std::string answer;
  bool closed = false;
  stepped.TurnUntil([&] {
    answer += client.ReadArrived(4'096, closed);
    return !answer.empty() || closed;
  });
  return answer.substr(0, answer.find("\r\n"));
}

void CheckStatus(const std::string& bytes, const std::string& expected) {
  for (const std::size_t piece_bytes : {std::size_t{1'000}, bytes.size()}) {
    const std::string status = StatusOf(bytes, piece_bytes);
    cr_expect(status.starts_with("HTTP/1.1 " + expected), "In pieces of %zu bytes: %s", piece_bytes,
              status.c_str());
  }
}

std::string Fields(std::size_t bytes) {
  std::string fields;
  while (fields.size() < bytes) fields += "X-Field: " + std::string(100, 'x') + "\r\n";
  return fields;
}

}  // namespace

// A trailer was kept until it ended.
Test(framing, trailer_that_is_too_long_is_refused) {
  CheckStatus(kHead + std::string("1\r\nx\r\n0\r\n") + Fields(kTooMany), "431");
}

// The same trailer, whose end comes with it.
Test(framing, whole_trailer_that_is_too_long_is_refused) {
  CheckStatus(kHead + std::string("0\r\n") + Fields(kTooMany) + "\r\n", "431");
}

// A chunk's extension was kept until its line ended.
Test(framing, chunk_extension_that_is_too_long_is_refused) {
  CheckStatus(kHead + std::string("1;") + std::string(kTooMany, 'x'), "400");
  CheckStatus(kHead + std::string("1\r\nx\r\n1;") + std::string(kTooMany, 'x'), "400");
}

// The bound is for one line or trailer: the lines of many chunks exceed it together.
Test(framing, many_short_chunks_are_served) {
  std::string bytes = kHead;
  for (int chunk = 0; chunk < 2'000; ++chunk) bytes += "1;name=value\r\nx\r\n";
  CheckStatus(bytes + "0\r\nX-Field: a\r\n\r\n", "200");
}

// What comes with a head, behind its end, is no part of it.
Test(framing, body_that_comes_with_its_head_is_served) {
  const std::string head = "POST /x HTTP/1.1\r\nHost: a\r\nContent-Length: 30000\r\n\r\n";
  CheckStatus(head + std::string(30'000, 'x'), "200");
}
