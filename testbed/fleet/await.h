/// @file
/// Waiting for a condition of a fleet.
#pragma once

#include <functional>
#include <string>

#include "graniteseam/common/error.h"
#include "graniteseam/common/time.h"

namespace graniteseam::testbed {

/// What is still missing; empty when the condition holds.
using Missing = std::string;

/// Asks `condition` again and again until nothing is missing.
/// @return kDeadlineExceeded after `limit`, naming what was missing last.
Result<void> Await(const std::string& what, Duration limit,
                   const std::function<Missing()>& condition);

}  // namespace graniteseam::testbed
