#include "testbed/experiment/registry.h"

namespace graniteseam::testbed {

ExperimentList AllExperiments() { return {}; }

}  // namespace graniteseam::testbed
