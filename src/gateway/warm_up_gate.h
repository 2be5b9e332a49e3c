/// @file
/// Bounds what instances of pools get from all gateways together while they warm up.
#pragma once

#include <cstdint>
#include <map>

#include "graniteseam/common/time.h"
#include "graniteseam/traffic/instance.h"

namespace graniteseam::gateway {

/// A gateway's place among all gateways, as control told it.
struct GatewayPlace {
  std::uint32_t place = 0;  ///< From 0 on.
  std::uint32_t count = 0;  ///< Of gateways; 0 while none was told.
};

/// An instance that warms up falls over at a rate well above what it bears, and gateways can not
/// count each other's requests. So a few of them have the instance to themselves, drawn by its id
/// from their places, and each of those sends it one request a second at most: the sum holds in
/// every second, whatever any gateway knows of the others. Half of the bound is given out, since
/// while places change, gateways of the former and of the new places may use the same instance.
///
/// Answers the load in which a whole zone's instances come back cold at the same moment, where all
/// gateways at once find them idle. Not thread safe; `now` never goes back.
class WarmUpGate {
 public:
  /// @param requests_per_second that one instance may get from all gateways; 0: no bound.
  explicit WarmUpGate(double requests_per_second);

  auto set_place(GatewayPlace place) -> void { m_place = place; }

  auto is_bounded() const -> bool { return m_users > 0; }

  /// Whether this gateway may send an instance that warms up another request now. Never while its
  /// place is not known.
  auto admits(traffic::InstanceId const& instance, Instant now) const -> bool;

  auto note_sent(traffic::InstanceId const& instance, Instant now) -> void;

 private:
  /// Between two requests of one gateway to one instance: a little over the second in which the
  /// bound counts, so that two never fall into one.
  static constexpr Duration kSpacing{1'020'000};

  auto is_user_of(traffic::InstanceId const& instance) const -> bool;

  std::uint32_t const m_users;  ///< Gateways that use one instance; 0: all, without bound.
  GatewayPlace m_place;
  std::map<traffic::InstanceId, Instant> m_sent;  ///< Within the last spacing.
};

}  // namespace graniteseam::gateway
