/// @file
/// Makers of the experiments, one a file.
#pragma once

#include <memory>

#include "testbed/measurement/experiment.h"

namespace graniteseam::testbed {

std::unique_ptr<Experiment> MakeHotShift();
std::unique_ptr<Experiment> MakeLyingHealth();
std::unique_ptr<Experiment> MakeOverloadShares();
std::unique_ptr<Experiment> MakeRetryStorm();

}  // namespace graniteseam::testbed
