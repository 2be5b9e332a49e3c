/// @file
/// Admits as many requests for a hot key as its owner can run, counted over all gateways.
#pragma once

#include <cstdint>
#include <map>
#include <random>
#include <vector>

#include "graniteseam/common/time.h"
#include "graniteseam/traffic/hints.h"

namespace graniteseam::gateway {

/// Refuses excess requests for a hot key at once, instead of queueing them until they are refused.
/// Each gateway admits the same part of the requests that it receives, so that together they send
/// no more than the owner can run, without coordination.
///
/// Deterministic under its seed; not thread safe; `now` must not decrease.
class HotKeyGate {
 public:
  explicit HotKeyGate(std::uint64_t seed) : m_random(seed) {}

  /// Applies control's report of hot keys and the part of their requests to admit.
  auto update_hot_keys(std::vector<traffic::HotKey> const& hot_keys, Instant now) -> void;

  /// Whether control recently reported that only a part of a key's requests may be admitted.
  auto is_hot(ServiceName const& service, std::uint32_t key, Instant now) -> bool;

  /// Whether to admit the next request for a hot key; is_hot() must have returned true for it.
  auto admits(ServiceName const& service, std::uint32_t key) -> bool;

 private:
  /// A key that control has not reported for this long is not hot: control repeats its report each
  /// second.
  static constexpr Duration kReportLifetime{2'500'000};

  struct Gate {
    double admitted = 1;  ///< Part of the key's requests to admit, 0 to 1.
    double credit = 0;    ///< A request is admitted when this reaches 1.
    Instant reported_at{};
  };

  std::mt19937_64 m_random;
  std::map<ServiceName, std::map<std::uint32_t, Gate>> m_gates;
};

}  // namespace graniteseam::gateway
