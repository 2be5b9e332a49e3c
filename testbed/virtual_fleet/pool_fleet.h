/// @file
/// A pooled service with its routers and callers in virtual time, either way.
#pragma once

#include <memory>
#include <vector>

#include "testbed/measurement/experiment.h"
#include "testbed/virtual_fleet/load_generator.h"
#include "testbed/virtual_fleet/virtual_pool.h"
#include "testbed/virtual_fleet/virtual_router.h"

namespace graniteseam::testbed {

struct PoolFleetSettings {
  PoolSettings pool;
  std::uint32_t routers = 3;
  Duration deadline{2'000'000};
  /// Groups that may call the service, each with the same share.
  std::vector<GroupName> groups;
  Way way = Way::kShipped;
  std::uint64_t seed = 1;
};

/// The settings of an experiment's run, as yet without groups.
/// @param own_servers how many servers the experiment takes by default.
auto pool_fleet_settings(RunOptions const& options, Way way, std::uint32_t own_servers)
    -> PoolFleetSettings;

/// Not thread safe, not movable: its parts refer to each other.
class PoolFleet {
 public:
  explicit PoolFleet(const PoolFleetSettings& settings);
  ~PoolFleet();
  PoolFleet(const PoolFleet&) = delete;
  PoolFleet& operator=(const PoolFleet&) = delete;

  EventQueue& events() { return events_; }
  VirtualPool& pool() { return pool_; }
  LoadGenerator& load() { return *load_; }
  void Run(Duration length) { events_.RunUntil(events_.now() + length); }

 private:
  std::vector<VirtualRouter*> RouterPointers() const;

  EventQueue events_;
  VirtualPool pool_;
  std::vector<std::unique_ptr<VirtualRouter>> routers_;
  std::unique_ptr<LoadGenerator> load_;
};

}  // namespace graniteseam::testbed
