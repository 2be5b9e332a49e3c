#include "testbed/experiment/registry.h"

#include "testbed/experiment/experiments.h"

namespace graniteseam::testbed {

ExperimentList AllExperiments() {
  ExperimentList list;
  list.push_back(MakeHotShift());
  list.push_back(MakeLyingHealth());
  list.push_back(MakeOverloadShares());
  list.push_back(MakeRetryStorm());
  return list;
}

}  // namespace graniteseam::testbed
