#include "testbed/server/connection_watch.h"

#include <arpa/inet.h>
#include <poll.h>
#include <sys/socket.h>

#include <charconv>
#include <cstring>
#include <filesystem>
#include <string>

namespace graniteseam::testbed {

namespace {

bool HasPeer(int descriptor, const std::string& ip, int port) {
  sockaddr_in peer{};
  socklen_t length = sizeof(peer);
  if (::getpeername(descriptor, reinterpret_cast<sockaddr*>(&peer), &length) != 0) return false;
  if (peer.sin_family != AF_INET || ntohs(peer.sin_port) != port) return false;
  char text[INET_ADDRSTRLEN] = {};
  ::inet_ntop(AF_INET, &peer.sin_addr, text, sizeof(text));
  return ip == text;
}

}  // namespace

bool ConnectionWatch::PeerClosed() {
  if (!searched_) socket_ = FindSocket();
  searched_ = true;
  if (socket_ < 0) return false;
  pollfd entry{socket_, POLLRDHUP, 0};
  return ::poll(&entry, 1, 0) > 0 && (entry.revents & (POLLRDHUP | POLLHUP | POLLERR)) != 0;
}

int ConnectionWatch::FindSocket() const {
  std::error_code ignored;
  for (const auto& entry : std::filesystem::directory_iterator("/proc/self/fd", ignored)) {
    const std::string name = entry.path().filename();
    int descriptor = -1;
    std::from_chars(name.data(), name.data() + name.size(), descriptor);
    if (HasPeer(descriptor, request_.remote_addr, request_.remote_port)) return descriptor;
  }
  return -1;
}

}  // namespace graniteseam::testbed
