/// @file
/// Options and state of the sockets of the event-driven server and clients.
#pragma once

#include <boost/asio/ip/tcp.hpp>

#include "graniteseam/common/time.h"

namespace graniteseam::event_http {

/// No delay of small writes, and an end (TCP_USER_TIMEOUT) of connections whose peer takes nothing
/// for a minute. That bounds what the kernel keeps of connections that are closed or at rest;
/// PeerSilence notices sooner that a peer has vanished.
void SetSocketOptions(boost::asio::ip::tcp::socket& socket);

/// Bytes that were written and that the peer has not acknowledged.
std::size_t UnacknowledgedBytes(const boost::asio::ip::tcp::socket& socket);
/// Whether the other side's system has acknowledged all that was written. Its program may not have
/// read it yet.
bool IsAcknowledged(boost::asio::ip::tcp::socket& socket);

/// Whether the kernel has opened a connection that is being opened, or failed to. Does not wait.
bool IsOpeningSettled(boost::asio::ip::tcp::socket& socket);

/// Makes the coming close a reset: what is not delivered yet is thrown away, here and on its way.
void DiscardOnClose(boost::asio::ip::tcp::socket& socket);

}  // namespace graniteseam::event_http
