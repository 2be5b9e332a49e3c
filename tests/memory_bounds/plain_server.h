/// @file
/// A registered server that answers what a request's path asks for, also without end.
#pragma once

#include <arpa/inet.h>
#include <criterion/criterion.h>
#include <sys/socket.h>
#include <unistd.h>

#include <atomic>
#include <charconv>
#include <mutex>
#include <set>
#include <string>
#include <thread>
#include <vector>

#include "platform/names.h"
#include "testbed/registered/http_call.h"

namespace graniteseam::test {

/// Words of paths that ask for an answer of their own; every other request is answered shortly.
inline constexpr char kLargeAnswer[] = "/large";
inline constexpr char kEndlessExtension[] = "/endless-extension";
inline constexpr char kEndlessTrailer[] = "/endless-trailer";
inline constexpr char kEndlessHead[] = "/endless-head";
inline constexpr char kEndlessInterim[] = "/endless-interim";

inline constexpr std::size_t kLargeAnswerBytes = std::size_t{16} << 20;
/// Of an answer without end, the caller is sent so much at most.
inline constexpr std::size_t kEndlessBytes = std::size_t{384} << 20;

/// One thread a connection. Bodies of requests are thrown away as they come.
class PlainServer {
 public:
  /// @param controls where it sends its heartbeats.
  explicit PlainServer(std::vector<std::string> controls)
      : controls_(std::move(controls)), listener_(socket(AF_INET, SOCK_STREAM, 0)) {
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    socklen_t size = sizeof(address);
    cr_assert(bind(listener_, reinterpret_cast<sockaddr*>(&address), size) == 0);
    cr_assert(getsockname(listener_, reinterpret_cast<sockaddr*>(&address), &size) == 0);
    cr_assert(listen(listener_, 128) == 0);
    address_ = "127.0.0.1:" + std::to_string(ntohs(address.sin_port));
    acceptor_ = std::thread([this] { Accept(); });
    heartbeats_ = std::thread([this] { SendHeartbeats(); });
  }
  ~PlainServer() {
    stopping_ = true;
    shutdown(listener_, SHUT_RDWR);
    heartbeats_.join();
    acceptor_.join();
    {
      const std::lock_guard lock(mutex_);
      for (const int connection : open_) shutdown(connection, SHUT_RDWR);
    }
    for (std::thread& thread : threads_) thread.join();
    close(listener_);
  }
  PlainServer(const PlainServer&) = delete;
  PlainServer& operator=(const PlainServer&) = delete;

  static constexpr char kService[] = "pool";

 private:
  void Accept() {
    while (!stopping_) {
      const int connection = accept(listener_, nullptr, nullptr);
      if (connection < 0) return;
      const std::lock_guard lock(mutex_);
      open_.insert(connection);
      threads_.emplace_back([this, connection] { Serve(connection); });
    }
  }

  void Serve(int connection) {
    std::string unread;
    while (ServeOne(connection, unread)) {
    }
    const std::lock_guard lock(mutex_);
    open_.erase(connection);
    close(connection);
  }

  bool ServeOne(int connection, std::string& unread) {
    std::size_t end = std::string::npos;
    while ((end = unread.find("\r\n\r\n")) == std::string::npos) {
      if (!Receive(connection, unread)) return false;
    }
    const std::string head = unread.substr(0, end + 4);
    unread.erase(0, head.size());
    std::size_t left = BodyBytes(head);
    while (left > 0) {
      const std::size_t taken = std::min(left, unread.size());
      unread.erase(0, taken);
      left -= taken;
      if (left > 0 && !Receive(connection, unread)) return false;
    }
    return Answer(connection, head);
  }

  static bool Receive(int connection, std::string& unread) {
    std::string buffer(std::size_t{64} << 10, '\0');
    const ssize_t taken = recv(connection, buffer.data(), buffer.size(), 0);
    if (taken <= 0) return false;
    unread.append(buffer, 0, static_cast<std::size_t>(taken));
    return true;
  }

  static bool Put(int connection, const std::string& text) {
    std::size_t sent = 0;
    while (sent < text.size()) {
      const ssize_t taken = send(connection, text.data() + sent, text.size() - sent, MSG_NOSIGNAL);
      if (taken <= 0) return false;
      sent += static_cast<std::size_t>(taken);
    }
    return true;
  }

  /// Sends `piece` until the other side closes.
  static bool PutEndless(int connection, const std::string& head, const std::string& piece) {
    if (!Put(connection, head)) return false;
    for (std::size_t sent = 0; sent < kEndlessBytes; sent += piece.size()) {
      if (!Put(connection, piece)) return false;
    }
    return false;
  }

  static std::string FieldOf(const std::string& head, const std::string& name) {
    const std::string start = "\r\n" + name + ": ";
    const std::size_t at = head.find(start);
    if (at == std::string::npos) return "";
    const std::size_t begin = at + start.size();
    return head.substr(begin, head.find("\r\n", begin) - begin);
  }

  static std::size_t BodyBytes(const std::string& head) {
    const std::string length = FieldOf(head, "Content-Length");
    std::size_t bytes = 0;
    std::from_chars(length.data(), length.data() + length.size(), bytes);
    return bytes;
  }

  bool Answer(int connection, const std::string& head) const {
    const std::string target = head.substr(0, head.find("\r\n"));
    const auto asks_for = [&](const char* word) { return target.find(word) != std::string::npos; };
    const std::string fields = names_.attempt_id + ": " + FieldOf(head, names_.attempt_id) +
                               "\r\n" + names_.seal + ": sealed\r\n" + names_.answerer + ": " +
                               kId + "\r\n" + names_.load + ": 0,0,100\r\n";
    const std::string chunked =
        "HTTP/1.1 200 OK\r\n" + fields + "Transfer-Encoding: chunked\r\n\r\n";
    const std::string much(std::size_t{64} << 10, 'x');
    if (asks_for(kEndlessExtension)) return PutEndless(connection, chunked + "5;", much);
    if (asks_for(kEndlessTrailer)) {
      return PutEndless(connection, chunked + "5\r\nhello\r\n0\r\n",
                        "X-Trailer: " + std::string(1'000, 'x') + "\r\n");
    }
    if (asks_for(kEndlessHead)) {
      return PutEndless(connection, "HTTP/1.1 200 OK\r\n" + fields + "X-Head: ", much);
    }
    if (asks_for(kEndlessInterim)) {
      return PutEndless(connection, "", "HTTP/1.1 102 Processing\r\n\r\n");
    }
    const std::string body = asks_for(kLargeAnswer) ? std::string(kLargeAnswerBytes, 'x') : "done";
    return Put(connection, "HTTP/1.1 200 OK\r\n" + fields +
                               "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n") &&
           Put(connection, body);
  }

  void SendHeartbeats() {
    testbed::HttpCaller caller;
    for (int sequence = 1; !stopping_; ++sequence) {
      event_http::Request beat;
      beat.method = "POST";
      beat.target = std::string("/v1/instances/") + kId + "/heartbeat";
      beat.fields.Add("Host", "control");
      beat.body = std::string("{\"service\":\"") + kService + "\",\"address\":\"" + address_ +
                  "\",\"zone\":\"z1\",\"version\":\"v1\",\"slots\":100,\"warmup_left_ms\":0," +
                  "\"state\":\"ready\",\"sequence\":" + std::to_string(sequence) + "}";
      const auto turn = static_cast<std::size_t>(sequence) % controls_.size();
      constexpr Duration kLimit{1'000'000};
      caller.CallFollowing(controls_[turn], beat, kLimit);
      std::this_thread::sleep_for(std::chrono::milliseconds(200));
    }
  }

  static constexpr char kId[] = "pool-1";

  const daemon::ExchangeNames names_ = platform::RequestNames();
  const std::vector<std::string> controls_;
  const int listener_;
  std::string address_;
  std::atomic<bool> stopping_{false};
  std::mutex mutex_;  ///< Guards what follows.
  std::set<int> open_;
  std::vector<std::thread> threads_;  ///< Read by the destructor once nothing is accepted any more.
  std::thread acceptor_;
  std::thread heartbeats_;
};

}  // namespace graniteseam::test
