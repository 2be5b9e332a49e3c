/// @file
/// An IP address with a port, as settings, flags and the platform list write it: "127.0.0.1:7000"
/// or "[::1]:7000". Names are not resolved: the system runs on IP numbers.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "graniteseam/common/error.h"

namespace graniteseam::runtime {

struct SocketAddress {
  std::string ip;  ///< Numeric, without brackets.
  std::uint16_t port = 0;

  bool operator==(const SocketAddress&) const = default;
};

/// @return kInvalidArgument when the text is not a numeric IP address with a port from 0 to 65535.
Result<SocketAddress> ParseSocketAddress(std::string_view text);

/// Writes the address so that ParseSocketAddress() reads it back.
std::string ToString(const SocketAddress& address);

/// Whether the address is reachable from this machine alone (127.0.0.0/8 or ::1).
bool IsLoopback(const SocketAddress& address);

/// Gives all addresses one port; 0 leaves them as they are. For lists that name another port of the
/// same machines.
void UsePort(std::vector<SocketAddress>& addresses, std::int64_t port);

}  // namespace graniteseam::runtime
