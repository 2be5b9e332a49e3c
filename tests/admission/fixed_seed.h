/// @file
/// Fixes RapidCheck's seed for this test program, so that each run checks the same cases. An
/// RC_PARAMS given by hand wins.
#pragma once

#include <cstdlib>

namespace {

[[maybe_unused]] const int kSeedFixed = setenv("RC_PARAMS", "seed=20240607", 0);

}  // namespace
