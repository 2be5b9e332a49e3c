/// @file
/// The clocks of this machine, for the drivers of the decision makers. Nothing else reads a clock.
#pragma once

#include <cstdint>

#include "graniteseam/common/time.h"

namespace graniteseam::runtime {

/// Reads CLOCK_BOOTTIME. It counts on while the machine is suspended, so a process that wakes late
/// sees that its leases are over. Thread safe.
Instant BootTimeNow();

/// How long the machine was suspended since it started: by so much CLOCK_BOOTTIME is ahead of
/// CLOCK_MONOTONIC, by which timers and waits run. Thread safe.
Duration SuspendedTime();

/// Reads the wall clock in milliseconds since 1970-01-01 UTC. May step either way. Thread safe.
std::int64_t WallMillis();

/// Draws 64 bits from the kernel's random source. Thread safe; ends the program when the kernel
/// gives none.
std::uint64_t RandomBits();

}  // namespace graniteseam::runtime
