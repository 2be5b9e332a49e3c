#include "src/membership/server_registry.h"

namespace graniteseam::membership {

void ServerRegistry::Register(const ServerRecord& record, std::uint64_t version) {
  const auto known = servers_.find(record.id);
  const bool draining = known != servers_.end() && known->second.draining;
  auto& entry = servers_[record.id];
  entry = record;
  entry.draining = draining;
  entry.serving = true;
  entry.leaving = false;
  entry.changed_at = version;
  version_ = version;
}

bool ServerRegistry::Set(const ServerId& server, bool ServerRecord::*flag, bool value,
                         std::uint64_t version) {
  const auto known = servers_.find(server);
  if (known == servers_.end()) return false;
  if (known->second.*flag == value) return true;
  known->second.*flag = value;
  known->second.changed_at = version;
  version_ = version;
  return true;
}

bool ServerRegistry::SetDraining(const ServerId& server, bool draining, std::uint64_t version) {
  return Set(server, &ServerRecord::draining, draining, version);
}

bool ServerRegistry::SetLeaving(const ServerId& server, bool leaving, std::uint64_t version) {
  return Set(server, &ServerRecord::leaving, leaving, version);
}

bool ServerRegistry::SetServing(const ServerId& server, bool serving, std::uint64_t version) {
  return Set(server, &ServerRecord::serving, serving, version);
}

void ServerRegistry::Remove(const ServerId& server, std::uint64_t version) {
  if (servers_.erase(server) == 0) return;
  removed_at_ = version;
  version_ = version;
}

const ServerRecord* ServerRegistry::Find(const ServerId& server) const {
  const auto known = servers_.find(server);
  return known == servers_.end() ? nullptr : &known->second;
}

ServerRegistryState ServerRegistry::State() const {
  ServerRegistryState state;
  state.version = version_;
  state.removed_at = removed_at_;
  state.servers.reserve(servers_.size());
  for (const auto& [id, record] : servers_) state.servers.push_back(record);
  return state;
}

void ServerRegistry::Restore(const ServerRegistryState& state) {
  servers_.clear();
  version_ = state.version;
  removed_at_ = state.removed_at;
  for (const auto& record : state.servers) servers_[record.id] = record;
}

}  // namespace graniteseam::membership
