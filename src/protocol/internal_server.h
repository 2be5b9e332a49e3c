/// @file
/// A control process's internal port: accepts connections from control peers and routers.
#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <string>

#include "graniteseam/common/error.h"
#include "graniteseam/consensus/types.h"
#include "graniteseam/control/router_messages.h"
#include "src/protocol/connection_limits.h"
#include "src/protocol/hello.h"
#include "src/protocol/internal_security.h"
#include "src/runtime/event_loop.h"
#include "src/runtime/metrics.h"
#include "src/runtime/socket_address.h"

namespace graniteseam::protocol {

/// Settings of the internal port.
struct InternalServerOptions {
  runtime::SocketAddress address;
  std::string name;  ///< This process's id, for the peer's logs.
  InternalSecurity security;
  /// Further connections are closed at once; bounds memory and file descriptors.
  std::size_t connections_maximum = 4'096;
  ConnectionLimits limits;
};

/// Identifies a router's connection; unique within one run of the process.
using RouterConnectionId = std::uint64_t;

/// Accepts connections and exchanges messages with peers and routers.
///
/// Lifecycle: Start() once; stop the event loop before destruction. SendToRouter() and Disconnect()
/// are thread safe; handlers run on the event loop's thread.
class InternalServer {
 public:
  struct Handlers {
    std::function<void(const std::string& name, const ServedAddresses& served)> on_peer_connected;
    std::function<void(consensus::PeerMessage message)> on_peer_message;
    std::function<void(RouterConnectionId connection, control::RouterToControl message)>
        on_router_message;
    std::function<void(RouterConnectionId connection)> on_router_disconnected;
  };

  InternalServer(InternalServerOptions options, runtime::EventLoop& loop,
                 runtime::MetricsRegistry& metrics, Handlers handlers);
  ~InternalServer();
  InternalServer(const InternalServer&) = delete;
  InternalServer& operator=(const InternalServer&) = delete;

  /// Opens the port.
  /// @return kInvalidSettings when listening on the address fails or the secret file is invalid.
  Result<void> Start();

  /// The port in use, also when the settings specify port 0.
  std::uint16_t port() const;

  /// Sends to one router. A connection whose queue is full is closed; the router reconnects and
  /// requests the missing state.
  void SendToRouter(RouterConnectionId connection, control::ControlToRouter message) {
    SendToRouter(connection, std::make_shared<const control::ControlToRouter>(std::move(message)));
  }
  /// Encodes a message that is sent to several routers in succession only once.
  void SendToRouter(RouterConnectionId connection,
                    std::shared_ptr<const control::ControlToRouter> message);

  /// Calls `callback` on the event loop's thread once all earlier messages to routers have been
  /// passed to their connections.
  void AfterSent(std::function<void()> callback);

  /// Stops accepting connections and closes all open ones, so that routers switch to another
  /// process.
  void Disconnect();

 private:
  /// Runs on the encoder's thread only.
  /// @return the frame.
  std::shared_ptr<const std::string> EncodeOnce(
      const std::shared_ptr<const control::ControlToRouter>& message);

  class Impl;
  std::shared_ptr<Impl> impl_;
  /// Thread that encodes messages to routers: encoding the whole map of a large fleet takes so long
  /// that it would delay the peers' heartbeats on the connections' thread.
  runtime::EventLoop encoder_;
  // The last shared message and its frame; accessed on the encoder's thread only.
  std::shared_ptr<const control::ControlToRouter> encoded_message_;
  std::shared_ptr<const std::string> encoded_;
};

}  // namespace graniteseam::protocol
