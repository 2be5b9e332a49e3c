/// @file
/// Builds routing table updates for routers from the replicated state.
#pragma once

#include <cstdint>

#include "graniteseam/control/router_messages.h"
#include "src/control/replicated_state.h"

namespace graniteseam::control {

/// Converts a record to a routing table entry; the load hint is 0.
ServerEntry ToEntry(const membership::ServerRecord& record);
/// Converts a shard's ownership to a routing table entry.
ShardEntry ToEntry(const placement::ShardOwnership& shard);

/// The changes after version `base`; the whole table when `base` is 0, newer than the state, or so
/// old that records of later removals may have been discarded. The cost grows with the number of
/// changes and servers, and with the number of shards only for a whole table.
MapUpdate BuildMapUpdate(const ReplicatedState& state, std::uint64_t base);

}  // namespace graniteseam::control
