/// @file
/// A connection that never waits.
#pragma once

#include <arpa/inet.h>
#include <fcntl.h>
#include <sys/socket.h>
#include <unistd.h>

#include <cerrno>
#include <string>
#include <utility>

#include "src/runtime/socket_address.h"

namespace graniteseam::test {

class GatewaySocket {
 public:
  GatewaySocket() = default;
  /// @param receive_bytes the room for what is not read yet.
  GatewaySocket(const runtime::SocketAddress& to, int receive_bytes)
      : descriptor_(socket(AF_INET, SOCK_STREAM, 0)) {
    setsockopt(descriptor_, SOL_SOCKET, SO_RCVBUF, &receive_bytes, sizeof(receive_bytes));
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(to.port);
    inet_pton(AF_INET, to.ip.c_str(), &address.sin_addr);
    const auto* const generic = reinterpret_cast<const sockaddr*>(&address);
    if (connect(descriptor_, generic, sizeof(address)) != 0) {
      Close();
      return;
    }
    fcntl(descriptor_, F_SETFL, O_NONBLOCK);
  }
  ~GatewaySocket() { Close(); }
  GatewaySocket(GatewaySocket&& other) noexcept
      : descriptor_(std::exchange(other.descriptor_, -1)) {}
  GatewaySocket& operator=(GatewaySocket&& other) noexcept {
    std::swap(descriptor_, other.descriptor_);
    return *this;
  }

  bool open() const { return descriptor_ >= 0; }

  void Send(const std::string& bytes) {
    if (!open()) return;
    const ssize_t sent = send(descriptor_, bytes.data(), bytes.size(), MSG_NOSIGNAL);
    // What it sends is short: a connection that has no room for it is of no more use.
    if (sent != static_cast<ssize_t>(bytes.size())) Close();
  }

  /// What has arrived, `most` bytes of it.
  std::string ReadArrived(std::size_t most) {
    std::string all(most, '\0');
    if (!open() || most == 0) return {};
    const ssize_t taken = recv(descriptor_, all.data(), all.size(), 0);
    const bool ended = taken == 0 || (taken < 0 && errno != EAGAIN);
    if (ended) Close();
    all.resize(taken > 0 ? static_cast<std::size_t>(taken) : 0);
    return all;
  }

 private:
  void Close() {
    if (descriptor_ >= 0) close(descriptor_);
    descriptor_ = -1;
  }

  int descriptor_ = -1;
};

}  // namespace graniteseam::test
