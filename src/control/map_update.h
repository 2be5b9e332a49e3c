/// @file
/// Builds the routing table's changes for routers from the replicated state.
#pragma once

#include <cstdint>

#include "graniteseam/control/router_messages.h"
#include "src/control/replicated_state.h"

namespace graniteseam::control {

ServerEntry ToEntry(const membership::ServerRecord& record);
ShardEntry ToEntry(const placement::ShardOwnership& shard);

/// What changed after version `base`; the whole table when `base` is 0, newer than the state, or
/// so old that a removal after it may have been forgotten. Work grows with the changes and the
/// servers, and with the shards only for a whole table.
MapUpdate BuildMapUpdate(const ReplicatedState& state, std::uint64_t base);

}  // namespace graniteseam::control
