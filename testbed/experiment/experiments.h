/// @file
/// Makers of the experiments.
#pragma once

#include <memory>

#include "testbed/measurement/experiment.h"

namespace graniteseam::testbed {

// In virtual time.
std::unique_ptr<Experiment> MakeHotShift();
std::unique_ptr<Experiment> MakeLyingHealth();
std::unique_ptr<Experiment> MakeOverloadShares();
std::unique_ptr<Experiment> MakeRetryStorm();

// With a real fleet.
std::unique_ptr<Experiment> MakeBundleRollout();
std::unique_ptr<Experiment> MakeFreezeWake();
std::unique_ptr<Experiment> MakeLeaderAndOwnerLoss();
std::unique_ptr<Experiment> MakeLeaderLoss();
std::unique_ptr<Experiment> MakeOwnerLoss();
std::unique_ptr<Experiment> MakePathOverhead();
std::unique_ptr<Experiment> MakePlannedMove();
std::unique_ptr<Experiment> MakeRouterStop();
std::unique_ptr<Experiment> MakeServerDrain();
std::unique_ptr<Experiment> MakeZoneCut();

}  // namespace graniteseam::testbed
