/// @file
/// Limits of one internal connection.
#pragma once

#include <chrono>
#include <cstddef>

namespace graniteseam::protocol {

struct ConnectionLimits {
  /// Bytes that may wait to be sent; a message that exceeds it is not queued.
  std::size_t queue_bytes_maximum = std::size_t{32} << 20;
  /// For TLS and hello together.
  std::chrono::milliseconds handshake_time{5'000};
  /// From a frame's first byte to its last.
  std::chrono::milliseconds frame_time{10'000};
};

/// Of the dialling side. Its hello, or the answer, may be lost with a connection that falls silent
/// as it is made: it dials again before the 3 s are over after which the users take its machine to
/// be in touch.
inline constexpr std::chrono::milliseconds kDialledHandshakeTime{2'000};

/// Between two calls of Connection::Watch(), by whoever keeps the connection.
inline constexpr std::chrono::milliseconds kWatchInterval{250};

}  // namespace graniteseam::protocol
