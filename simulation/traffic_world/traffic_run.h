/// @file
/// One run of the traffic world: one seed, bit for bit.
#pragma once

#include "simulation/simulator/run.h"
#include "simulation/traffic_world/traffic_fleet.h"

namespace graniteseam::simulation {

struct TrafficRunOptions {
    RunOptions run;
    TrafficWorldOptions world;
};

/// Runs a fleet under the faults that the seed draws, in series or overlapping, then lets it recover
/// and checks that it does.
auto run_traffic(TrafficRunOptions const&) -> RunResult;

} // namespace graniteseam::simulation
