/// @file
/// Sends messages to control peers, over one dialled connection per peer.
#pragma once

#include <memory>
#include <string>

#include "graniteseam/common/error.h"
#include "graniteseam/consensus/types.h"
#include "src/protocol/hello.h"
#include "src/protocol/internal_security.h"
#include "src/runtime/event_loop.h"
#include "src/runtime/metrics.h"

namespace graniteseam::protocol {

/// Settings of the peer transport.
struct PeerTransportOptions {
  std::string name;        ///< This process's id.
  ServedAddresses served;  ///< External addresses of this process; peers pass them on.
  InternalSecurity security;
};

/// Best-effort delivery, as consensus expects: a message is dropped when its peer is not connected
/// or its queue is full, and never delivered twice or out of order within one connection.
///
/// Lifecycle: Load() once before the first Send(); stop the event loop before destruction. Send()
/// is thread safe. The connection to a peer without sends for one minute, as after its removal, is
/// closed.
class PeerTransport {
 public:
  PeerTransport(const PeerTransportOptions& options, runtime::EventLoop& loop,
                runtime::MetricsRegistry& metrics);
  ~PeerTransport();
  PeerTransport(const PeerTransport&) = delete;
  PeerTransport& operator=(const PeerTransport&) = delete;

  /// Reads the secret file.
  /// @return kInvalidSettings when it is invalid.
  Result<void> Load();

  /// Dials a peer ahead of the first send: messages sent before the connection is ready are
  /// dropped, and a dropped first vote request costs a whole election timeout.
  void Connect(const std::string& address);

  /// Sends to `message.to.address`; dials it first if there is no connection yet.
  void Send(consensus::PeerMessage message);

 private:
  class Impl;
  std::shared_ptr<Impl> impl_;
};

}  // namespace graniteseam::protocol
