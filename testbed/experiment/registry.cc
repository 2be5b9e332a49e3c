#include "testbed/experiment/registry.h"

#include "testbed/experiment/experiments.h"

namespace graniteseam::testbed {

ExperimentList AllExperiments() {
  ExperimentList list;
  for (const auto& make :
       {MakePathOverhead, MakeOwnerLoss, MakeFreezeWake, MakeLeaderLoss, MakeLeaderAndOwnerLoss,
        MakePlannedMove, MakeServerDrain, MakeRouterStop, MakeBundleRollout, MakeZoneCut,
        MakeHotShift, MakeOverloadShares, MakeLyingHealth, MakeRetryStorm}) {
    list.push_back(make());
  }
  return list;
}

}  // namespace graniteseam::testbed
