/// @file
/// The servers that have registered: the replicated part of membership.
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

/// The replicated state of one server.
struct ServerRecord {
  ServerId id;
  ServiceName service;
  std::string address;  ///< "ip:port" of its HTTP port.
  ZoneName zone;
  Incarnation incarnation;  ///< The only one that may hold grants.
  bool draining = false;    ///< Set by an operator; persists across restarts of the server.
  bool serving = false;     ///< Whether it may be granted leases; false after its lease expired.
  bool leaving = false;     ///< The server or the platform announced that it will stop.
  std::uint64_t changed_at = 0;  ///< Version (log index) of the record's last change.

  bool AcceptsNewWork() const { return serving && !draining && !leaving; }
  bool operator==(const ServerRecord&) const = default;
};
BOOST_DESCRIBE_STRUCT(ServerRecord, (),
                      (id, service, address, zone, incarnation, draining, serving, leaving,
                       changed_at))

/// A server that was removed.
struct RemovedServer {
  ServerId id;
  std::uint64_t version = 0;  ///< Version (log index) of the removal.

  bool operator==(const RemovedServer&) const = default;
};
BOOST_DESCRIBE_STRUCT(RemovedServer, (), (id, version))

/// Snapshot of a ServerRegistry.
struct ServerRegistryState {
  std::uint64_t version = 0;
  std::uint64_t removals_known_after = 0;
  std::vector<ServerRecord> servers;
  std::vector<RemovedServer> removed;
};
BOOST_DESCRIBE_STRUCT(ServerRegistryState, (), (version, removals_known_after, servers, removed))

/// Number of removals that a registry keeps.
inline constexpr std::size_t kRemovedMaximum = 1'000;

/// The registered servers by id. Each change carries the version (log index) of its log entry,
/// which never decreases. Deterministic; not thread safe.
class ServerRegistry {
 public:
  /// Adds a server, or replaces its record except for the `draining` flag. The server is then
  /// serving and not leaving.
  void Register(const ServerRecord& record, std::uint64_t version);

  /// Each setter changes one flag.
  /// @return whether the server is registered.
  bool SetDraining(const ServerId& server, bool draining, std::uint64_t version);
  bool SetLeaving(const ServerId& server, bool leaving, std::uint64_t version);
  bool SetServing(const ServerId& server, bool serving, std::uint64_t version);

  /// Removes a server. The removal is kept for RemovedSince() until kRemovedMaximum later ones.
  void Remove(const ServerId& server, std::uint64_t version);

  const ServerRecord* Find(const ServerId& server) const;
  const std::map<ServerId, ServerRecord>& servers() const { return servers_; }
  /// Version of the last change.
  std::uint64_t version() const { return version_; }
  /// The servers removed after `version` and not registered again, oldest first.
  std::vector<ServerId> RemovedSince(std::uint64_t version) const;
  /// A reader with an older version than this needs the whole list, since later removals may no
  /// longer be kept.
  std::uint64_t removals_known_after() const { return removals_known_after_; }

  ServerRegistryState State() const;
  void Restore(const ServerRegistryState& state);

 private:
  /// Sets one flag of a server. @return whether the server is registered.
  bool Set(const ServerId& server, bool ServerRecord::*flag, bool value, std::uint64_t version);

  std::map<ServerId, ServerRecord> servers_;
  std::uint64_t version_ = 0;
  std::deque<RemovedServer> removed_;  ///< Oldest first, kRemovedMaximum at most.
  std::uint64_t removals_known_after_ = 0;
};

}  // namespace graniteseam::membership
