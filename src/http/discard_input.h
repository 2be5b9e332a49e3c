/// @file
/// Before a connection is closed whose caller still sends.
#pragma once

namespace graniteseam::http {

/// Reads off what the caller still sends, within bounds: closing a socket with unread bytes resets
/// the connection and may take the answer with it.
void DiscardInput(int descriptor);

}  // namespace graniteseam::http
