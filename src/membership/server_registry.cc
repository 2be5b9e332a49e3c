#include "src/membership/server_registry.h"

namespace graniteseam::membership {

void ServerRegistry::Register(const ServerRecord& record) {
  const auto known = servers_.find(record.id);
  const bool draining = known != servers_.end() && known->second.draining;
  auto& entry = servers_[record.id];
  entry = record;
  entry.draining = draining;
}

bool ServerRegistry::SetDraining(const ServerId& server, bool draining) {
  const auto known = servers_.find(server);
  if (known == servers_.end()) return false;
  known->second.draining = draining;
  return true;
}

void ServerRegistry::Remove(const ServerId& server, std::uint64_t version) {
  if (servers_.erase(server) > 0) removed_at_ = version;
}

const ServerRecord* ServerRegistry::Find(const ServerId& server) const {
  const auto known = servers_.find(server);
  return known == servers_.end() ? nullptr : &known->second;
}

ServerRegistryState ServerRegistry::State() const {
  ServerRegistryState state;
  state.removed_at = removed_at_;
  state.servers.reserve(servers_.size());
  for (const auto& [id, record] : servers_) state.servers.push_back(record);
  return state;
}

void ServerRegistry::Restore(const ServerRegistryState& state) {
  servers_.clear();
  removed_at_ = state.removed_at;
  for (const auto& record : state.servers) servers_[record.id] = record;
}

}  // namespace graniteseam::membership
