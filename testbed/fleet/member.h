/// @file
/// One member of a fleet: a process with its zone, addresses and command.
#pragma once

#include <map>
#include <optional>
#include <string>
#include <vector>

#include "src/runtime/socket_address.h"
#include "testbed/fleet/child_process.h"
#include "testbed/fleet/link_layer.h"
#include "testbed/fleet/reserved_port.h"

namespace graniteseam::testbed {

enum class Role { kPlatform, kControl, kRouter, kServer, kCaller };

struct Member {
  std::string name;  ///< For example "control-1", "router-zone-2-1", "transcripts-3".
  Role role = Role::kServer;
  std::string zone;
  std::string ip;                   ///< Its own address, 127.0.<zone>.<number>.
  std::string service;              ///< Servers only.
  std::vector<ReservedPort> ports;  ///< The first is that of HTTP; control's second is for peers.
  std::string data_folder;          ///< Control only.
  std::uint64_t control_id = 0;     ///< Control only.
  Command command;
  std::optional<ChildProcess> process;
  bool relayed = false;  ///< Others reach it through the link layer.
  bool listed = false;   ///< On the platform's list.
  bool leaving = false;  ///< Marked there as leaving.

  const runtime::SocketAddress& http_address() const { return ports.at(0).address(); }
  const runtime::SocketAddress& peer_address() const { return ports.at(1).address(); }
  /// Where others reach what listens on `listened`.
  runtime::SocketAddress KnownAddress(const runtime::SocketAddress& listened) const {
    if (!relayed) return listened;
    return {LinkLayer::RelayIp(listened.ip), listened.port};
  }
  bool Running() { return process && process->Running(); }
};

/// All members by name.
using Members = std::map<std::string, Member>;

}  // namespace graniteseam::testbed
