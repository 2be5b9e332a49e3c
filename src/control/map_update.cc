#include "src/control/map_update.h"

namespace graniteseam::control {

ServerEntry ToEntry(const membership::ServerRecord& record) {
  return {record.id, record.service, record.address, record.zone, record.AcceptsNewWork(), 0.0};
}

ShardEntry ToEntry(const placement::ShardOwnership& shard) {
  ShardEntry entry;
  entry.shard = shard.shard;
  entry.owner = shard.owner;
  entry.epoch = shard.epoch;
  switch (shard.state) {
    case placement::OwnershipState::kUnassigned:
      entry.state = ShardState::kUnassigned;
      break;
    case placement::OwnershipState::kAssigned:
      entry.state = ShardState::kAssigned;
      break;
    case placement::OwnershipState::kMoving:
      entry.state = ShardState::kMoving;
      break;
  }
  return entry;
}

MapUpdate BuildMapUpdate(const ReplicatedState& state, std::uint64_t base) {
  MapUpdate update;
  update.version = state.map_version();
  const bool whole =
      base == 0 || base > update.version || base < state.servers().removals_known_after();
  update.base_version = whole ? 0 : base;
  for (const auto& [id, record] : state.servers().servers()) {
    if (update.base_version == 0 || record.changed_at > base) {
      update.servers.push_back(ToEntry(record));
    }
  }
  if (!whole) update.removed_servers = state.servers().RemovedSince(base);
  for (const auto& shard : state.shards().ChangesSince(update.base_version)) {
    update.shards.push_back(ToEntry(shard));
  }
  return update;
}

}  // namespace graniteseam::control
