/// @file
/// Random faults on a fleet of real processes, from outside them, and the promises checked from what
/// callers, workers and operators saw. See docs/operations/soak.md.
#pragma once

#include "testbed/soak/soaked_fleet.h"

namespace graniteseam::testbed::soak {

/// Reads the command line, plays one seed after the other, prints a line for each and every breach.
/// @return the program's exit code: 0 when every promise was kept, 1 for a breach, 2 for bad arguments.
auto run_soak(ProgramNames const&, int argc, char** argv) -> int;

} // namespace graniteseam::testbed::soak
