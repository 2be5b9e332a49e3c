/// @file
/// A fleet that runs while an experiment disturbs it.
#pragma once

#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "src/runtime/log.h"
#include "testbed/fleet/running_fleet.h"
#include "testbed/fleet_session/request_view.h"
#include "testbed/history/history.h"
#include "testbed/measurement/experiment.h"

namespace graniteseam::testbed {

/// What a session leaves behind.
struct SessionRecords {
  std::vector<RequestView> requests;
  std::vector<Violation> violations;  ///< What must always hold and did not.
};

/// Lifecycle: Start(), then disturb fleet() while the callers send, then Finish(). Not thread safe;
/// all processes end with the session. The folder is kept when the session
/// failed or something was violated.
class FleetSession {
 public:
  /// Starts the fleet in a temporary folder and waits until it serves; then starts the callers, if
  /// wanted. Callers of a low rate take long to stop.
  static Result<std::unique_ptr<FleetSession>> Start(const Scenario& scenario,
                                                     const RunOptions& options,
                                                     bool with_callers = true);
  ~FleetSession();
  FleetSession(const FleetSession&) = delete;
  FleetSession& operator=(const FleetSession&) = delete;

  Fleet& fleet() { return running_.fleet(); }
  const OperatorConsole& console() const { return running_.console(); }

  /// The shard map as the leader has it; waits while there is none.
  Result<control::ShardsView> Shards() const;
  /// Waits until the condition holds or the limit is over.
  /// @return whether it holds.
  bool WaitUntil(Duration limit, const std::function<bool()>& condition) const;
  static void Pause(Duration length);
  /// Tells a key's shard by the shipped hash and the shard counts of the map.
  Result<ShardOf> MakeShardOf() const;

  /// Name of the leading control process, or "no leader".
  std::string Leader() const { return running_.Leader(); }

  /// Stops the callers, waits for their last answers, ends the fleet and reads what was recorded.
  Result<SessionRecords> Finish();

 private:
  FleetSession(const Scenario& scenario, const FleetPaths& paths);

  runtime::Logger log_;
  Scenario scenario_;
  RunningFleet running_;
  bool keep_folder_ = true;  ///< Until the session ended well and nothing was violated.
};

/// Where the programs are, and a new temporary folder.
Result<FleetPaths> PathsOf(const RunOptions& options);

/// A scenario of the named deployments with the given sizes; their files are found beside the
/// programs' build folder.
Result<Scenario> ScenarioOf(const RunOptions& options, const std::vector<std::string>& deployments,
                            double server_factor, double rate_factor);

}  // namespace graniteseam::testbed
