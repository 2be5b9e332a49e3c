/// @file
/// One run of the traffic world: one seed, bit for bit.
#pragma once

#include "simulation/simulator/run.h"
#include "simulation/traffic_world/traffic_defect.h"

namespace graniteseam::simulation {

struct TrafficRunOptions {
    RunOptions run;
    TrafficDefect defect = TrafficDefect::kNone;
    /// Orders carry the name of the instance that is meant, and workers refuse those of others.
    bool orders_name_instance = false;
};

/// Runs a fleet under the faults that the seed draws, in series or overlapping, then lets it recover
/// and checks that it does.
auto run_traffic(TrafficRunOptions const&) -> RunResult;

} // namespace graniteseam::simulation
