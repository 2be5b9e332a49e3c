/// @file
/// Lets in as many requests for a hot key as its owner can run, counted over all gateways.
#pragma once

#include <cstdint>
#include <map>
#include <random>
#include <vector>

#include "graniteseam/common/time.h"
#include "graniteseam/traffic/hints.h"

namespace graniteseam::gateway {

/// What surely has no place at the owner is refused at once, in place of a wait that ends in a
/// refusal. Each gateway lets in the same part of what it gets, so that together they ask no more
/// than the owner can run, without knowing of each other.
///
/// Deterministic under its seed; not thread safe; `now` never goes back.
class HotKeyGate {
 public:
  explicit HotKeyGate(std::uint64_t seed) : m_random(seed) {}

  auto take(std::vector<traffic::HotKey> const& hot_keys, Instant now) -> void;

  auto is_hot(ServiceName const& service, std::uint32_t key, Instant now) -> bool;

  /// Whether the next request for a hot key may go on.
  auto admits(ServiceName const& service, std::uint32_t key) -> bool;

 private:
  /// A key that nobody speaks of any more is not hot: control tells it again each second.
  static constexpr Duration kForgotten{2'500'000};

  struct Gate {
    double admitted = 1;
    double credit = 0;  ///< A request is let in when this reaches 1.
    Instant told{};
  };

  std::mt19937_64 m_random;
  std::map<ServiceName, std::map<std::uint32_t, Gate>> m_gates;
};

}  // namespace graniteseam::gateway
