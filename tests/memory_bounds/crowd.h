/// @file
/// Many plain TCP clients that send what they like, without waiting for one another.
#pragma once

#include <arpa/inet.h>
#include <criterion/criterion.h>
#include <fcntl.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <cerrno>
#include <string>
#include <vector>

#include "src/runtime/clock.h"
#include "src/runtime/socket_address.h"

namespace graniteseam::test {

class Crowd {
 public:
  /// @param receive_bytes the room for what a client has not read yet; 0 leaves it to the system.
  Crowd(const runtime::SocketAddress& to, int count, int receive_bytes = 0) {
    for (int client = 0; client < count; ++client) {
      const int descriptor = socket(AF_INET, SOCK_STREAM, 0);
      if (receive_bytes > 0) {
        setsockopt(descriptor, SOL_SOCKET, SO_RCVBUF, &receive_bytes, sizeof(receive_bytes));
      }
      sockaddr_in address{};
      address.sin_family = AF_INET;
      address.sin_port = htons(to.port);
      cr_assert(inet_pton(AF_INET, to.ip.c_str(), &address.sin_addr) == 1);
      const auto* const generic = reinterpret_cast<const sockaddr*>(&address);
      cr_assert(connect(descriptor, generic, sizeof(address)) == 0);
      fcntl(descriptor, F_SETFL, O_NONBLOCK);
      clients_.push_back({descriptor});
    }
  }
  ~Crowd() {
    for (const Client& client : clients_) close(client.descriptor);
  }
  Crowd(const Crowd&) = delete;
  Crowd& operator=(const Crowd&) = delete;

  /// Each client sends `head`, then `piece` again and again, up to `bytes` in all. Ends when each
  /// client has sent that, or was closed, or the other side has taken nothing of any for a while.
  void Send(const std::string& head, const std::string& piece, std::size_t bytes) {
    for (Client& client : clients_) client.sent = 0;
    Instant progress = runtime::BootTimeNow();
    while (runtime::BootTimeNow() - progress < kPatience) {
      std::vector<pollfd> waiting;
      for (Client& client : clients_) {
        if (SendSome(client, head, piece, bytes)) progress = runtime::BootTimeNow();
        if (!client.closed && client.sent < bytes) {
          waiting.push_back({client.descriptor, POLLOUT, 0});
        }
      }
      if (waiting.empty()) return;
      poll(waiting.data(), waiting.size(), kPollMs);
    }
  }

  /// Each client reads up to `bytes` that have arrived.
  void Read(std::size_t bytes) {
    std::string buffer(bytes, '\0');
    for (Client& client : clients_) {
      const ssize_t taken = recv(client.descriptor, buffer.data(), buffer.size(), 0);
      if (taken == 0 || (taken < 0 && errno != EAGAIN)) client.closed = true;
      if (taken > 0) client.read += static_cast<std::size_t>(taken);
    }
  }

  std::size_t read_bytes() const {
    std::size_t bytes = 0;
    for (const Client& client : clients_) bytes += client.read;
    return bytes;
  }

 private:
  static constexpr Duration kPatience{3'000'000};
  static constexpr int kPollMs = 50;

  struct Client {
    int descriptor = -1;
    std::size_t sent = 0;
    std::size_t read = 0;
    bool closed = false;
  };

  /// @return whether the other side took something.
  static bool SendSome(Client& client, const std::string& head, const std::string& piece,
                       std::size_t bytes) {
    const std::size_t before = client.sent;
    while (!client.closed && client.sent < bytes) {
      const bool in_head = client.sent < head.size();
      const std::string& text = in_head ? head : piece;
      const std::size_t at = in_head ? client.sent : (client.sent - head.size()) % piece.size();
      const std::size_t wanted = std::min(text.size() - at, bytes - client.sent);
      const ssize_t taken = send(client.descriptor, text.data() + at, wanted, MSG_NOSIGNAL);
      if (taken < 0 && (errno == EAGAIN || errno == EWOULDBLOCK)) break;
      if (taken < 0) {
        client.closed = true;
      } else {
        client.sent += static_cast<std::size_t>(taken);
      }
    }
    return client.sent > before;
  }

  std::vector<Client> clients_;
};

}  // namespace graniteseam::test
