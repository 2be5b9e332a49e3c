#include "testbed/virtual_fleet/pool_fleet.h"

#include "testbed/virtual_fleet/shipped_routers.h"

namespace graniteseam::testbed {

auto pool_fleet_settings(RunOptions const& options, Way way, std::uint32_t own_servers)
    -> PoolFleetSettings {
  PoolFleetSettings settings;
  settings.pool.servers = options.nodes == 0 ? own_servers : options.nodes;
  settings.way = way;
  settings.seed = options.seed;
  return settings;
}

PoolFleet::PoolFleet(const PoolFleetSettings& settings)
    : pool_(events_, settings.pool, settings.seed) {
  if (settings.way == Way::kShipped) {
    routers_ = MakeShippedRouters(events_, pool_, settings);
  } else {
    for (std::uint32_t index = 0; index < settings.routers; ++index) {
      routers_.push_back(
          std::make_unique<SimpleRouter>(events_, pool_, settings.seed + 1'000 + index));
    }
  }
  load_ = std::make_unique<LoadGenerator>(events_, RouterPointers(), settings.deadline,
                                          settings.seed + 2'000);
}

PoolFleet::~PoolFleet() = default;

std::vector<VirtualRouter*> PoolFleet::RouterPointers() const {
  std::vector<VirtualRouter*> pointers;
  pointers.reserve(routers_.size());
  for (const auto& router : routers_) pointers.push_back(router.get());
  return pointers;
}

}  // namespace graniteseam::testbed
