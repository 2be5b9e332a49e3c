#include "src/http/socket_connect.h"

#include <fcntl.h>
#include <netdb.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <cerrno>
#include <string>

#include "src/runtime/clock.h"

namespace graniteseam::http {

namespace {

bool FinishConnecting(int descriptor, Instant deadline) {
  for (;;) {
    const Duration left = deadline - runtime::BootTimeNow();
    if (left <= Duration{0}) return false;
    constexpr std::int64_t kWaitMaximumMs = 60'000;
    pollfd poll_entry{descriptor, POLLOUT, 0};
    const int ready = ::poll(
        &poll_entry, 1, static_cast<int>(std::min(kWaitMaximumMs, (left.count() + 999) / 1000)));
    if (ready < 0 && errno == EINTR) continue;
    if (ready <= 0) return false;
    int error = 0;
    socklen_t length = sizeof(error);
    return ::getsockopt(descriptor, SOL_SOCKET, SO_ERROR, &error, &length) == 0 && error == 0;
  }
}

}  // namespace

int ConnectWithin(const runtime::SocketAddress& address, Instant deadline) {
  addrinfo hints{};
  hints.ai_socktype = SOCK_STREAM;
  hints.ai_flags = AI_NUMERICHOST | AI_NUMERICSERV;
  addrinfo* found = nullptr;
  const std::string port = std::to_string(address.port);
  if (::getaddrinfo(address.ip.c_str(), port.c_str(), &hints, &found) != 0) return -1;
  const int descriptor = ::socket(found->ai_family, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  bool connected = false;
  if (descriptor >= 0) {
    const int on = 1;
    ::setsockopt(descriptor, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
    connected = ::connect(descriptor, found->ai_addr, found->ai_addrlen) == 0 ||
                (errno == EINPROGRESS && FinishConnecting(descriptor, deadline));
  }
  ::freeaddrinfo(found);
  if (connected && ::fcntl(descriptor, F_SETFL, ::fcntl(descriptor, F_GETFL) & ~O_NONBLOCK) == 0) {
    return descriptor;
  }
  if (descriptor >= 0) ::close(descriptor);
  return -1;
}

}  // namespace graniteseam::http
