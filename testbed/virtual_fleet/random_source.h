/// @file
/// Seeded random choices of the experiments.
#pragma once

#include <cmath>
#include <cstdint>
#include <random>

#include "graniteseam/common/time.h"

namespace graniteseam::testbed {

/// The same seed gives the same choices. Not thread safe.
class RandomSource {
 public:
  explicit RandomSource(std::uint64_t seed) : engine_(seed) {}

  std::uint64_t Bits() { return engine_(); }
  /// In [0, 1).
  double Fraction() {
    constexpr int kMantissaBits = 53;
    return std::ldexp(static_cast<double>(engine_() >> (64 - kMantissaBits)), -kMantissaBits);
  }
  /// In [0, count); count greater than 0.
  std::size_t Index(std::size_t count) { return engine_() % count; }
  bool Chance(double probability) { return Fraction() < probability; }
  /// A wait of a Poisson process.
  Duration Exponential(Duration mean) {
    const double factor = -std::log1p(-Fraction());
    return Duration(std::llround(factor * static_cast<double>(mean.count())));
  }
  std::uint64_t Poisson(double mean) {
    return mean <= 0.0 ? 0 : std::poisson_distribution<std::uint64_t>(mean)(engine_);
  }

 private:
  std::mt19937_64 engine_;
};

}  // namespace graniteseam::testbed
