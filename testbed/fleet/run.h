/// @file
/// Runs one scenario from start to report.
#pragma once

#include <functional>

#include "src/runtime/log.h"
#include "testbed/fleet/layout.h"
#include "testbed/fleet/report.h"

namespace graniteseam::testbed {

/// Starts the fleet, sends its traffic, makes its faults happen, waits until it serves again, ends
/// it and checks the history. Leaves nothing running, whatever comes of it.
/// @param stop_asked polled; ends the run early.
/// @return an error when the fleet could not be run; a fleet that misbehaved is in the report.
Result<FleetReport> RunScenario(const Scenario& scenario, const FleetPaths& paths,
                                const runtime::Logger& log,
                                const std::function<bool()>& stop_asked);

}  // namespace graniteseam::testbed
