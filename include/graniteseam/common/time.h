/// @file
/// Instants and durations with microsecond resolution, as used by the deterministic state machines.
///
/// State machines never read a clock. Every entry point takes the current instant from its driver:
/// a daemon passes CLOCK_BOOTTIME, the simulator passes virtual time. CLOCK_BOOTTIME includes the
/// time in which a machine is suspended, so a process that resumes detects that its leases have
/// expired.
#pragma once

#include <chrono>
#include <cstdint>

namespace graniteseam {

/// A duration in microseconds.
using Duration = std::chrono::microseconds;

/// The monotonic clock of one machine, with an arbitrary origin. Instants of two machines must not
/// be compared; the type distinguishes them from wall-clock instants.
struct MachineClock {
  using duration = Duration;
  using rep = duration::rep;
  using period = duration::period;
  using time_point = std::chrono::time_point<MachineClock, duration>;
  static constexpr bool is_steady = true;
};

/// An instant on the local machine's clock.
using Instant = MachineClock::time_point;

/// Builds an instant from a raw reading in microseconds.
constexpr Instant InstantFromMicros(std::int64_t micros) { return Instant(Duration(micros)); }

/// Returns the raw reading of an instant in microseconds.
constexpr std::int64_t ToMicros(Instant instant) { return instant.time_since_epoch().count(); }

}  // namespace graniteseam
