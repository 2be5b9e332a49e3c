/// @file
/// A control process's internal port: takes connections of control peers and of routers.
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

struct InternalServerOptions {
  runtime::SocketAddress address;
  std::string name;  ///< This process's id, for logs at the other side.
  InternalSecurity security;
  /// Connections beyond this are closed at once: bounds memory and descriptors.
  std::size_t connections_maximum = 4'096;
  ConnectionLimits limits;
};

/// Names a router's connection as long as the process runs.
using RouterConnectionId = std::uint64_t;

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
  /// @return kInvalidSettings when the address can not be listened on or the secret file is wrong.
  Result<void> Start();

  /// The port listened on, also when the settings named port 0.
  std::uint16_t port() const;

  /// Sends to one router. A connection whose queue is full is closed: the router comes back and
  /// asks for what it lacks.
  void SendToRouter(RouterConnectionId connection, control::ControlToRouter message) {
    SendToRouter(connection, std::make_shared<const control::ControlToRouter>(std::move(message)));
  }
  /// A message that goes to several routers in a row is encoded once.
  void SendToRouter(RouterConnectionId connection,
                    std::shared_ptr<const control::ControlToRouter> message);

  /// Calls back, on the event loop's thread, once what was sent to routers before was handed to
  /// their connections.
  void AfterSent(std::function<void()> callback);

  /// Stops taking connections and closes those of routers, so that they turn to another process.
  void Disconnect();

 private:
  /// On the encoder's thread only.
  /// @return the frame.
  std::shared_ptr<const std::string> EncodeOnce(
      const std::shared_ptr<const control::ControlToRouter>& message);

  class Impl;
  std::shared_ptr<Impl> impl_;
  /// Encodes for routers: a whole map of a large fleet takes so long that peers' heartbeats must
  /// not wait for it on the connections' thread.
  runtime::EventLoop encoder_;
  // The shared message that was encoded last, on the encoder's thread only.
  std::shared_ptr<const control::ControlToRouter> encoded_message_;
  std::shared_ptr<const std::string> encoded_;
};

}  // namespace graniteseam::protocol
