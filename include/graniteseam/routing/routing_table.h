/// @file
/// The router's copy of the shard map and of the server list.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "graniteseam/common/ids.h"
#include "graniteseam/control/router_messages.h"

namespace graniteseam::routing {

/// The shard that contains a key: XXH3 of the key's bytes modulo the shard count.
/// @param shard_count greater than 0.
std::uint32_t ShardOfKey(std::string_view key, std::uint32_t shard_count);

/// One shard's state and owner in the router's copy of the map.
struct Route {
  control::ShardState state = control::ShardState::kUnassigned;
  ServerId owner;
  Epoch epoch;
};

/// Holds the newest shard map received from control.
///
/// Invariant: the version never goes down, and a change is applied only onto the version that it
/// was made for; a shard's epoch never goes down within one whole table. The copy may be stale:
/// servers check epochs themselves. Not thread safe.
class RoutingTable {
 public:
  /// Result of Apply().
  enum class Applied {
    kYes,
    kOld,  ///< Older than the held version or made for an older base; nothing changed.
    kGap,  ///< Made for another base version; request a change from the held version.
  };

  /// Applies a change, or replaces the whole table when the base version is 0.
  Applied Apply(const control::MapUpdate& update);

  std::uint64_t version() const { return version_; }

  /// Returns the shard's route; unassigned when the map does not contain it.
  const Route& Find(const ServiceName& service, std::uint32_t shard) const;
  /// Returns the server, or nullptr.
  const control::ServerEntry* FindServer(const ServerId& server) const;
  /// The servers of a service in ascending order of id.
  std::vector<const control::ServerEntry*> ServersOf(const ServiceName& service) const;
  std::size_t shard_count() const;

 private:
  std::uint64_t version_ = 0;
  std::unordered_map<ServiceName, std::vector<Route>> routes_;
  std::map<ServerId, control::ServerEntry> servers_;
};

}  // namespace graniteseam::routing
