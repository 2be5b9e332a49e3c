/// @file
/// Maintains one connection to one address and redials with exponential, jittered back-off.
#pragma once

#include <functional>
#include <memory>
#include <random>
#include <string>

#include "src/protocol/connection.h"
#include "src/runtime/socket_address.h"

namespace graniteseam::protocol {

/// Maintains a connection to one address.
///
/// Lifecycle: Start() once, Stop() before the last reference is released. All calls and handlers
/// run on the event loop's thread. Keeps itself alive while an operation is pending.
class Dialer : public std::enable_shared_from_this<Dialer> {
 public:
  struct Handlers {
    std::function<void()> on_connected;
    /// @return an error to refuse the message and close.
    std::function<std::optional<Error>(std::string payload)> on_message;
    std::function<void()> on_disconnected;
  };

  Dialer(boost::asio::io_context& context, runtime::SocketAddress address, Hello own_hello,
         InternalTls& tls, ConnectionMetrics& metrics, Handlers handlers);

  void Start();
  void Stop();

  /// @return false when there is no connection or its queue is full.
  bool Send(std::string_view payload);

  bool connected() const { return connection_ != nullptr && connection_->ready(); }
  /// The newest protocol version that the peer speaks; 0 before the first connection.
  std::int32_t peer_version() const { return peer_version_; }
  const runtime::SocketAddress& address() const { return address_; }

 private:
  void Dial();
  void OnDialled(boost::system::error_code error);
  void Run(Connection::Socket socket);
  void OnClosed(const Error& reason);
  void ScheduleDial(const std::string& reason);
  void ScheduleLivenessCheck();

  boost::asio::io_context& context_;
  runtime::SocketAddress address_;
  Hello own_hello_;
  InternalTls& tls_;
  ConnectionMetrics& metrics_;
  Handlers handlers_;
  Connection::Socket socket_;
  boost::asio::steady_timer timer_;  ///< For dialling, redialling and liveness checks.
  std::shared_ptr<Connection> connection_;
  std::chrono::milliseconds delay_;
  std::chrono::milliseconds handshake_time_;  ///< Handshake timeout of the next connection.
  std::minstd_rand jitter_;
  bool was_ready_ = false;
  std::int32_t peer_version_ = 0;
  bool stopped_ = false;
  std::string last_reason_;  ///< Logged once until it changes or a connection becomes ready.
};

}  // namespace graniteseam::protocol
