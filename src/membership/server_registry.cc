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
  version_ = version;
  removed_.push_back({server, version});
  if (removed_.size() <= kRemovedMaximum) return;
  removals_known_after_ = removed_.front().version;
  removed_.pop_front();
}

std::vector<ServerId> ServerRegistry::RemovedSince(std::uint64_t version) const {
  std::vector<ServerId> removed;
  for (const auto& entry : removed_) {
    if (entry.version > version && !servers_.contains(entry.id)) removed.push_back(entry.id);
  }
  return removed;
}

const ServerRecord* ServerRegistry::Find(const ServerId& server) const {
  const auto known = servers_.find(server);
  return known == servers_.end() ? nullptr : &known->second;
}

ServerRegistryState ServerRegistry::State() const {
  ServerRegistryState state;
  state.version = version_;
  state.removals_known_after = removals_known_after_;
  state.removed.assign(removed_.begin(), removed_.end());
  state.servers.reserve(servers_.size());
  for (const auto& [id, record] : servers_) state.servers.push_back(record);
  return state;
}

void ServerRegistry::Restore(const ServerRegistryState& state) {
  servers_.clear();
  version_ = state.version;
  removals_known_after_ = state.removals_known_after;
  removed_.assign(state.removed.begin(), state.removed.end());
  for (const auto& record : state.servers) servers_[record.id] = record;
}

}  // namespace graniteseam::membership
