/// @file
/// The servers that ever answered: the replicated part of membership.
#pragma once

#include <boost/describe/class.hpp>
#include <cstdint>
#include <map>
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

/// A registry's whole state, for snapshots.
struct ServerRegistryState {
  std::uint64_t version = 0;
  std::uint64_t removed_at = 0;
  std::vector<ServerRecord> servers;
};
BOOST_DESCRIBE_STRUCT(ServerRegistryState, (), (version, removed_at, servers))

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

  /// Forgets a server. @param version the log index, kept as removed_at().
  void Remove(const ServerId& server, std::uint64_t version);

  const ServerRecord* Find(const ServerId& server) const;
  const std::map<ServerId, ServerRecord>& servers() const { return servers_; }
  /// The version of the latest change.
  std::uint64_t version() const { return version_; }
  /// The version of the latest removal: a reader that saw an older one needs the whole list.
  std::uint64_t removed_at() const { return removed_at_; }

  ServerRegistryState State() const;
  void Restore(const ServerRegistryState& state);

 private:
  /// Sets one flag of a known server.
  bool Set(const ServerId& server, bool ServerRecord::*flag, bool value, std::uint64_t version);

  std::map<ServerId, ServerRecord> servers_;
  std::uint64_t version_ = 0;
  std::uint64_t removed_at_ = 0;
};

}  // namespace graniteseam::membership
