/// @file
/// Promises about what workers state of the requests that they take, counted over all routers.
#pragma once

#include <vector>

#include "testbed/soak/promises.h"

namespace graniteseam::testbed::soak {

/// Checks the promises "limit", "rest", "leaving" and "warm_up" as the users' rules say. A disturbance of a
/// router since it was told excuses what that router sends, but from the last of them.
auto check_statements(Observed const&, std::vector<Breach>&) -> void;

} // namespace graniteseam::testbed::soak
