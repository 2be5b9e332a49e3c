// Servers that send bytes without end in place of an answer: what a whole gateway process tells its
// callers, and what it holds meanwhile.
#include <criterion/criterion.h>

#include <atomic>
#include <string>
#include <vector>

#include "tests/gateway_daemon/gateway_stand_ins.h"
#include "tests/gateway_daemon/scripted_server.h"
#include "tests/support/process_limits.h"
#include "tests/support/raw_client.h"

using namespace graniteseam;
using namespace graniteseam::test;

namespace {

/// What one answer may hold of the heap. A body of 32 MiB, the most that a gateway takes, is copied
/// once as it grows.
constexpr std::size_t kHeapBytesMaximum = std::size_t{128} << 20;
/// Much more than a gateway may keep. A server that was not hung up on by then closes.
constexpr std::size_t kSentBytes = std::size_t{400} << 20;

/// An answer that never ends: how it begins, and what follows again and again.
struct EndlessAnswer {
  std::string begin;
  std::string rest;
};

std::string Repeated(std::string_view text, std::size_t bytes) {
  std::string all;
  while (all.size() < bytes) all += text;
  return all;
}

std::string Head(const std::string& id, const std::string& fields) {
  return "HTTP/1.1 200 OK\r\nAttempt: " + id + "\r\nSeal: s\r\n" + fields;
}

/// A gateway whose server answers the requests of "POST" without end, and others as usual.
class Fixture {
 public:
  explicit Fixture(EndlessAnswer answer) : answer_(std::move(answer)) {
    while (!Ask("GET", 1).starts_with("HTTP/1.1 200 ")) {
      std::this_thread::sleep_for(std::chrono::milliseconds(5));
    }
  }

  /// Asserts that the caller is told of a failure, that others are served meanwhile and afterwards,
  /// and that the gateway does not keep the server's bytes.
  void AssertIsEnded() {
    const std::size_t before = HeapBytes();
    RawClient caller(gateway_.settings.caller_address.port);
    caller.Send(Request("POST", 2));
    while (!begun_) std::this_thread::sleep_for(std::chrono::milliseconds(1));
    cr_assert(Ask("GET", 3).starts_with("HTTP/1.1 200 "));
    bool closed = false;
    const std::string answer = caller.ReadToEnd(closed);
    cr_assert(answer.starts_with("HTTP/1.1 502 ") || answer.starts_with("HTTP/1.1 504 "), "%s",
              answer.substr(0, 300).c_str());
    while (!ended_) std::this_thread::sleep_for(std::chrono::milliseconds(1));
    cr_assert_lt(heap_bytes_, before + kHeapBytesMaximum, "%zu bytes", heap_bytes_ - before);
    cr_assert(Ask("GET", 4).starts_with("HTTP/1.1 200 "));
  }

 private:
  static std::string Request(const std::string& method, int number) {
    return method + " /" + std::to_string(number) +
           " HTTP/1.1\r\nHost: a\r\nAttempt: " + std::to_string(number) +
           "\r\nTime-Left: 20000\r\nConnection: close\r\nContent-Length: 0\r\n\r\n";
  }

  std::string Ask(const std::string& method, int number) {
    RawClient client(gateway_.settings.caller_address.port);
    client.Send(Request(method, number));
    bool closed = false;
    return client.ReadToEnd(closed);
  }

  bool Serve(const ServedConnection& connection, const TakenRequest& request) {
    if (request.method != "POST") return connection.Send(WholeAnswer(request));
    std::string begin = answer_.begin;
    if (const std::size_t at = begin.find("$ID"); at != std::string::npos) {
      begin.replace(at, 3, request.id);
    }
    begun_ = true;
    connection.Send(begin);
    const std::string rest = Repeated(answer_.rest, std::size_t{64} << 10);
    for (std::size_t sent = 0; sent < kSentBytes && connection.Send(rest); sent += rest.size()) {
      heap_bytes_ = std::max(heap_bytes_, HeapBytes());
    }
    ended_ = true;
    return false;
  }

  const EndlessAnswer answer_;
  std::atomic<bool> begun_{false};
  std::size_t heap_bytes_ = 0;  ///< The most, in this process; read once ended_ is set.
  std::atomic<bool> ended_{false};
  ScriptedServer worker_{[this](const ServedConnection& connection, const TakenRequest& request) {
    return Serve(connection, request);
  }};
  ControlStandIn control_{{worker_.address()}};
  RunningGateway gateway_{"g-1", control_.server.port()};
};

}  // namespace

// Each guards against a process that keeps all that a faulty server sends and runs out of memory.

Test(endless_answers, field_of_a_head, .timeout = 120) {
  Fixture({Head("$ID", "Long: "), "x"}).AssertIsEnded();
}

Test(endless_answers, fields_of_a_head, .timeout = 120) {
  Fixture({Head("$ID", ""), "Field: value\r\n"}).AssertIsEnded();
}

Test(endless_answers, body_with_a_length, .timeout = 120) {
  Fixture({Head("$ID", "Content-Length: 1000000000000\r\n\r\n"), "x"}).AssertIsEnded();
}

Test(endless_answers, body_without_a_length, .timeout = 120) {
  Fixture({Head("$ID", "\r\n"), "x"}).AssertIsEnded();
}

Test(endless_answers, body_in_chunks, .timeout = 120) {
  Fixture({Head("$ID", "Transfer-Encoding: chunked\r\n\r\n"), "4\r\nbody\r\n"}).AssertIsEnded();
}

Test(endless_answers, bytes_that_are_no_answer, .timeout = 120) {
  Fixture({"", std::string("\x01no answer ")}).AssertIsEnded();
}

Test(endless_answers, text_that_is_no_answer, .timeout = 120) {
  Fixture({"", "x"}).AssertIsEnded();
}

Test(endless_answers, lines_before_an_answer, .timeout = 120) {
  Fixture({"", "\r\n"}).AssertIsEnded();
}

Test(endless_answers, interim_answers, .timeout = 120) {
  Fixture({"", "HTTP/1.1 103 Early Hints\r\n\r\n"}).AssertIsEnded();
}

Test(endless_answers, extension_of_a_chunk, .timeout = 120) {
  Fixture({Head("$ID", "Transfer-Encoding: chunked\r\n\r\n4;"), "x"}).AssertIsEnded();
}

Test(endless_answers, trailer, .timeout = 120) {
  Fixture({Head("$ID", "Transfer-Encoding: chunked\r\n\r\n0\r\n"), "Field: value\r\n"})
      .AssertIsEnded();
}
