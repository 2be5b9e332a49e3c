/// @file
/// Bounds the rate at which all gateways together send requests to warming-up instances of pools.
#pragma once

#include <cstdint>
#include <map>
#include <string>

#include "graniteseam/common/time.h"
#include "graniteseam/traffic/instance.h"

namespace graniteseam::gateway {

/// A gateway's place among all gateways, as assigned by control.
struct GatewayPlace {
  std::uint32_t place = 0;  ///< Counted from 0.
  std::uint32_t count = 0;  ///< Number of gateways; 0 before control assigned a place.

  auto operator==(GatewayPlace const&) const -> bool = default;
};

/// A warming-up instance fails at a rate well above its capacity, and gateways cannot count each
/// other's requests. Each such instance is therefore assigned to a few gateways, by a hash of its
/// id over their places, and each of those sends it at most one request per second. The sum holds
/// in every second, without coordination.
///
/// A place is valid for as long as it takes a gateway to settle in a new one, so gateways of the
/// former places have stopped when those of the new places begin. A second that spans one change
/// then has the users of both, for which half of the bound is kept back.
///
/// Covers the case that a whole zone's instances return cold at the same moment and all gateways
/// see them idle. Not thread safe; `now` must not decrease.
class WarmUpGate {
 public:
  /// @param requests_per_second that one instance may get from all gateways; 0: no bound.
  explicit WarmUpGate(double requests_per_second);

  /// Sets the place that control assigned in answer to a poll.
  /// @param polled_at when that poll was sent.
  auto set_place(GatewayPlace place, Instant polled_at, Instant now) -> void;
  /// "place 3 of 76 for 400 ms" for the log.
  auto describe_place(Instant now) const -> std::string;

  auto is_bounded() const -> bool { return m_users > 0; }

  /// Whether this gateway may send a warming-up instance a request now. Under a bound, false while
  /// its place is unknown, new or out of date.
  auto admits(traffic::InstanceId const& instance, Instant now) const -> bool;

  /// Records a request that was sent to a warming-up instance.
  auto note_sent(traffic::InstanceId const& instance, Instant now) -> void;

 private:
  /// Between two requests of one gateway to one instance: a little over the second over which the
  /// bound is counted, so that two never fall into the same second.
  static constexpr Duration kSpacing{1'020'000};

  /// From a change of place until the first request, and from a poll until the place that control
  /// assigned in its answer is out of date. Longer than two poll intervals.
  static constexpr Duration kPlaceLifetime = kSpacing;

  auto is_place_valid(Instant now) const -> bool;
  auto is_user_of(traffic::InstanceId const& instance) const -> bool;

  std::uint32_t const m_users;  ///< Gateways that use one instance; 0: all, without bound.
  GatewayPlace m_place;
  Instant m_place_changed_at{};
  Instant m_polled_at{};  ///< When the newest poll was sent whose answer assigned the place.
  std::map<traffic::InstanceId, Instant> m_sent;  ///< Last request within the last spacing.
};

}  // namespace graniteseam::gateway
