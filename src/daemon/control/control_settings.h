/// @file
/// Settings of graniteseam-control; docs/operations/settings.md explains each.
#pragma once

#include <optional>
#include <string>
#include <vector>

#include "graniteseam/consensus/types.h"
#include "graniteseam/control/control_node.h"
#include "src/http/tls.h"
#include "src/protocol/internal_security.h"
#include "src/runtime/settings.h"

namespace graniteseam::daemon {

struct ControlSettings {
  std::int64_t id = 0;
  std::string zone;
  std::string data_folder;
  runtime::SocketAddress peer_address;
  runtime::SocketAddress http_address;
  runtime::SocketAddress advertised_peer_address;  ///< Empty: peer_address.
  runtime::SocketAddress advertised_http_address;  ///< Empty: http_address.
  runtime::TextList bootstrap;                ///< "id@zone@ip:port" of the group's first voters.
  std::vector<runtime::SocketAddress> seeds;  ///< Internal addresses of some members.
  std::int64_t seed_port = 0;                 ///< In place of the listed ports; 0 leaves them.
  runtime::SocketAddress registry_address;    ///< Empty: instances can't register themselves.
  runtime::SocketAddress metrics_address;     ///< Empty: only at the other HTTP ports.
  std::int64_t descriptors_maximum = 4'096;   ///< That this process may have open.
  std::int64_t memory_mb = 256;               ///< That this process may take.
  bool initialise = false;
  std::int64_t voters = 3;
  /// Machines whose loss at once, disks included, the group must survive; 0 leaves it to `voters`.
  std::int64_t losses_tolerated = 0;
  /// Time from the start of a lost machine's replacement after which as many machines may be lost
  /// again.
  Duration replacement_time{18'000'000};
  std::vector<runtime::SocketAddress> platform;
  runtime::TextTable operators;
  runtime::TextTable reviewers;
  protocol::InternalSecurity security;
  http::TlsFiles operator_tls;
  http::TlsFiles server_tls;
  control::ControlOptions node;

  /// Its id: the one of the settings, or one drawn from the address where others reach it.
  ControlId EffectiveId() const;
  /// Where others reach its internal port.
  const runtime::SocketAddress& KnownPeerAddress() const;
  /// Where operators reach it.
  const runtime::SocketAddress& KnownHttpAddress() const;

  /// Of the traffic configuration. The process holds several copies of it at a time: the state,
  /// its snapshot, log entries, and what is being encoded.
  std::size_t ConfigurationBytes() const;

  /// Voters that self_repair keeps: as many as it takes for the losses that are to be survived.
  std::size_t WantedVoters() const;

  /// Silence after which self_repair replaces a voter: a third of the replacement time. The rest is
  /// for the loss of a leader meanwhile, as the next one counts the silence anew, for its election,
  /// and for the copy of the log.
  /// Not less than two of the longest election timeouts, nor than the time within which a member
  /// counts as reachable, or voters would be replaced that are not lost.
  Duration ReplaceAfter() const;

  /// Of instances and operators at once: what is left belongs to peers, routers, owners of keys and
  /// files.
  std::size_t RegistryConnections() const;

  std::vector<consensus::Member> first_voters;  ///< Read from `bootstrap`; disks 0.
};

/// Declares all settings with their checks. `settings` must stay valid until the reader is gone.
void DeclareControlSettings(runtime::SettingsReader& reader, ControlSettings& settings);

/// The id of a control process that is known by its internal address alone.
ControlId IdOfAddress(const runtime::SocketAddress& address);

/// Reads "id@zone@ip:port".
/// @return kInvalidArgument when it has another form.
Result<consensus::Member> ParseFirstVoter(const std::string& text);

}  // namespace graniteseam::daemon
