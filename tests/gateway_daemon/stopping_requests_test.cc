// What becomes of requests that meet a planned stop of a gateway, while its servers are slow.
#include <criterion/criterion.h>

#include <atomic>
#include <future>
#include <string>
#include <thread>

#include "tests/gateway_daemon/gateway_stand_ins.h"
#include "tests/gateway_daemon/scripted_server.h"
#include "tests/support/raw_client.h"

using namespace graniteseam;
using namespace graniteseam::test;

namespace {

constexpr Duration kShortStop = std::chrono::seconds(2);
/// From 2.7 s to 6 s of it, only what can end in it is begun.
constexpr Duration kLongStop = std::chrono::seconds(12);
constexpr int kLastsLongMs = 60'000;
constexpr int kLastsShortlyMs = 1'000;
/// Ends within what is left of kShortStop when it closes.
constexpr int kLastsBrieflyMs = 300;

std::string Request(const std::string& method, int number, int time_left_ms = kLastsLongMs,
                    const std::string& body = "") {
  return method + " /x HTTP/1.1\r\nHost: a\r\nAttempt: " + std::to_string(number) +
         "\r\nTime-Left: " + std::to_string(time_left_ms) +
         "\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

/// A request whose answer ends its connection, also before the stop begins.
std::string LastRequest(const std::string& method, int number) {
  std::string request = Request(method, number);
  return request.insert(request.find("\r\n"), "\r\nConnection: close");
}

bool HasStatus(const std::string& answer, int status) {
  return answer.find("HTTP/1.1 " + std::to_string(status) + " ") != std::string::npos;
}

std::size_t Count(const std::string& text, const std::string& part) {
  std::size_t count = 0;
  for (std::size_t at = 0; (at = text.find(part, at)) != std::string::npos; ++at) ++count;
  return count;
}

/// A gateway whose server answers at once, or holds its answers.
struct Fixture {
  std::atomic<bool> holds{false};
  ScriptedServer worker{[this](const ServedConnection& connection, const TakenRequest& request) {
    connection.HoldUntil([this] { return !holds; });
    return connection.Send(WholeAnswer(request));
  }};
  ControlStandIn control{{worker.address()}};
  RunningGateway gateway;
  std::future<void> stopped;

  explicit Fixture(Duration stop_limit) : gateway("g-1", control.server.port(), stop_limit) {
    AwaitReady(gateway);
  }

  std::uint16_t port() const { return gateway.settings.caller_address.port; }

  /// Generous: only what is wrong uses it up.
  static void Await(const std::function<bool()>& condition) {
    for (int round = 0; round < 6'000; ++round) {
      if (condition()) return;
      std::this_thread::sleep_for(std::chrono::milliseconds(5));
    }
    cr_assert_fail("The condition never held.");
  }

  static std::string Ask(std::uint16_t port, const std::string& request) {
    RawClient client(port);
    client.Send(request);
    bool closed = false;
    return client.connected() ? client.ReadToEnd(closed) : "";
  }

  static void AwaitReady(const RunningGateway& gateway) {
    const std::uint16_t port = gateway.settings.status_address.port;
    Await([port] {
      const std::string question = "GET /ready HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n";
      return HasStatus(Ask(port, question), 200);
    });
  }

  void BeginStop() {
    stopped = std::async(std::launch::async, [this] { gateway.process->Stop(); });
  }

  /// Waits for the part of the stop in which a request that may outlast it is refused.
  /// @return the next number that no request has.
  int AwaitRefusal(int number) {
    for (;; ++number) {
      const std::string answer = Ask(port(), LastRequest("GET", number));
      cr_assert(!answer.empty(), "The gateway closed and refused nothing before.");
      if (HasStatus(answer, 200)) continue;
      cr_assert(HasStatus(answer, 503), "%s", answer.c_str());
      cr_assert(answer.find("Retry-After: ") != std::string::npos);
      cr_assert(!worker.Took(std::to_string(number)));
      return number + 1;
    }
  }

  void AssertRefusedUnsent(const std::string& answer, int number) {
    cr_assert(HasStatus(answer, 503), "%d: %s", number, answer.c_str());
    cr_assert(!worker.Took(std::to_string(number)), "%d was passed on.", number);
  }
};

}  // namespace

/// Guards against requests that came late in a stop, were passed on and were broken off at its end.
Test(stopping_requests, late_request_that_may_outlast_the_stop_is_refused_unsent, .timeout = 120) {
  Fixture fixture(kLongStop);
  RawClient half(fixture.port());
  const std::string posted = Request("POST", 1, kLastsLongMs, std::string(1'000, 'b'));
  half.Send(posted.substr(0, posted.size() / 2));
  fixture.BeginStop();
  int number = fixture.AwaitRefusal(100);

  fixture.AssertRefusedUnsent(Fixture::Ask(fixture.port(), Request("POST", number)), number);
  ++number;
  // Its body was on its way as the stop began.
  half.Send(posted.substr(posted.size() / 2));
  bool closed = false;
  fixture.AssertRefusedUnsent(half.ReadToEnd(closed), 1);
  // One that ends in time is served, also ahead of one that does not.
  const std::string ahead = Request("POST", number, kLastsShortlyMs) + Request("POST", number + 1);
  const std::string answers = Fixture::Ask(fixture.port(), ahead);
  cr_assert(HasStatus(answers, 200), "%s", answers.c_str());
  cr_assert(fixture.worker.Took(std::to_string(number)));
  cr_assert(!fixture.worker.Took(std::to_string(number + 1)));
  fixture.stopped.get();
}

/// Guards against a refusal, which promises that it did not run, of a request at work at the end.
Test(stopping_requests, early_request_that_outlasts_the_stop_is_of_unknown_outcome,
     .timeout = 120) {
  Fixture fixture(kShortStop);
  fixture.holds = true;
  RawClient posting(fixture.port());
  posting.Send(Request("POST", 1));
  RawClient reading(fixture.port());
  reading.Send(Request("GET", 2) + Request("GET", 3));
  Fixture::Await([&] {
    return fixture.worker.Took("1") && fixture.worker.Took("2") && fixture.worker.Took("3");
  });
  fixture.BeginStop();
  fixture.stopped.get();
  bool closed = false;
  const std::string posted = posting.ReadToEnd(closed);
  cr_assert(HasStatus(posted, 502), "%s", posted.c_str());
  const std::string read = reading.ReadToEnd(closed);
  cr_assert_eq(Count(read, "HTTP/1.1 502 "), 2, "%s", read.c_str());
}

/// Guards against a request that was whole only after the close and is passed on, or gets nothing.
Test(stopping_requests, request_whose_body_ends_after_the_close_is_refused_unsent, .timeout = 120) {
  Fixture fixture(kShortStop);
  const std::string request = Request("POST", 1, kLastsBrieflyMs, std::string(1'000, 'b'));
  RawClient caller(fixture.port());
  caller.Send(request.substr(0, request.size() - 1));
  fixture.BeginStop();
  Fixture::Await([&] { return !RawClient(fixture.port()).connected(); });
  caller.Send(request.substr(request.size() - 1));
  bool closed = false;
  fixture.AssertRefusedUnsent(caller.ReadToEnd(closed), 1);
  fixture.stopped.get();
}

/// Guards against a request that was sent ahead and begins after the close, with no time left.
Test(stopping_requests, request_sent_ahead_does_not_begin_after_the_close, .timeout = 120) {
  Fixture fixture(kLongStop);
  fixture.holds = true;
  RawClient caller(fixture.port());
  caller.Send(Request("POST", 1) + Request("POST", 2, kLastsShortlyMs));
  Fixture::Await([&] { return fixture.worker.Took("1"); });
  fixture.BeginStop();
  Fixture::Await([&] { return !RawClient(fixture.port()).connected(); });
  fixture.holds = false;
  bool closed = false;
  const std::string answers = caller.ReadToEnd(closed);
  cr_assert(HasStatus(answers, 200), "%s", answers.c_str());
  cr_assert(HasStatus(answers, 503), "%s", answers.c_str());
  cr_assert(!fixture.worker.Took("2"));
  fixture.stopped.get();
}

/// Guards against requests of another gateway that are passed on and broken off at the end.
Test(stopping_requests, late_request_of_another_gateway_is_declined_unsent, .timeout = 120) {
  Fixture fixture(kLongStop);
  fixture.BeginStop();
  const int number = fixture.AwaitRefusal(100);
  const std::string hop = "POST /x HTTP/1.1\r\nHost: a\r\nAttempt: " + std::to_string(number) +
                          "\r\nGraniteseam-Hop-Configuration: 1\r\nGraniteseam-Hop-Attempts: 1\r\n"
                          "Time-Left: 60000\r\nContent-Length: 0\r\n\r\n";
  const std::string answer = Fixture::Ask(fixture.port(), hop);
  fixture.AssertRefusedUnsent(answer, number);
  cr_assert(answer.find("Graniteseam-Hop-Declined: 1") != std::string::npos, "%s", answer.c_str());
  fixture.stopped.get();
}
