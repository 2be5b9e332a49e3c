/// @file
/// Limits of one internal connection.
#pragma once

#include <chrono>
#include <cstddef>

namespace graniteseam::protocol {

/// Queue and time limits of one connection.
struct ConnectionLimits {
  /// Bytes queued for sending; a message that would exceed this is dropped.
  std::size_t queue_bytes_maximum = std::size_t{32} << 20;
  /// For the TLS handshake and the hello exchange together.
  std::chrono::milliseconds handshake_time{5'000};
  /// From a frame's first byte to its last.
  std::chrono::milliseconds frame_time{10'000};
};

/// Interval at which the owner of a connection calls Connection::CheckLiveness().
inline constexpr std::chrono::milliseconds kLivenessCheckInterval{250};

}  // namespace graniteseam::protocol
