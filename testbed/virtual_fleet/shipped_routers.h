/// @file
/// Routers in virtual time that run the shipped decision maker, graniteseam::routing::RouterNode.
#pragma once

#include <memory>
#include <vector>

#include "testbed/virtual_fleet/pool_fleet.h"
#include "testbed/virtual_fleet/virtual_router.h"

namespace graniteseam::testbed {

/// Makes the routers of a fleet and the control side that they share.
std::vector<std::unique_ptr<VirtualRouter>> MakeShippedRouters(EventQueue& events,
                                                               VirtualPool& pool,
                                                               const PoolFleetSettings& settings);

}  // namespace graniteseam::testbed
