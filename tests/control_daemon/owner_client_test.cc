#include "src/daemon/control/owner_client.h"

#include <criterion/criterion.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <atomic>
#include <chrono>
#include <future>
#include <list>
#include <memory>
#include <string>
#include <string_view>
#include <thread>
#include <utility>
#include <vector>

#include "src/event_http/server.h"
#include "src/runtime/clock.h"

namespace control = graniteseam::control;
namespace program = graniteseam::daemon;
namespace event_http = graniteseam::event_http;
namespace runtime = graniteseam::runtime;
using graniteseam::Attempt;
using graniteseam::Duration;
using graniteseam::ErrorOf;
using graniteseam::Instant;
using Kind = control::RangeOrder::Kind;
using Outcome = control::RangeOrderResult::Outcome;

namespace {

constexpr int kMisdirected = 421;
/// Sendings of an order until a process that has just started answers it.
constexpr int kSendingsMaximum = 100;

auto names() -> program::OwnerCallNames {
  program::OwnerCallNames names;
  names.grant_path = "/grant";
  names.release_path = "/release";
  names.handover_header = "Handover";
  names.target_header = "Target";
  return names;
}

/// One life of a server at an address: it carries out the orders that name it or nobody, as
/// docs/interface/traffic.md asks of servers.
class ServerLife {
 public:
  ServerLife(std::string id, std::uint16_t port) : m_id(std::move(id)) {
    event_http::ServerOptions options;
    options.address = {"127.0.0.1", port};
    m_server = std::make_unique<event_http::Server>(
        m_loop.context(), options, [this](auto const& exchange) { answer(*exchange); });
    auto const started = Attempt([this] { return m_server->Start(); });
    cr_assert(ErrorOf(started) == nullptr);
  }
  ~ServerLife() { m_loop.Stop(); }

  auto port() const -> std::uint16_t { return m_server->port(); }
  auto orders_taken() const -> int { return m_orders_taken; }

 private:
  auto answer(event_http::Exchange& exchange) -> void {
    auto const* const target = exchange.request().fields.Find(names().target_header);
    event_http::Response response;
    if (target != nullptr && *target != m_id) {
      response.status = kMisdirected;
    } else {
      ++m_orders_taken;
      response.fields.Add(names().handover_header, "of-" + m_id);
    }
    exchange.Respond(response);
  }

  std::string const m_id;
  std::atomic<int> m_orders_taken{0};
  runtime::EventLoop m_loop;
  std::unique_ptr<event_http::Server> m_server;
};

/// Sends orders for "i-1" to one address.
class Orders {
 public:
  explicit Orders(std::uint16_t port) : m_address("127.0.0.1:" + std::to_string(port)) {}
  ~Orders() {
    m_loop.Stop();
    ::close(m_discarded);
  }

  auto send(Kind kind, Instant not_after = Instant::max()) -> Outcome {
    control::RangeOrder order;
    order.number = m_last = m_last.Next();
    order.kind = kind;
    order.instance = {"i-1"};
    order.address = m_address;
    order.span = {18725, 19231};
    order.fence = {138};
    order.hold = std::chrono::seconds(3);
    order.limit = std::chrono::seconds(5);
    order.not_after = not_after;
    m_ended = {};
    auto ended = m_ended.get_future();
    m_client.Send(order);
    return ended.get();
  }

  /// Repeats an order until it was delivered to some process.
  auto send_until_delivered(Kind kind) -> Outcome {
    auto outcome = Outcome::kNotDelivered;
    for (auto i = 0; i < kSendingsMaximum && undelivered(outcome); ++i) outcome = send(kind);
    return outcome;
  }

 private:
  /// A kept connection to the life before may bring the end of it in the place of an answer.
  static auto undelivered(Outcome outcome) -> bool {
    return outcome == Outcome::kNotDelivered || outcome == Outcome::kUnknown;
  }

  std::string const m_address;
  int const m_discarded = ::open("/dev/null", O_WRONLY | O_CLOEXEC);
  runtime::EventLog m_events{"test", m_discarded};
  runtime::EventLoop m_loop;
  graniteseam::control::OrderNumber m_last;
  std::promise<Outcome> m_ended;
  program::OwnerClient m_client{
      names(), m_loop, m_events,
      [this](control::RangeOrderResult const& result) { m_ended.set_value(result.outcome); }};
};

/// An owner ends, and the next process starts at its address before control has heard of it: the
/// order that is repeated then is meant for the former one.
auto expect_not_taken_by_the_next_process(Kind kind) -> void {
  auto owner = std::make_unique<ServerLife>("i-1", 0);
  Orders orders(owner->port());
  cr_assert(orders.send(kind) == Outcome::kDone);
  cr_assert(owner->orders_taken() == 1);
  auto const port = owner->port();
  owner.reset();
  ServerLife next("i-2", port);
  auto const outcome = orders.send_until_delivered(kind);
  cr_assert(next.orders_taken() == 0, "The next process carried out an order for its forerunner.");
  cr_assert(outcome == Outcome::kOtherInstance);
}

constexpr char kGranted[] = "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n";

/// Sends a surplus answer before its answer to each order but the first of a connection; answers a
/// release when its work has ended.
class RepeatingOwner {
 public:
  explicit RepeatingOwner(std::string surplus)
      : m_surplus(std::move(surplus)), m_listener(::socket(AF_INET, SOCK_STREAM, 0)) {
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    socklen_t size = sizeof(address);
    cr_assert(::bind(m_listener, reinterpret_cast<sockaddr*>(&address), size) == 0);
    cr_assert(::getsockname(m_listener, reinterpret_cast<sockaddr*>(&address), &size) == 0);
    m_port = ntohs(address.sin_port);
    cr_assert(::listen(m_listener, 8) == 0);
    m_acceptor = std::thread([this] {
      for (;;) {
        auto const connection = ::accept(m_listener, nullptr, nullptr);
        if (connection < 0) return;
        m_connections.emplace_back(connection,
                                   std::thread([this, connection] { serve(connection); }));
      }
    });
  }
  ~RepeatingOwner() {
    ::shutdown(m_listener, SHUT_RDWR);
    m_acceptor.join();
    for (auto& [connection, thread] : m_connections) {
      ::shutdown(connection, SHUT_RDWR);
      thread.join();
      ::close(connection);
    }
    ::close(m_listener);
  }

  auto port() const -> std::uint16_t { return m_port; }
  auto work_ended() const -> bool { return m_work_ended; }

 private:
  auto serve(int connection) -> void {
    auto first = true;
    char buf[4096];
    for (;;) {
      auto const n = ::recv(connection, buf, sizeof(buf), 0);
      if (n <= 0) return;
      if (!std::exchange(first, false)) write(connection, m_surplus);
      if (std::string_view(buf, static_cast<std::size_t>(n)).starts_with("POST /grant")) {
        write(connection, kGranted);
        continue;
      }
      std::this_thread::sleep_for(std::chrono::milliseconds(200));
      m_work_ended = true;
      write(connection, "HTTP/1.1 200 OK\r\nHandover: h\r\nContent-Length: 0\r\n\r\n");
    }
  }

  static auto write(int connection, std::string const& bytes) -> void {
    ::send(connection, bytes.data(), bytes.size(), MSG_NOSIGNAL);
  }

  std::string const m_surplus;
  int const m_listener;
  std::uint16_t m_port = 0;
  std::atomic<bool> m_work_ended{false};
  std::thread m_acceptor;
  std::list<std::pair<int, std::thread>> m_connections;
};

}  // namespace

/// Guards against keys that get another owner while the former one works on them: a surplus answer
/// to a grant was taken for the answer to their release.
Test(owner_client, release_is_not_ended_by_a_surplus_answer_to_a_grant) {
  RepeatingOwner owner(kGranted);
  Orders orders(owner.port());
  cr_assert(orders.send(Kind::kGrant) == Outcome::kDone);
  cr_assert(orders.send(Kind::kRelease) == Outcome::kDone);
  cr_assert(owner.work_ended());
}

/// Guards against keys that get another owner while the former one lives: a surplus answer to an
/// earlier order was taken for proof that another process has its address, or that it holds
/// nothing.
Test(owner_client, surplus_answer_does_not_end_an_ownership) {
  for (auto const* const status : {"421 Misdirected Request", "409 Conflict"}) {
    RepeatingOwner owner("HTTP/1.1 " + std::string(status) + "\r\nContent-Length: 0\r\n\r\n");
    Orders orders(owner.port());
    cr_assert(orders.send(Kind::kGrant) == Outcome::kDone);
    cr_assert(orders.send(Kind::kGrant) == Outcome::kUnknown);
    // It opens a connection, whose first answer is its own.
    cr_assert(orders.send(Kind::kGrant) == Outcome::kDone);
  }
}

Test(owner_client, renewal_is_not_taken_by_the_next_process_at_the_address) {
  expect_not_taken_by_the_next_process(Kind::kGrant);
}

Test(owner_client, release_is_not_taken_by_the_next_process_at_the_address) {
  expect_not_taken_by_the_next_process(Kind::kRelease);
}

/// A leader stood still between its decision and the sending, and another one leads by now.
Test(owner_client, order_is_not_sent_after_its_time) {
  ServerLife owner("i-1", 0);
  Orders orders(owner.port());
  const Instant over = runtime::BootTimeNow() - std::chrono::microseconds(1);
  cr_assert(orders.send(Kind::kGrant, over) == Outcome::kNotDelivered);
  cr_assert(owner.orders_taken() == 0);
  // The same over a kept connection.
  cr_assert(orders.send(Kind::kGrant) == Outcome::kDone);
  cr_assert(orders.send(Kind::kGrant, over) == Outcome::kNotDelivered);
  cr_assert(owner.orders_taken() == 1);
}
