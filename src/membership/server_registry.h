/// @file
/// The servers that ever answered: the replicated part of membership.
#pragma once

#include <boost/describe/class.hpp>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <string>
#include <vector>

#include "graniteseam/common/ids.h"

namespace graniteseam::membership {

/// One server as the log knows it.
struct ServerRecord {
  ServerId id;
  ServiceName service;
  std::string address;  ///< "ip:port" of its HTTP port.
  ZoneName zone;
  Incarnation incarnation;  ///< The only one that may be granted anything.
  bool draining = false;    ///< An operator's word; outlives restarts of the server.
  bool serving = false;     ///< Whether it may be granted leases; false once its lease ran out.
  bool leaving = false;     ///< The server or the platform said that it is about to stop.
  std::uint64_t changed_at = 0;  ///< Version (log index) of the last change of this record.

  bool AcceptsNewWork() const { return serving && !draining && !leaving; }
  bool operator==(const ServerRecord&) const = default;
};
BOOST_DESCRIBE_STRUCT(ServerRecord, (),
                      (id, service, address, zone, incarnation, draining, serving, leaving,
                       changed_at))

/// A server that was forgotten.
struct RemovedServer {
  ServerId id;
  std::uint64_t version = 0;

  bool operator==(const RemovedServer&) const = default;
};
BOOST_DESCRIBE_STRUCT(RemovedServer, (), (id, version))

/// A registry's whole state, for snapshots.
struct ServerRegistryState {
  std::uint64_t version = 0;
  std::uint64_t removals_known_after = 0;
  std::vector<ServerRecord> servers;
  std::vector<RemovedServer> removed;
};
BOOST_DESCRIBE_STRUCT(ServerRegistryState, (), (version, removals_known_after, servers, removed))

/// Removals that a registry remembers.
inline constexpr std::size_t kRemovedMaximum = 1'000;

/// The registered servers by id. Each change carries the version (log index) that made it, which
/// never goes back. Deterministic; not thread safe.
class ServerRegistry {
 public:
  /// Adds a server, or replaces what is known of it except for an operator's drain. It serves and
  /// is not leaving.
  void Register(const ServerRecord& record, std::uint64_t version);

  /// @return whether the server is known.
  bool SetDraining(const ServerId& server, bool draining, std::uint64_t version);
  bool SetLeaving(const ServerId& server, bool leaving, std::uint64_t version);
  bool SetServing(const ServerId& server, bool serving, std::uint64_t version);

  /// Forgets a server; its name stays known as removed for a while.
  void Remove(const ServerId& server, std::uint64_t version);

  const ServerRecord* Find(const ServerId& server) const;
  const std::map<ServerId, ServerRecord>& servers() const { return servers_; }
  /// The version of the latest change.
  std::uint64_t version() const { return version_; }
  /// The servers removed after `version` and not registered again, oldest first.
  std::vector<ServerId> RemovedSince(std::uint64_t version) const;
  /// A reader that saw an older version than this needs the whole list: removals after it may have
  /// been forgotten.
  std::uint64_t removals_known_after() const { return removals_known_after_; }

  ServerRegistryState State() const;
  void Restore(const ServerRegistryState& state);

 private:
  /// Sets one flag of a known server.
  bool Set(const ServerId& server, bool ServerRecord::*flag, bool value, std::uint64_t version);

  std::map<ServerId, ServerRecord> servers_;
  std::uint64_t version_ = 0;
  std::deque<RemovedServer> removed_;  ///< Oldest first, kRemovedMaximum at most.
  std::uint64_t removals_known_after_ = 0;
};

}  // namespace graniteseam::membership
