#include "testbed/support/http_listener.h"

#include <sys/socket.h>

namespace graniteseam::testbed {

namespace {

constexpr int kBacklog = 512;
/// docs/interface/servers.md: no sooner than 30 s after the last answer.
constexpr time_t kIdleSeconds = 35;
constexpr std::size_t kRequestsPerConnection = 1'000'000'000;
constexpr std::size_t kSpareThreads = 16;

}  // namespace

HttpListener::HttpListener(std::size_t connections) {
  server_.new_task_queue = [connections] {
    return new httplib::ThreadPool(connections + kSpareThreads);
  };
  server_.set_keep_alive_max_count(kRequestsPerConnection);
  server_.set_keep_alive_timeout(kIdleSeconds);
  server_.set_tcp_nodelay(true);
  server_.set_socket_options([this](socket_t descriptor) {
    const int yes = 1;
    ::setsockopt(descriptor, SOL_SOCKET, SO_REUSEADDR, &yes, sizeof(yes));
    listen_socket_ = descriptor;
  });
}

HttpListener::~HttpListener() { Stop(); }

Result<runtime::SocketAddress> HttpListener::Start(const runtime::SocketAddress& address) {
  runtime::SocketAddress bound = address;
  if (address.port == 0) {
    const int port = server_.bind_to_any_port(address.ip);
    if (port > 0) bound.port = static_cast<std::uint16_t>(port);
  } else if (!server_.bind_to_port(address.ip, address.port)) {
    bound.port = 0;
  }
  if (bound.port == 0) {
    return Fail(ErrorKind::kUnavailable, "Can't listen on " + runtime::ToString(address) + ".",
                "Choose an address of this machine with a free port.");
  }
  // cpp-httplib listens with a backlog of 5, too short for a fleet that connects at once.
  ::listen(listen_socket_, kBacklog);
  thread_ = std::thread([this] { server_.listen_after_bind(); });
  while (!server_.is_running()) std::this_thread::yield();
  return bound;
}

void HttpListener::Stop() {
  if (!thread_.joinable()) return;
  server_.stop();
  thread_.join();
}

}  // namespace graniteseam::testbed
