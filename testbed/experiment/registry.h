/// @file
/// The table of all experiments that graniteseam-experiment knows.
#pragma once

#include "testbed/measurement/experiment.h"

namespace graniteseam::testbed {

ExperimentList AllExperiments();

}  // namespace graniteseam::testbed
