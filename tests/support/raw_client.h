/// @file
/// A plain TCP client that sends what no program of ours would send.
#pragma once

#include <arpa/inet.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <cerrno>
#include <cstdint>
#include <string>

#include "tests/support/vanishing_socket.h"

namespace graniteseam::test {

class RawClient {
 public:
  /// @param receive_bytes the room for what is not read yet; 0 leaves it to the system.
  explicit RawClient(std::uint16_t port, int receive_bytes = 0)
      : descriptor_(socket(AF_INET, SOCK_STREAM, 0)) {
    if (receive_bytes > 0) {
      setsockopt(descriptor_, SOL_SOCKET, SO_RCVBUF, &receive_bytes, sizeof(receive_bytes));
    }
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(port);
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    connected_ = connect(descriptor_, reinterpret_cast<sockaddr*>(&address), sizeof(address)) == 0;
  }
  ~RawClient() { close(descriptor_); }
  RawClient(const RawClient&) = delete;
  RawClient& operator=(const RawClient&) = delete;

  bool connected() const { return connected_; }

  void Send(const std::string& bytes) {
    // The other side may have closed already; what counts is what it answers.
    [[maybe_unused]] const ssize_t sent =
        send(descriptor_, bytes.data(), bytes.size(), MSG_NOSIGNAL);
  }

  /// Says that nothing more is sent; reading goes on.
  void EndSending() { shutdown(descriptor_, SHUT_WR); }

  /// From now on its system acknowledges nothing, as if its machine were gone.
  void Vanish() { graniteseam::test::Vanish(descriptor_); }

  /// What has arrived, `most` bytes of it, without waiting.
  /// @param[out] closed is set once the other side closed; left as it is otherwise.
  std::string ReadArrived(std::size_t most, bool& closed) {
    std::string all(most, '\0');
    const ssize_t taken = recv(descriptor_, all.data(), all.size(), MSG_DONTWAIT);
    if (taken == 0 || (taken < 0 && errno != EAGAIN)) closed = true;
    all.resize(taken > 0 ? static_cast<std::size_t>(taken) : 0);
    return all;
  }

  /// All bytes until the other side closes; gives up after a generous while.
  /// @param[out] closed whether it closed.
  std::string ReadToEnd(bool& closed) {
    std::string all;
    closed = false;
    pollfd source{descriptor_, POLLIN, 0};
    while (poll(&source, 1, 30'000) > 0) {
      char buffer[4096];
      const ssize_t taken = recv(descriptor_, buffer, sizeof(buffer), 0);
      if (taken <= 0) {
        closed = true;
        break;
      }
      all.append(buffer, static_cast<std::size_t>(taken));
    }
    return all;
  }

 private:
  int descriptor_;
  bool connected_ = false;
};

}  // namespace graniteseam::test
