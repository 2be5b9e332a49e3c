/// @file
/// What a gateway process meets in tests: servers that answer with given bytes, and control.
#pragma once

#include <criterion/criterion.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <atomic>
#include <functional>
#include <memory>
#include <mutex>
#include <optional>
#include <set>
#include <string>
#include <thread>
#include <vector>

#include "src/daemon/gateway/gateway_process.h"
#include "src/protocol/internal_server.h"
#include "src/runtime/event_loop.h"
#include "src/runtime/metrics.h"

namespace graniteseam::test {

inline std::uint16_t BoundPort(int descriptor) {
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  socklen_t size = sizeof(address);
  cr_assert(bind(descriptor, reinterpret_cast<sockaddr*>(&address), size) == 0);
  cr_assert(getsockname(descriptor, reinterpret_cast<sockaddr*>(&address), &size) == 0);
  return ntohs(address.sin_port);
}

inline std::uint16_t FreePort() {
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
  /// @param server_addresses of the instances of its only service.
  /// @param change_route changes its only route.
  explicit ControlStandIn(
      const std::vector<std::string>& server_addresses,
      const std::vector<traffic::GatewayPeer>& peers = {},
      const std::function<void(traffic::Route&)>& change_route = [](auto&) {})
      : server({.address = {"127.0.0.1", 0}, .name = "1", .security = {}, .limits = {}}, loop,
               metrics,
               {[](const std::string&, const protocol::ServedAddresses&) {},
                [](const consensus::PeerMessage&) {},
                [this, server_addresses, peers, change_route](
                    protocol::RouterConnectionId id, const control::RouterToControl& message) {
                  const auto* poll = std::get_if<control::TrafficPoll>(&message);
                  if (poll == nullptr || poll->version != 0) return;
                  traffic::TrafficUpdate state = State(*poll, server_addresses, peers);
                  change_route(state.routes.front());
                  server.SendToRouter(id, state);
                },
                [](protocol::RouterConnectionId) {}}) {
    const auto started = Attempt([&] { return server.Start(); });
    cr_assert(ErrorOf(started) == nullptr);
  }
  ~ControlStandIn() { loop.Stop(); }

  static traffic::TrafficUpdate State(const control::TrafficPoll& poll,
                                      const std::vector<std::string>& server_addresses,
                                      const std::vector<traffic::GatewayPeer>& peers) {
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
    for (const std::string& address : server_addresses) {
      traffic::Instance& instance = update.instances.emplace_back();
      instance.report.id = {"i-" + std::to_string(update.instances.size())};
      instance.report.service = {"s"};
      instance.report.address = address;
      instance.report.slots = 4;
      instance.changed_at = 1;
    }
    update.limits = traffic::CallerLimits{};
    update.peers.version = {1, 1};
    update.peers.changed = peers;
    return update;
  }

  runtime::MetricsRegistry metrics;
  runtime::EventLoop loop;
  protocol::InternalServer server;
};

/// A gateway process that follows a control process of this machine.
struct RunningGateway {
  daemon::GatewaySettings settings;
  std::unique_ptr<daemon::GatewayProcess> process;

  RunningGateway(const std::string& id, std::uint16_t control_port,
                 Duration stop_limit = std::chrono::seconds(2), double link_mbps = 0) {
    settings.id = id;
    settings.zone = "z";
    settings.caller_address = {"127.0.0.1", FreePort()};
    settings.status_address = {"127.0.0.1", FreePort()};
    settings.control = {{"127.0.0.1", control_port}};
    settings.stop_limit = stop_limit;
    settings.link_mbps = link_mbps;
    const daemon::ExchangeNames names{"Attempt", "Time-Left", "Key",         "Target",
                                      "Seal",    "Load",      "Not-Executed"};
    process =
        std::make_unique<daemon::GatewayProcess>(settings, names, open("/dev/null", O_WRONLY));
    const auto started = Attempt([this] { return process->Start(); });
    cr_assert(ErrorOf(started) == nullptr);
  }
};

}  // namespace graniteseam::test
