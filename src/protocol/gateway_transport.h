/// @file
/// Connections between gateways, over which they exchange messages of coordinated admission.
#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

#include "graniteseam/common/error.h"
#include "src/protocol/internal_security.h"
#include "src/runtime/event_loop.h"
#include "src/runtime/metrics.h"
#include "src/runtime/socket_address.h"

namespace graniteseam::protocol {

struct GatewayTransportOptions {
  runtime::SocketAddress address;  ///< To listen on.
  std::string name;                ///< This gateway's id.
  InternalSecurity security;
};

/// Best-effort delivery: a message is dropped when its peer can't be reached, and never delivered
/// twice or out of order within one connection. Answers travel on the connection of the message
/// that they answer, so that two gateways need one connection in each direction of asking.
///
/// A connection that no longer transports data is not detected here: whoever asks notices that
/// answers stay away, and calls Reset(). Hundreds of connections with keep-alives of their own
/// would cost a small machine more than the messages do.
///
/// Lifecycle: Start() once; destroyed after its event loop stopped. Everything else runs on the
/// event loop's thread.
class GatewayTransport {
 public:
  /// @param from where to send answers.
  /// @return an error to refuse the message and close its connection.
  using Handler =
      std::function<std::optional<Error>(const std::string& from, const std::string& payload)>;

  GatewayTransport(GatewayTransportOptions options, runtime::EventLoop& loop,
                   runtime::MetricsRegistry& metrics, Handler handler);
  ~GatewayTransport();
  GatewayTransport(const GatewayTransport&) = delete;
  GatewayTransport& operator=(const GatewayTransport&) = delete;

  /// @return kInvalidSettings when listening on the address fails or the secret file is invalid.
  Result<void> Start();
  std::uint16_t port() const;

  /// Sends a message; dials the peer first if there is no connection yet.
  /// @param address "ip:port" of a gateway, or what a Handler got as `from`.
  void Send(const std::string& address, std::string_view payload);
  /// Closes the connection to a peer that leaves messages unanswered; the next message dials it
  /// again.
  void Reset(const std::string& address);

  class Impl;  ///< Known to the implementation only.

 private:
  std::shared_ptr<Impl> impl_;
};

}  // namespace graniteseam::protocol
