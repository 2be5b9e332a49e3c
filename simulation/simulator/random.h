/// @file
/// The simulator's own random numbers. All choices of one run come from its seed.
#pragma once

#include <cstdint>

#include "graniteseam/common/time.h"

namespace graniteseam::simulation {

/// SplitMix64 (Steele, Lea and Flood 2014). Copyable; not thread safe.
class Random {
 public:
  explicit Random(std::uint64_t seed) : state_(seed) {}

  std::uint64_t Next() {
    state_ += 0x9e3779b97f4a7c15ULL;
    std::uint64_t mixed = state_;
    mixed = (mixed ^ (mixed >> 30U)) * 0xbf58476d1ce4e5b9ULL;
    mixed = (mixed ^ (mixed >> 27U)) * 0x94d049bb133111ebULL;
    return mixed ^ (mixed >> 31U);
  }
  /// Uniform in [0, bound); bound > 0.
  std::uint64_t Below(std::uint64_t bound) { return Next() % bound; }
  double Fraction() { return static_cast<double>(Next() >> 11U) * 0x1.0p-53; }
  bool Chance(double probability) { return Fraction() < probability; }
  /// Uniform in [low, high], in microseconds.
  Duration Between(Duration low, Duration high) {
    return low + Duration(static_cast<std::int64_t>(
                     Below(static_cast<std::uint64_t>((high - low).count()) + 1)));
  }

 private:
  std::uint64_t state_;
};

}  // namespace graniteseam::simulation
