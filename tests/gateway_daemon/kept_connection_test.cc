// A caller's kept connection through a whole gateway process: what a server does to its answer, and
// what a stop meets, never ends the connection without an answer.
#include <criterion/criterion.h>

#include <functional>
#include <future>
#include <mutex>
#include <set>
#include <thread>

#include "src/runtime/clock.h"
#include "tests/gateway_daemon/gateway_stand_ins.h"
#include "tests/support/raw_client.h"

using namespace graniteseam;
using namespace graniteseam::daemon;
using graniteseam::test::ControlStandIn;
using graniteseam::test::RawServer;
using graniteseam::test::RunningGateway;

namespace {

constexpr char kSeal[] = "Seal: s\r\n";

struct Fixture {
  RawServer worker;
  ControlStandIn control{{"127.0.0.1:" + std::to_string(worker.port())}};
  RunningGateway gateway{"g-1", control.server.port()};
  const GatewaySettings& settings = gateway.settings;
  std::unique_ptr<GatewayProcess>& process = gateway.process;

  Fixture() {
    cr_assert(Await([this] { return Ready(); }));
  }

  bool Ready() const {
    test::RawClient client(settings.status_address.port);
    client.Send("GET /ready HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n");
    bool closed = false;
    return client.ReadToEnd(closed).find(" 200 ") != std::string::npos;
  }

  /// Generous: only what is wrong uses it up.
  static bool Await(const std::function<bool()>& condition) {
    for (int round = 0; round < 6'000; ++round) {
      if (condition()) return true;
      std::this_thread::sleep_for(std::chrono::milliseconds(5));
    }
    return false;
  }

  static std::string Request(int number) {
    return "GET /x HTTP/1.1\r\nHost: a\r\nAttempt: " + std::to_string(number) + "\r\n\r\n";
  }

  /// One whole answer, framed by its length.
  static std::string ReadAnswer(test::RawClient& client) {
    std::string answer;
    bool closed = false;
    const bool whole = Await([&] {
      answer += client.ReadArrived(1 << 16, closed);
      const std::size_t head = answer.find("\r\n\r\n");
      const std::size_t at = answer.find("Content-Length: ");
      if (head == std::string::npos || at == std::string::npos) return closed;
      const std::size_t length = std::stoul(answer.substr(at + 16));
      return closed || answer.size() >= head + 4 + length;
    });
    cr_assert(whole && !closed, "Ended after: %s", answer.c_str());
    return answer;
  }
};

}  // namespace

Test(kept_connection, whatever_a_server_does_the_caller_is_answered_and_keeps_its_connection) {
  Fixture fixture;
  const std::string sealed = std::string("Attempt: $ID\r\n") + kSeal;
  const std::pair<std::string, std::string> cases[] = {
      {"HTTP/1.1 200 OK\r\n" + sealed + "Content-Length: 4\r\n\r\nbody", " 200 "},
      {"HTTP/1.1 200 OK\r\n" + sealed + "Connection: close\r\nContent-Length: 4\r\n\r\nbody",
       " 200 "},
      // It ends with its connection.
      {"HTTP/1.1 200 OK\r\n" + sealed + "\r\nbody", " 200 "},
      {"HTTP/1.0 200 OK\r\n" + sealed + "\r\nbody", " 200 "},
      // More than one answer.
      {"HTTP/1.1 200 OK\r\n" + sealed + "Content-Length: 4\r\n\r\nbodyHTTP/1.1 200 OK\r\n\r\n",
       " 200 "},
      // Cut off in its body, in its head, before it.
      {"HTTP/1.1 200 OK\r\n" + sealed + "Content-Length: 9\r\n\r\nbody", " 502 "},
      {"HTTP/1.1 200 OK\r\n" + sealed, " 502 "},
      {"", " 502 "},
      {"no answer at all\r\n\r\n", " 502 "},
      {"HTTP/1.1 200 OK\r\nAttempt: other\r\nContent-Length: 0\r\n\r\n", " 502 "},
      {"HTTP/1.1 500 Oops\r\n" + sealed + "Connection: close\r\nContent-Length: 0\r\n\r\n",
       " 500 "}};
  test::RawClient caller(fixture.settings.caller_address.port);
  int number = 0;
  for (const auto& [bytes, status] : cases) {
    fixture.worker.AnswerWith(bytes);
    caller.Send(Fixture::Request(++number));
    const std::string answer = Fixture::ReadAnswer(caller);
    cr_assert(answer.find(status) != std::string::npos, "Case %d: %s", number, answer.c_str());
    cr_assert(answer.find("Connection: close") == std::string::npos, "Case %d", number);
  }
  cr_assert_eq(fixture.worker.taken(), number);
  fixture.process->Stop();
}

Test(kept_connection, stop_answers_also_what_a_server_still_works_on_at_its_end) {
  Fixture fixture;
  fixture.worker.AnswerWith(std::nullopt);
  test::RawClient caller(fixture.settings.caller_address.port);
  caller.Send(Fixture::Request(1));
  cr_assert(Fixture::Await([&] { return fixture.worker.taken() == 1; }));
  fixture.process->Stop();
  bool closed = false;
  fixture.process.reset();
  const std::string answer = caller.ReadToEnd(closed);
  // It may have run, so that nothing is promised.
  cr_assert(answer.find(" 502 ") != std::string::npos, "\"%s\"", answer.c_str());
  cr_assert(answer.find("Attempt: 1") != std::string::npos);
  cr_assert(answer.find("Connection: close") != std::string::npos);
  cr_assert(Fixture::Await([&] { return fixture.worker.abandoned() == 1; }));
}

Test(kept_connection, callers_that_use_their_connection_until_the_process_ends_are_all_answered) {
  Fixture fixture;
  fixture.worker.AnswerWith(std::string("HTTP/1.1 200 OK\r\nAttempt: $ID\r\n") + kSeal +
                            "Content-Length: 4\r\n\r\nbody");
  std::mutex mutex;
  std::set<std::string> answered;
  std::atomic<bool> over{false};
  std::vector<std::thread> callers;
  const auto call = [&](int number) {
    while (!over) {
      test::RawClient client(fixture.settings.caller_address.port);
      bool closed = !client.connected();
      while (!closed && !over) {
        client.Send(Fixture::Request(++number));
        std::string answer;
        Fixture::Await([&] {
          answer += client.ReadArrived(1 << 16, closed);
          return closed || answer.ends_with("body") || answer.ends_with("}");
        });
        closed = closed || answer.find("Connection: close") != std::string::npos;
        if (!answer.ends_with("body")) continue;
        const std::lock_guard lock(mutex);
        answered.insert(std::to_string(number));
      }
    }
  };
  constexpr int kCallers = 8;
  constexpr int kNumbersEach = 1'000'000;
  callers.reserve(kCallers);
  for (int caller = 0; caller < kCallers; ++caller) {
    callers.emplace_back(call, caller * kNumbersEach);
  }
  cr_assert(Fixture::Await([&] { return fixture.worker.taken() > 20; }));
  fixture.process->Stop();
  fixture.process.reset();
  over = true;
  for (std::thread& caller : callers) caller.join();
  for (const std::string& id : fixture.worker.ids()) {
    cr_assert(answered.contains(id), "Request %s ran and was not answered.", id.c_str());
  }
}
