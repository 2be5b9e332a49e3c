// A caller's kept connection through a whole gateway process: what a server does to its answer, and
// what a stop meets, never ends the connection without an answer.
#include <criterion/criterion.h>
#include <fcntl.h>

#include <functional>
#include <future>
#include <mutex>
#include <set>
#include <thread>

#include "src/daemon/gateway/gateway_process.h"
#include "src/protocol/internal_server.h"
#include "src/runtime/clock.h"
#include "tests/support/raw_client.h"

using namespace graniteseam;
using namespace graniteseam::daemon;

namespace {

constexpr char kSeal[] = "Seal: s\r\n";

std::uint16_t BoundPort(int descriptor) {
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  socklen_t size = sizeof(address);
  cr_assert(bind(descriptor, reinterpret_cast<sockaddr*>(&address), size) == 0);
  cr_assert(getsockname(descriptor, reinterpret_cast<sockaddr*>(&address), &size) == 0);
  return ntohs(address.sin_port);
}

std::uint16_t FreePort() {
  const int descriptor = socket(AF_INET, SOCK_STREAM, 0);
  const std::uint16_t port = BoundPort(descriptor);
  close(descriptor);
  return port;
}

/// A server that takes one request a connection and answers it with the bytes that it is told.
class RawServer {
 public:
  RawServer() : listener_(socket(AF_INET, SOCK_STREAM, 0)), port_(BoundPort(listener_)) {
    cr_assert(listen(listener_, 64) == 0);
    thread_ = std::thread([this] { Serve(); });
  }
  ~RawServer() {
    stopping_ = true;
    shutdown(listener_, SHUT_RDWR);
    thread_.join();
    close(listener_);
  }
  RawServer(const RawServer&) = delete;
  RawServer& operator=(const RawServer&) = delete;

  std::uint16_t port() const { return port_; }
  /// `$ID` stands for the request's id. Nothing at all: it works on until the other side leaves.
  void AnswerWith(std::optional<std::string> bytes) {
    const std::lock_guard lock(mutex_);
    answer_ = std::move(bytes);
  }
  int taken() const { return taken_; }
  /// Their ids.
  std::set<std::string> ids() {
    const std::lock_guard lock(mutex_);
    return ids_;
  }
  /// Requests whose connection the other side ended before their answer.
  int abandoned() const { return abandoned_; }

 private:
  void Serve() {
    while (!stopping_) {
      const int connection = accept(listener_, nullptr, nullptr);
      if (connection < 0) return;
      ServeOne(connection);
      close(connection);
    }
  }

  void ServeOne(int connection) {
    std::string request;
    char buffer[4096];
    while (request.find("\r\n\r\n") == std::string::npos) {
      const ssize_t taken = recv(connection, buffer, sizeof(buffer), 0);
      if (taken <= 0) return;
      request.append(buffer, static_cast<std::size_t>(taken));
    }
    const std::size_t at = request.find("Attempt: ") + 9;
    const std::string id = request.substr(at, request.find("\r\n", at) - at);
    std::optional<std::string> answer;
    {
      const std::lock_guard lock(mutex_);
      answer = answer_;
      ids_.insert(id);
    }
    ++taken_;
    if (!answer) {
      if (recv(connection, buffer, sizeof(buffer), 0) <= 0) ++abandoned_;
      return;
    }
    std::string bytes = *answer;
    if (const std::size_t gap = bytes.find("$ID"); gap != std::string::npos) {
      bytes.replace(gap, 3, id);
    }
    send(connection, bytes.data(), bytes.size(), MSG_NOSIGNAL);
    shutdown(connection, SHUT_WR);
    // Until the other side has closed too, so that no reset overtakes the answer.
    while (recv(connection, buffer, sizeof(buffer), 0) > 0) {
    }
  }

  const int listener_;
  const std::uint16_t port_;
  std::atomic<bool> stopping_{false};
  std::atomic<int> taken_{0};
  std::atomic<int> abandoned_{0};
  std::mutex mutex_;  ///< Guards what follows.
  std::optional<std::string> answer_;
  std::set<std::string> ids_;
  std::thread thread_;
};

/// A control process that tells each gateway the same state.
struct ControlStandIn {
  explicit ControlStandIn(const std::string& server_address)
      : server({.address = {"127.0.0.1", 0}, .name = "1", .security = {}, .limits = {}}, loop,
               metrics,
               {[](const std::string&, const protocol::ServedAddresses&) {},
                [](const consensus::PeerMessage&) {},
                [this, server_address](protocol::RouterConnectionId id,
                                       const control::RouterToControl& message) {
                  const auto* poll = std::get_if<control::TrafficPoll>(&message);
                  if (poll != nullptr && poll->version == 0) {
                    server.SendToRouter(id, State(*poll, server_address));
                  }
                },
                [](protocol::RouterConnectionId) {}}) {
    const auto started = Attempt([&] { return server.Start(); });
    cr_assert(ErrorOf(started) == nullptr);
  }
  ~ControlStandIn() { loop.Stop(); }

  static traffic::TrafficUpdate State(const control::TrafficPoll& poll,
                                      const std::string& server_address) {
    constexpr std::int64_t kTimeoutMs = 60'000;
    traffic::TrafficUpdate update;
    update.sequence = poll.sequence;
    update.version = 1;
    update.configuration = traffic::ConfigurationVersion{1};
    update.routers = 1;
    traffic::Service service;
    service.name = {"s"};
    service.connections_maximum = 100;
    update.services = {service};
    traffic::Route route;
    route.name = {"r"};
    route.host = "a";
    route.path_prefix = "/";
    route.timeout_ms = kTimeoutMs;
    route.target_latency_ms = kTimeoutMs;
    route.split = {{{"s"}, 1}};
    update.routes = {route};
    traffic::Instance instance;
    instance.report.id = {"i-1"};
    instance.report.service = {"s"};
    instance.report.address = server_address;
    instance.report.slots = 4;
    instance.changed_at = 1;
    update.instances = {instance};
    update.limits = traffic::CallerLimits{};
    return update;
  }

  runtime::MetricsRegistry metrics;
  runtime::EventLoop loop;
  protocol::InternalServer server;
};

struct Fixture {
  RawServer worker;
  ControlStandIn control{"127.0.0.1:" + std::to_string(worker.port())};
  GatewaySettings settings;
  std::unique_ptr<GatewayProcess> process;

  Fixture() {
    settings.id = "g-1";
    settings.zone = "z";
    settings.caller_address = {"127.0.0.1", FreePort()};
    settings.status_address = {"127.0.0.1", FreePort()};
    settings.control = {{"127.0.0.1", control.server.port()}};
    settings.stop_limit = std::chrono::seconds(2);
    const ExchangeNames names{"Attempt", "Time-Left", "Key",         "Target",
                              "Seal",    "Load",      "Not-Executed"};
    process = std::make_unique<GatewayProcess>(settings, names, open("/dev/null", O_WRONLY));
    const auto started = Attempt([this] { return process->Start(); });
    cr_assert(ErrorOf(started) == nullptr);
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
