/// @file
/// A fleet from its start until it serves, and its orderly end.
#pragma once

#include <memory>
#include <string>

#include "src/runtime/log.h"
#include "testbed/fleet/fleet.h"
#include "testbed/fleet/operator_console.h"

namespace graniteseam::testbed {

/// Lifecycle: Start(), then the fleet serves; then Stop() or destruction, which leave nothing
/// running. Not thread safe.
class RunningFleet {
 public:
  RunningFleet(const Scenario& scenario, FleetPaths paths, const runtime::Logger& log);

  /// Starts all members but the callers, rolls the first bundle and waits until everything serves.
  Result<void> Start();
  /// The first part of Start(): makes files and addresses and starts nothing.
  Result<void> Prepare();
  /// The second part: starts the members and rolls the first bundle, without waiting for servers.
  Result<void> StartMembers();
  void Stop();

  Fleet& fleet() { return fleet_; }
  /// Only after Start().
  const OperatorConsole& console() const { return *console_; }
  /// The shards that have been moved so far; 0 when no leader tells.
  std::uint64_t MovesSoFar() const;
  /// Name of the leading control process, or "no leader".
  std::string Leader() const;

 private:
  Result<void> RollFirstBundle();

  const runtime::Logger& log_;
  Fleet fleet_;
  std::unique_ptr<OperatorConsole> console_;
};

}  // namespace graniteseam::testbed
