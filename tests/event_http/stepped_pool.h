/// @file
/// A client pool whose loop a test turns, and a server whose every step is the test's.
#pragma once

#include <criterion/criterion.h>
#include <poll.h>

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/write.hpp>
#include <functional>
#include <string>
#include <thread>
#include <utility>
#include <vector>

#include "src/event_http/client_pool.h"

namespace graniteseam::event_http {

namespace asio = boost::asio;
using Tcp = asio::ip::tcp;

inline std::string AnswerOf(const std::string& body) {
  return "HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

/// A pool whose loop is turned by hand, and a server whose every step is the test's.
struct SteppedPool {
  explicit SteppedPool(const ClientPoolOptions& options = {}) : pool(context, options) {}

  asio::io_context context;
  asio::io_context server_context;
  Tcp::acceptor acceptor{server_context, {asio::ip::make_address("127.0.0.1"), 0}};
  ClientPool pool;
  std::vector<CallResult> results;

  void Start(Duration limit, std::vector<ConnectionNumber> avoided = {}) {
    Call call;
    call.avoided_connections = std::move(avoided);
    call.limit = limit;
    Start(std::move(call));
  }

  CallNumber Start(Call call) {
    call.address = "127.0.0.1:" + std::to_string(acceptor.local_endpoint().port());
    call.bytes = "GET / HTTP/1.1\r\nHost: a\r\n\r\n";
    return pool.Start(std::move(call),
                      [this](CallResult result) { results.push_back(std::move(result)); });
  }

  void Turn() {
    context.restart();
    while (context.poll() > 0) {
    }
  }

  /// Turns until the condition holds. Only a pool that is wrong uses the limit up.
  bool TurnUntil(const std::function<bool()>& condition) {
    for (int round = 0; round < 5'000; ++round) {
      Turn();
      if (condition()) return true;
      std::this_thread::sleep_for(std::chrono::milliseconds(1));
    }
    return false;
  }

  /// Accepts the next connection, once the pool has opened it.
  Tcp::socket Accept() {
    cr_assert(TurnUntil([&] {
      pollfd source{acceptor.native_handle(), POLLIN, 0};
      return poll(&source, 1, 0) > 0;
    }));
    return acceptor.accept();
  }

  /// Takes a request off the connection, once the pool has sent it.
  void TakeRequest(Tcp::socket& connection) {
    cr_assert(TurnUntil([&] { return connection.available() > 0; }));
    std::string request;
    asio::read_until(connection, asio::dynamic_buffer(request), "\r\n\r\n");
  }

  /// The first call, answered with "first". @return its connection, which rests.
  Tcp::socket ServeFirst() {
    Start(std::chrono::seconds(5));
    Tcp::socket connection = Accept();
    TakeRequest(connection);
    Answer(connection, "first");
    cr_assert(TurnUntil([this] { return results.size() == 1; }));
    return connection;
  }

  static void Answer(Tcp::socket& connection, const std::string& body) {
    asio::write(connection, asio::buffer(AnswerOf(body)));
  }
};

}  // namespace graniteseam::event_http
