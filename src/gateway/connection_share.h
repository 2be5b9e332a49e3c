/// @file
/// How many connections one gateway may have to one server.
#pragma once

#include <algorithm>
#include <cstdint>

namespace graniteseam::gateway {

/// What bounds the connections to one server.
struct ConnectionBounds {
  std::int64_t accepted_by_server = 0;  ///< From all callers together; 0 when none is stated.
  std::uint32_t gateways = 1;           ///< That share them.
};

/// Left to control's orders and to connections that the server has not yet seen end.
inline constexpr double kSharedPart = 0.9;

/// @return the requests that one gateway may have at one server at once, each on a connection of
/// its own: an equal part of what the server accepts, and 1 at least. A server resets connections
/// beyond its bound after they came up, so that a request may already be on its way: its fate is
/// then unknown, and it may not be sent again.
inline auto connection_share(ConnectionBounds const& bounds) -> std::uint32_t {
  if (bounds.accepted_by_server <= 0) return UINT32_MAX;
  auto const shared = static_cast<double>(bounds.accepted_by_server) * kSharedPart;
  auto const part = shared / std::max(1U, bounds.gateways);
  return static_cast<std::uint32_t>(std::clamp(part, 1.0, static_cast<double>(UINT32_MAX)));
}

}  // namespace graniteseam::gateway
