/// @file
/// A real control group with a few real servers, routers and callers, and many hollow ones.
#pragma once

#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "src/runtime/log.h"
#include "testbed/fleet/running_fleet.h"
#include "testbed/fleet_session/hollow_process.h"
#include "testbed/fleet_session/process_cost.h"
#include "testbed/fleet_session/request_view.h"
#include "testbed/measurement/experiment.h"

namespace graniteseam::testbed {

struct ScaleSize {
  std::uint32_t servers = 50;
  std::uint32_t shards = 4'000;
  std::uint32_t routers = 12;
};

/// What the parts have used so far; differences of two give what a span cost.
struct ScaleCost {
  std::int64_t at_us = 0;
  ProcessCost leader;
  double followers_processor_s = 0;  ///< Of all other control processes together.
  ProcessCost servers;               ///< Of all hollow servers together; the same for routers.
  ProcessCost routers;
  double server_bytes = 0;
  double router_bytes = 0;
  std::uint64_t lapses = 0;  ///< Leases of hollow servers that ended without a renewal.
};

/// A killed server and the shards that it held.
struct ScaleLoss {
  std::int64_t at_us = 0;
  std::set<std::uint32_t> shards;
};

struct ScaleGrant {
  std::int64_t at_us = 0;
  std::uint32_t shard = 0;
  std::string server;
};

/// What hollow nodes noted down.
struct ScaleEvents {
  std::vector<ScaleGrant> grants;  ///< Those of one server are in the order of their times.
  /// Time and version, by router.
  std::map<std::string, std::vector<std::pair<std::int64_t, std::uint64_t>>> versions;
  std::map<std::uint64_t, std::int64_t> last_first_messages;  ///< Of each term: when the last
                                                              ///< server heard of it first.
};

/// Lifecycle: Start(); all processes end with the object. Not thread safe.
class ScaleFleet {
 public:
  static Result<std::unique_ptr<ScaleFleet>> Start(const RunOptions& options, ScaleSize size,
                                                   const Progress& progress);
  ~ScaleFleet();
  ScaleFleet(const ScaleFleet&) = delete;
  ScaleFleet& operator=(const ScaleFleet&) = delete;

  Result<ScaleCost> Cost();
  Result<ScaleLoss> KillServer(std::uint32_t number);
  Result<void> StartServer(std::uint32_t number);
  Result<void> ShiftKeys();
  /// Rolls the next bundle version.
  /// @return when the roll was begun.
  Result<std::int64_t> RollBundle();
  /// Kills the leading control process.
  /// @return its name and when it was killed.
  Result<std::pair<std::string, std::int64_t>> KillLeader();
  Result<void> StartControl(const std::string& name) { return running_.fleet().Start(name); }
  /// Takes in what hollow nodes noted down since the last call.
  Result<void> Gather();

  const ScaleEvents& events() const { return events_; }
  const ScaleSize& size() const { return size_; }
  std::uint64_t bundle_version() const { return bundle_version_; }
  std::size_t ProcessCount();
  /// Ends the callers and returns what they were told.
  Result<std::vector<RequestView>> StopCallers();

 private:
  ScaleFleet(const Scenario& scenario, const FleetPaths& paths, ScaleSize size);

  Result<void> StartServers();
  Result<void> StartRouters();
  Result<void> AwaitShards();
  Result<void> AwaitRouters(std::uint32_t wanted);
  Result<std::uint64_t> SumOf(const std::vector<HollowProcess>& processes, const std::string& key);
  const HollowProcess& ProcessOf(std::uint32_t server) const;
  void Take(const nlohmann::json& event);
  Result<void> WriteHollowBundle();

  runtime::Logger log_;
  ScaleSize size_;
  RunningFleet running_;
  std::vector<HollowProcess> servers_;
  std::vector<HollowProcess> routers_;
  ScaleEvents events_;
  std::uint64_t bundle_version_ = 1;
};

}  // namespace graniteseam::testbed
