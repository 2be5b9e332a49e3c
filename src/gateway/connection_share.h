/// @file
/// Computes how many connections one gateway may have to one server.
#pragma once

#include <algorithm>
#include <cstdint>

namespace graniteseam::gateway {

/// Inputs to a gateway's share of the connections to one server.
struct ConnectionBounds {
  std::int64_t accepted_by_server = 0;  ///< From all callers together; 0 when not stated.
  std::uint32_t gateways = 1;           ///< Number of gateways that share them.
};

/// The part of the accepted connections that gateways share; the rest is reserved for control's
/// requests and for connections whose end the server has not yet seen.
inline constexpr double kSharedPart = 0.9;

/// @return the maximum of concurrent requests, each on its own connection, from one gateway to one
/// server: an equal part of what the server accepts, at least 1. A server resets connections beyond
/// its bound after they are established, when a request may already be on its way: its outcome is
/// then unknown, and it must not be sent again.
inline auto connection_share(ConnectionBounds const& bounds) -> std::uint32_t {
  if (bounds.accepted_by_server <= 0) return UINT32_MAX;
  auto const shared = static_cast<double>(bounds.accepted_by_server) * kSharedPart;
  auto const part = shared / std::max(1U, bounds.gateways);
  return static_cast<std::uint32_t>(std::clamp(part, 1.0, static_cast<double>(UINT32_MAX)));
}

}  // namespace graniteseam::gateway
