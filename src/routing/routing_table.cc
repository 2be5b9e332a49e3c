#include "graniteseam/routing/routing_table.h"

#include <xxhash.h>

namespace graniteseam::routing {

std::uint32_t ShardOfKey(std::string_view key, std::uint32_t shard_count) {
  return static_cast<std::uint32_t>(XXH3_64bits(key.data(), key.size()) % shard_count);
}

RoutingTable::Applied RoutingTable::Apply(const control::MapUpdate& update) {
  if (update.version < version_) return Applied::kOld;
  const bool whole = update.base_version == 0;
  if (whole && update.version == version_ && version_ != 0) return Applied::kOld;
  if (!whole && update.base_version != version_) {
    return update.base_version < version_ ? Applied::kOld : Applied::kGap;
  }
  if (whole) {
    routes_.clear();
    servers_.clear();
  }
  for (const ServerId& removed : update.removed_servers) servers_.erase(removed);
  for (const control::ServerEntry& server : update.servers) servers_[server.id] = server;
  for (const control::ShardEntry& entry : update.shards) {
    std::vector<Route>& routes = routes_[entry.shard.service];
    if (routes.size() <= entry.shard.index) routes.resize(entry.shard.index + 1);
    routes[entry.shard.index] = {entry.state, entry.owner, entry.epoch};
  }
  version_ = update.version;
  return Applied::kYes;
}

const Route& RoutingTable::Find(const ServiceName& service, std::uint32_t shard) const {
  static const Route none;
  const auto found = routes_.find(service);
  if (found == routes_.end() || shard >= found->second.size()) return none;
  return found->second[shard];
}

const control::ServerEntry* RoutingTable::FindServer(const ServerId& server) const {
  const auto found = servers_.find(server);
  return found == servers_.end() ? nullptr : &found->second;
}

std::vector<const control::ServerEntry*> RoutingTable::ServersOf(const ServiceName& service) const {
  std::vector<const control::ServerEntry*> servers;
  for (const auto& [id, entry] : servers_) {
    if (entry.service == service) servers.push_back(&entry);
  }
  return servers;
}

std::size_t RoutingTable::shard_count() const {
  std::size_t count = 0;
  for (const auto& [service, routes] : routes_) count += routes.size();
  return count;
}

}  // namespace graniteseam::routing
