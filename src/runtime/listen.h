/// @file
/// Opens a listening socket.
#pragma once

#include <boost/asio/ip/tcp.hpp>
#include <cstdint>
#include <string>

#include "graniteseam/common/error.h"
#include "src/runtime/socket_address.h"

namespace graniteseam::runtime {

/// Opens the acceptor and listens on the address.
/// @param remedy of the error: which setting to change.
/// @return the port, which the system chooses for port 0; kInvalidSettings when that fails.
Result<std::uint16_t> Listen(boost::asio::ip::tcp::acceptor& acceptor, const SocketAddress& address,
                             const std::string& remedy);

}  // namespace graniteseam::runtime
