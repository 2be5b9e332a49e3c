#include "testbed/fleet/reserved_port.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <utility>

namespace graniteseam::testbed {

namespace {

constexpr int kAttempts = 64;

/// Binds a socket to ip:port, port 0 for the kernel's choice.
/// @return the descriptor, or -1.
int Bind(const std::string& ip, std::uint16_t port) {
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(port);
  if (::inet_pton(AF_INET, ip.c_str(), &address.sin_addr) != 1) return -1;
  const int descriptor = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  if (descriptor < 0) return -1;
  // cpp-httplib sets SO_REUSEPORT alone on its listening sockets, Boost.Asio SO_REUSEADDR alone.
  const int yes = 1;
  ::setsockopt(descriptor, SOL_SOCKET, SO_REUSEADDR, &yes, sizeof(yes));
  ::setsockopt(descriptor, SOL_SOCKET, SO_REUSEPORT, &yes, sizeof(yes));
  if (::bind(descriptor, reinterpret_cast<sockaddr*>(&address), sizeof(address)) == 0) {
    return descriptor;
  }
  ::close(descriptor);
  return -1;
}

std::uint16_t PortOf(int descriptor) {
  sockaddr_in address{};
  socklen_t length = sizeof(address);
  ::getsockname(descriptor, reinterpret_cast<sockaddr*>(&address), &length);
  return ntohs(address.sin_port);
}

}  // namespace

Result<ReservedPort> ReservedPort::Reserve(const std::string& ip, const std::string& also_on) {
  for (int attempt = 0; attempt < kAttempts; ++attempt) {
    const int descriptor = Bind(ip, 0);
    if (descriptor < 0) break;
    const std::uint16_t port = PortOf(descriptor);
    const int further = also_on.empty() ? -1 : Bind(also_on, port);
    if (also_on.empty() || further >= 0) return ReservedPort({ip, port}, descriptor, further);
    ::close(descriptor);
  }
  return Fail(ErrorKind::kUnavailable, "No free port was found on " + ip + ".",
              "Stop other fleets on this machine.");
}

ReservedPort::ReservedPort(ReservedPort&& other) noexcept
    : address_(std::move(other.address_)),
      descriptor_(std::exchange(other.descriptor_, -1)),
      also_on_(std::exchange(other.also_on_, -1)) {}

ReservedPort::~ReservedPort() {
  if (descriptor_ >= 0) ::close(descriptor_);
  if (also_on_ >= 0) ::close(also_on_);
}

}  // namespace graniteseam::testbed
