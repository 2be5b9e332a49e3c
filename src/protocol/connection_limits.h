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

/// Between two calls of Connection::CheckLiveness(), by whoever keeps the connection.
inline constexpr std::chrono::milliseconds kLivenessCheckInterval{250};

}  // namespace graniteseam::protocol
