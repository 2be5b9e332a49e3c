// Requests that a client sends before the ones ahead of them are answered.
//
// Seen: a request that had been read ahead was handed on a second time, and the one that came after
// it never, so that an order ran twice. How it came about: the read of the connection goes on while
// a request is being answered, and what was read ahead was consumed from the buffer which that read
// was to fill; a buffer that is emptied goes back to its start, so what the read brought was looked
// for where the old bytes still lay. Proof: each of these tests failed before reads got an area of
// their own.
#include <criterion/criterion.h>

#include "tests/event_http/stepped_server.h"

using namespace graniteseam;
using namespace graniteseam::event_http;
using namespace graniteseam::event_http::test;

namespace {

std::string PostByLength(const std::string& path, const std::string& body) {
  return "POST " + path + " HTTP/1.1\r\nHost: a\r\nContent-Length: " + std::to_string(body.size()) +
         "\r\n\r\n" + body;
}

/// Each byte of the body is a chunk.
std::string PostInChunks(const std::string& path, const std::string& body) {
  std::string text = "POST " + path + " HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n";
  for (const char byte : body) text += std::string("1\r\n") + byte + "\r\n";
  return text + "0\r\n\r\n";
}

/// Orders whose paths and bodies are all different, with bodies by length and in chunks.
struct Orders {
  std::string bytes;
  std::vector<std::string> sequence;

  void Add(std::size_t number) {
    const std::string path = "/order-" + std::to_string(number);
    const std::string body = "body-" + std::to_string(number);
    bytes += number % 2 == 0 ? PostByLength(path, body) : PostInChunks(path, body);
    sequence.push_back("POST " + path + " " + body);
  }

  void AddHeld() {
    bytes += Get("/hold");
    sequence.emplace_back("GET /hold ");
  }
};

std::vector<std::string> SequenceOf(const SteppedServer& stepped) {
  std::vector<std::string> sequence;
  for (const Request& request : stepped.requests) {
    sequence.push_back(request.method + " " + request.target + " " + request.body);
  }
  return sequence;
}

void AssertSequence(const SteppedServer& stepped, const std::vector<std::string>& sent,
                    const std::string& where) {
  const std::vector<std::string> seen = SequenceOf(stepped);
  for (std::size_t i = 0; i < std::max(seen.size(), sent.size()); ++i) {
    const std::string a = i < seen.size() ? seen[i] : "nothing";
    const std::string b = i < sent.size() ? sent[i] : "nothing";
    cr_assert_eq(a, b, "%s: request %zu handed on is '%s' instead of '%s'", where.c_str(), i,
                 a.c_str(), b.c_str());
  }
}

void TurnUntilHandedOn(SteppedServer& stepped, std::size_t count) {
  // What is missing is told by the comparison that follows.
  static_cast<void>(stepped.TurnUntil([&] { return stepped.requests.size() >= count; }));
}

}  // namespace

Test(sent_ahead, order_is_run_once_and_so_is_the_one_after_it) {
  for (const std::size_t ahead : {1U, 3U, 50U}) {
    SteppedServer stepped;
    RawClient client(stepped.server->port());
    Orders first;
    first.AddHeld();
    for (std::size_t number = 0; number < ahead; ++number) first.Add(number);
    client.Send(first.bytes);
    cr_assert(stepped.TurnUntil([&] { return !stepped.held.empty(); }));
    stepped.AnswerHeld();
    stepped.ReadAnswers(client, first.sequence.size());

    Orders second;
    for (std::size_t number = 0; number < ahead; ++number) second.Add(100 + number);
    client.Send(second.bytes);
    std::vector<std::string> all = first.sequence;
    all.insert(all.end(), second.sequence.begin(), second.sequence.end());
    TurnUntilHandedOn(stepped, all.size());
    AssertSequence(stepped, all, std::to_string(ahead) + " sent ahead");
  }
}

Test(sent_ahead, orders_that_are_split_at_any_byte_are_run_once_each) {
  for (const std::size_t ahead : {3U, 50U}) {
    Orders orders;
    orders.AddHeld();
    for (std::size_t number = 0; number < ahead; ++number) orders.Add(number);
    // Every byte of a short series; of a long one each that a prime step meets.
    const std::size_t step = ahead == 3 ? 1 : 37;
    for (std::size_t split = 1; split < orders.bytes.size(); split += step) {
      SteppedServer stepped;
      RawClient client(stepped.server->port());
      client.Send(orders.bytes.substr(0, split));
      if (split >= Get("/hold").size()) {
        cr_assert(stepped.TurnUntil([&] { return !stepped.held.empty(); }));
        stepped.AnswerHeld();
      }
      stepped.Turn();
      client.Send(orders.bytes.substr(split));
      static_cast<void>(
          stepped.TurnUntil([&] { return !stepped.held.empty() || stepped.requests.size() > 1; }));
      stepped.AnswerHeld();
      TurnUntilHandedOn(stepped, orders.sequence.size());
      AssertSequence(stepped, orders.sequence, "split at byte " + std::to_string(split));
    }
  }
}

// Seen by the fuzz target: such a head was kept for as long as its sender went on, and neither
// refused nor handed on, when it came in pieces.
Test(sent_ahead, head_that_is_too_large_is_refused_however_it_is_split) {
  constexpr std::size_t kLimit = 2'048;
  const std::string head = "GET /x HTTP/1.1\r\nHost: a\r\nX-Long: " + std::string(2 * kLimit, 'h');
  for (const std::size_t piece : {100U, 500U, 3'000U, 100'000U}) {
    SteppedServer stepped;
    ServerLimits limits;
    limits.header_bytes = kLimit;
    stepped.server->SetLimits(limits);
    RawClient client(stepped.server->port());
    const std::string bytes = Get("/first") + head + "\r\n\r\n" + Get("/behind");
    for (std::size_t at = 0; at < bytes.size(); at += piece) {
      client.Send(bytes.substr(at, piece));
      stepped.Turn();
    }
    std::string answers;
    bool closed = false;
    cr_assert(stepped.TurnUntil([&] {
      answers += client.ReadArrived(1 << 16, closed);
      return closed;
    }));
    cr_assert(answers.find(" 431 ") != std::string::npos, "In pieces of %zu: %s", piece,
              answers.c_str());
    cr_assert(stepped.handed_on == std::vector<std::string>{"/first"});
  }
}

// A request is judged by its head. A field of a trailer, which comes behind the body, must not add
// to it: it could be a key, an id, or what only this process may say to servers.
Test(sent_ahead, fields_of_a_trailer_are_not_taken_for_header_fields) {
  SteppedServer stepped;
  RawClient client(stepped.server->port());
  client.Send(
      "POST /x HTTP/1.1\r\nHost: a\r\nAuthorization: one\r\nTransfer-Encoding: chunked\r\n\r\n"
      "2\r\nab\r\n0\r\nAuthorization: two\r\nTenant: three\r\n\r\n" +
      Get("/behind"));
  cr_assert(stepped.TurnUntil([&] { return stepped.requests.size() == 2; }));
  const Request& request = stepped.requests[0];
  cr_assert_eq(request.body, "ab");
  cr_assert_eq(request.fields.Count("Authorization"), 1U);
  cr_assert_eq(*request.fields.Find("Authorization"), "one");
  cr_assert(request.fields.Find("Tenant") == nullptr);
  cr_assert(request.fields.Find("Host") != nullptr);
  cr_assert_eq(stepped.requests[1].target, "/behind");
}
