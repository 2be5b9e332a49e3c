/// @file
/// Sends messages to control peers, over one dialled connection a peer.
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

struct PeerTransportOptions {
  std::string name;        ///< This process's id.
  ServedAddresses served;  ///< Where this process is reached; peers pass it on.
  InternalSecurity security;
};

/// Best effort, as consensus expects: a message is dropped when its peer is not connected or its
/// queue is full, and never delivered twice or out of order within one connection.
///
/// Lifecycle: Load() once before the first Send(); stop the event loop before destruction. Send()
/// is thread safe. A peer that is not sent to for a minute, as after its removal, is hung up on.
class PeerTransport {
 public:
  PeerTransport(const PeerTransportOptions& options, runtime::EventLoop& loop,
                runtime::MetricsRegistry& metrics);
  ~PeerTransport();
  PeerTransport(const PeerTransport&) = delete;
  PeerTransport& operator=(const PeerTransport&) = delete;

  /// Reads the secret file.
  /// @return kInvalidSettings when it is wrong.
  Result<void> Load();

  /// Dials a peer that will be sent to: what is sent before its connection stands is dropped, and a
  /// first vote request that is dropped costs a whole election timeout.
  void Connect(const std::string& address);

  /// Sends to `message.to.address`; dials it when this is the first message to it.
  void Send(consensus::PeerMessage message);

 private:
  class Impl;
  std::shared_ptr<Impl> impl_;
};

}  // namespace graniteseam::protocol
