/// @file
/// Bounds the part of the requests that a gateway forwards while it reaches the servers itself.
#pragma once

#include <algorithm>

namespace graniteseam::gateway {

/// A gateway that could serve its requests and forwards them makes work for others, at the time
/// when it may be short of it itself.
struct ForwardShare {
  /// Of the requests that arrive, the part that may be forwarded, and how many beyond it at once.
  static constexpr double kPart = 0.2;
  static constexpr double kBurst = 20;

  double left = kBurst;  ///< Requests that may be forwarded now.
};

/// Records that a caller's request has arrived.
inline auto note_request(ForwardShare& share) -> void {
  share.left = std::min(ForwardShare::kBurst, share.left + ForwardShare::kPart);
}

/// @return whether a request may be forwarded; it is counted then.
inline auto take(ForwardShare& share) -> bool {
  if (share.left < 1) return false;
  share.left -= 1;
  return true;
}

}  // namespace graniteseam::gateway
