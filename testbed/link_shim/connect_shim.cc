/// @file
/// Preloaded into the processes of a fleet so that the fleet's link layer sees who connects to
/// whom.
///
/// Every process of a fleet has an address of its own, 127.0.<zone>.<number>. This shim binds each
/// outgoing connection to the process's own address (GRANITESEAM_LINK_SOURCE) and leads it to
/// 127.1.<zone>.<number>, where the link layer listens for the process 127.0.<zone>.<number>. The
/// programs themselves know nothing of it.
#include <arpa/inet.h>
#include <dlfcn.h>
#include <netinet/in.h>
#include <sys/socket.h>

#include <cstdint>
#include <cstdlib>
#include <cstring>

namespace {

constexpr std::uint32_t kFleetNetwork = 0x7f00'0000;  // 127.0.0.0
constexpr std::uint32_t kNetworkMask = 0xffff'0000;
constexpr std::uint32_t kToLinkLayer = 0x0001'0000;

bool IsFleetAddress(const sockaddr_in& address) {
  const std::uint32_t host = ntohl(address.sin_addr.s_addr);
  return (host & kNetworkMask) == kFleetNetwork && host != INADDR_LOOPBACK;
}

void BindToSource(int descriptor) {
  const char* source = std::getenv("GRANITESEAM_LINK_SOURCE");
  if (source == nullptr) return;
  sockaddr_in address{};
  address.sin_family = AF_INET;
  if (::inet_pton(AF_INET, source, &address.sin_addr) != 1) return;
  // The kernel chooses the port as late as connect(), so that ports are not used up.
  const int yes = 1;
  ::setsockopt(descriptor, IPPROTO_IP, IP_BIND_ADDRESS_NO_PORT, &yes, sizeof(yes));
  // Fails for a socket that is bound already; it then connects from where it is bound.
  static_cast<void>(::bind(descriptor, reinterpret_cast<sockaddr*>(&address), sizeof(address)));
}

}  // namespace

extern "C" int connect(int descriptor, const sockaddr* address, socklen_t length) {
  using Connect = int (*)(int, const sockaddr*, socklen_t);
  static const auto real_connect = reinterpret_cast<Connect>(::dlsym(RTLD_NEXT, "connect"));
  sockaddr_in target{};
  if (address->sa_family != AF_INET || length < sizeof(target)) {
    return real_connect(descriptor, address, length);
  }
  std::memcpy(&target, address, sizeof(target));
  if (!IsFleetAddress(target)) return real_connect(descriptor, address, length);
  BindToSource(descriptor);
  target.sin_addr.s_addr = htonl(ntohl(target.sin_addr.s_addr) | kToLinkLayer);
  return real_connect(descriptor, reinterpret_cast<const sockaddr*>(&target), sizeof(target));
}
