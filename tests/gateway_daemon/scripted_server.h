/// @file
/// A server in tests whose connections a function serves, each in a thread of its own.
#pragma once

#include <criterion/criterion.h>
#include <linux/sockios.h>
#include <netinet/tcp.h>
#include <sys/ioctl.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <atomic>
#include <chrono>
#include <cstdlib>
#include <functional>
#include <mutex>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <thread>
#include <vector>

#include "tests/gateway_daemon/gateway_stand_ins.h"

namespace graniteseam::test {

/// One request as the server read it.
struct TakenRequest {
  std::string method;
  std::string id;
  int place = 0;  ///< On its connection, from 1 on.
};

/// The server's side of a connection.
class ServedConnection {
 public:
  ServedConnection(int descriptor, const std::atomic<bool>& stopping)
      : descriptor_(descriptor), stopping_(stopping) {}

  /// @return false when the other side takes no more.
  bool Send(std::string_view bytes) const {
    while (!bytes.empty()) {
      const ssize_t sent = send(descriptor_, bytes.data(), bytes.size(), MSG_NOSIGNAL);
      if (sent <= 0) return false;
      bytes.remove_prefix(static_cast<std::size_t>(sent));
    }
    return true;
  }

  /// Waits until the condition holds, the other side ends, or the server is destroyed.
  void HoldUntil(const std::function<bool()>& condition) const {
    char byte = 0;
    while (!condition() && !stopping_) {
      const ssize_t peeked = recv(descriptor_, &byte, 1, MSG_PEEK | MSG_DONTWAIT);
      if (peeked == 0) return;
      std::this_thread::sleep_for(std::chrono::milliseconds(2));
    }
  }

  /// Waits until the other side has taken all that was sent, and resets the connection.
  void Reset() const {
    int unsent = 1;
    HoldUntil([&] { return ioctl(descriptor_, SIOCOUTQ, &unsent) != 0 || unsent == 0; });
    const linger at_once{1, 0};
    setsockopt(descriptor_, SOL_SOCKET, SO_LINGER, &at_once, sizeof(at_once));
  }

  /// Ends the sending and waits until the other side has closed too, so that no reset overtakes
  /// what was sent.
  void End() const {
    shutdown(descriptor_, SHUT_WR);
    char buffer[4096];
    while (recv(descriptor_, buffer, sizeof(buffer), 0) > 0) {
    }
  }

  /// The next request with its body; nullopt at the end of the connection.
  std::optional<TakenRequest> Take() {
    std::size_t head = std::string::npos;
    while ((head = unread_.find("\r\n\r\n")) == std::string::npos) {
      if (!Receive()) return std::nullopt;
    }
    const std::string fields = unread_.substr(0, head + 2);
    const std::string length = Field(fields, "Content-Length: ");
    const std::size_t whole = head + 4 + (length.empty() ? 0 : std::stoul(length));
    while (unread_.size() < whole) {
      if (!Receive()) return std::nullopt;
    }
    unread_.erase(0, whole);
    return TakenRequest{fields.substr(0, fields.find(' ')), Field(fields, "\r\nAttempt: "),
                        ++taken_};
  }

 private:
  static std::string Field(const std::string& head, std::string_view name) {
    const std::size_t at = head.find(name);
    if (at == std::string::npos) return {};
    const std::size_t begin = at + name.size();
    return head.substr(begin, head.find("\r\n", begin) - begin);
  }

  bool Receive() {
    char buffer[4096];
    const ssize_t taken = recv(descriptor_, buffer, sizeof(buffer), 0);
    if (taken > 0) unread_.append(buffer, static_cast<std::size_t>(taken));
    return taken > 0;
  }

  const int descriptor_;
  const std::atomic<bool>& stopping_;
  std::string unread_;
  int taken_ = 0;
};

/// Thread safe.
class ScriptedServer {
 public:
  /// Serves one request.
  /// @return whether the connection is kept.
  using Script = std::function<bool(const ServedConnection&, const TakenRequest&)>;

  explicit ScriptedServer(Script script)
      : script_(std::move(script)),
        listener_(socket(AF_INET, SOCK_STREAM, 0)),
        port_(BoundPort(listener_)) {
    cr_assert(listen(listener_, 64) == 0);
    acceptor_ = std::thread([this] { Accept(); });
  }
  ~ScriptedServer() {
    stopping_ = true;
    shutdown(listener_, SHUT_RDWR);
    acceptor_.join();
    {
      const std::lock_guard lock(mutex_);
      for (const int descriptor : open_) shutdown(descriptor, SHUT_RDWR);
    }
    for (std::thread& thread : threads_) thread.join();
    close(listener_);
  }
  ScriptedServer(const ScriptedServer&) = delete;
  ScriptedServer& operator=(const ScriptedServer&) = delete;

  std::string address() const { return "127.0.0.1:" + std::to_string(port_); }
  /// Whether a request with this id reached the server.
  bool Took(const std::string& id) {
    const std::lock_guard lock(mutex_);
    return ids_.contains(id);
  }

 private:
  void Accept() {
    while (!stopping_) {
      const int descriptor = accept(listener_, nullptr, nullptr);
      if (descriptor < 0) return;
      const int at_once = 1;
      setsockopt(descriptor, IPPROTO_TCP, TCP_NODELAY, &at_once, sizeof(at_once));
      const std::lock_guard lock(mutex_);
      open_.insert(descriptor);
      threads_.emplace_back([this, descriptor] { Serve(descriptor); });
    }
  }

  void Serve(int descriptor) {
    ServedConnection connection(descriptor, stopping_);
    while (const auto request = connection.Take()) {
      {
        const std::lock_guard lock(mutex_);
        ids_.insert(request->id);
      }
      if (!script_(connection, *request)) break;
    }
    const std::lock_guard lock(mutex_);
    open_.erase(descriptor);
    close(descriptor);
  }

  const Script script_;
  const int listener_;
  const std::uint16_t port_;
  std::atomic<bool> stopping_{false};
  std::mutex mutex_;  ///< Guards what follows.
  std::set<std::string> ids_;
  std::set<int> open_;
  std::vector<std::thread> threads_;
  std::thread acceptor_;
};

/// A whole answer, framed by its length.
inline std::string WholeAnswer(const TakenRequest& request, std::string_view body = "body") {
  return "HTTP/1.1 200 OK\r\nAttempt: " + request.id +
         "\r\nSeal: s\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" +
         std::string(body);
}

}  // namespace graniteseam::test
