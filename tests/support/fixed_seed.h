/// @file
/// Fixes RapidCheck's seed for the test program that includes it, so that each run checks the same
/// cases. An RC_PARAMS given by hand wins.
#pragma once

#include <cstdlib>

namespace graniteseam::test {

[[maybe_unused]] inline const int kSeedFixed = setenv("RC_PARAMS", "seed=20241202", 0);

}  // namespace graniteseam::test
