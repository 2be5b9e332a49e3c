/// @file
/// Promises about what workers state of the requests that they take, counted over all routers.
#pragma once

#include <vector>

#include "testbed/soak/promises.h"

namespace graniteseam::testbed::soak {

/// Checks the promises "limit", "rest", "leaving" and "warm_up" as the users' rules say. Under "limit" and
/// "rest", any disturbance of a router since it was told excuses what it sends; under "leaving" only a
/// restart or a freeze does; "warm_up" holds for all routers.
auto check_statements(Observed const&, std::vector<Breach>&) -> void;

} // namespace graniteseam::testbed::soak
