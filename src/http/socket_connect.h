/// @file
/// Opens TCP connections to numeric addresses within a deadline.
#pragma once

#include "graniteseam/common/time.h"
#include "src/runtime/socket_address.h"

namespace graniteseam::http {

/// Connects a blocking socket without delay of small writes (TCP_NODELAY).
/// @return the descriptor, owned by the caller, or -1.
int ConnectWithin(const runtime::SocketAddress& address, Instant deadline);

}  // namespace graniteseam::http
