// A server that rejects a request and sends a second copy of the rejection, against a whole gateway
// process.
#include <criterion/criterion.h>

#include <chrono>
#include <functional>
#include <list>
#include <map>
#include <set>
#include <thread>

#include "tests/gateway_daemon/gateway_stand_ins.h"
#include "tests/support/raw_client.h"

using namespace graniteseam;
using graniteseam::test::ControlStandIn;
using graniteseam::test::RunningGateway;

namespace {

constexpr int kRequests = 60;

/// Keeps its connections. Requests to "/rejected" are rejected the first time that their id comes,
/// and run the second time; where the first time was on the same connection, a copy of the
/// rejection precedes the answer.
class RepeatingServer {
 public:
  RepeatingServer()
      : m_listener(socket(AF_INET, SOCK_STREAM, 0)), m_port(test::BoundPort(m_listener)) {
    cr_assert(listen(m_listener, 64) == 0);
    m_acceptor = std::thread([this] { accept_all(); });
  }
  ~RepeatingServer() {
    shutdown(m_listener, SHUT_RDWR);
    m_acceptor.join();
    for (auto& [connection, thread] : m_connections) {
      shutdown(connection, SHUT_RDWR);
      thread.join();
      close(connection);
    }
    close(m_listener);
  }
  RepeatingServer(RepeatingServer const&) = delete;
  auto operator=(RepeatingServer const&) -> RepeatingServer& = delete;

  auto port() const -> std::uint16_t { return m_port; }
  auto ran(std::string const& id) -> bool {
    std::lock_guard const lock(m_mutex);
    return m_ran.contains(id);
  }

 private:
  auto accept_all() -> void {
    for (;;) {
      auto const connection = accept(m_listener, nullptr, nullptr);
      if (connection < 0) return;
      m_connections.emplace_back(connection,
                                 std::thread([this, connection] { serve(connection); }));
    }
  }

  auto serve(int connection) -> void {
    std::string unread;
    char buf[4096];
    for (;;) {
      auto const end = unread.find("\r\n\r\n");
      if (end == std::string::npos) {
        auto const n = recv(connection, buf, sizeof(buf), 0);
        if (n <= 0) return;
        unread.append(buf, static_cast<std::size_t>(n));
        continue;
      }
      answer(connection, unread.substr(0, end + 2));
      unread.erase(0, end + 4);
    }
  }

  auto answer(int connection, std::string const& head) -> void {
    auto const at = head.find("Attempt: ") + 9;
    auto const id = head.substr(at, head.find("\r\n", at) - at);
    auto const rejection =
        "HTTP/1.1 503 Full\r\nNot-Executed: 1\r\nAttempt: " + id + "\r\nContent-Length: 0\r\n\r\n";
    {
      std::unique_lock lock(m_mutex);
      auto const rejects = head.find(" /rejected ") != std::string::npos;
      auto const [it, first] = m_rejected_on.try_emplace(id, connection);
      if (rejects && first) return write(connection, rejection);
      if (rejects && it->second == connection) write(connection, rejection);
      m_ran.insert(id);
    }
    write(connection,
          "HTTP/1.1 200 OK\r\nSeal: s\r\nAttempt: " + id + "\r\nContent-Length: 4\r\n\r\nbody");
  }

  static auto write(int connection, std::string const& bytes) -> void {
    send(connection, bytes.data(), bytes.size(), MSG_NOSIGNAL);
  }

  int const m_listener;
  std::uint16_t const m_port;
  std::thread m_acceptor;
  std::list<std::pair<int, std::thread>> m_connections;
  std::mutex m_mutex;  ///< Guards what follows.
  std::map<std::string, int> m_rejected_on;
  std::set<std::string> m_ran;
};

/// Generous: only what is wrong uses it up.
auto await(std::function<bool()> const& condition) -> bool {
  for (auto round = 0; round < 6'000; ++round) {
    if (condition()) return true;
    std::this_thread::sleep_for(std::chrono::milliseconds(5));
  }
  return false;
}

auto call(std::uint16_t port, std::string const& path, std::string const& id) -> std::string {
  test::RawClient client(port);
  client.Send("GET " + path + " HTTP/1.1\r\nHost: a\r\nConnection: close\r\nAttempt: " + id +
              "\r\n\r\n");
  auto closed = false;
  return client.ReadToEnd(closed);
}

auto expect_true_refusals(traffic::RouteKind kind) -> void {
  RepeatingServer server;
  ControlStandIn control({"127.0.0.1:" + std::to_string(server.port())}, {},
                         [kind](traffic::Route& route) {
                           route.kind = kind;
                           route.attempts_maximum = 3;
                         });
  RunningGateway gateway("g-1", control.server.port());
  auto const callers = gateway.settings.caller_address.port;
  cr_assert(
      await([&] { return call(callers, "/plain", "warm-up").find(" 200 ") != std::string::npos; }));
  // The retry budget fills as requests come.
  for (auto i = 0; i < kRequests; ++i) call(callers, "/plain", "p-" + std::to_string(i));
  auto served = 0;
  for (auto i = 0; i < kRequests / 10; ++i) {
    auto const id = "r-" + std::to_string(i);
    auto const answer = call(callers, "/rejected", id);
    auto const refused = answer.find(" 503 ") != std::string::npos;
    cr_assert(!refused || !server.ran(id), "Refused as not run, and ran: %s", answer.c_str());
    served += answer.find(" 200 ") != std::string::npos ? 1 : 0;
  }
  cr_assert(served > 0, "No request was sent to the server again.");
  gateway.process->Stop();
}

}  // namespace

/// Guards against a refusal of a request that runs: the second copy of a rejection was taken for
/// the answer to the next attempt of the same request, on the same connection.
Test(repeated_rejection, is_not_taken_for_the_answer_to_the_next_attempt_of_an_unsafe_request) {
  expect_true_refusals(traffic::RouteKind::kUnsafe);
}

Test(repeated_rejection, is_not_taken_for_the_answer_to_the_next_attempt_of_a_safe_request) {
  expect_true_refusals(traffic::RouteKind::kSafe);
}
