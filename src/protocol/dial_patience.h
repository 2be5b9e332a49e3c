/// @file
/// How long the dialling side of a connection waits before it gives up on it.
#pragma once

#include <algorithm>
#include <chrono>

namespace graniteseam::protocol {

/// Short at first, so that a connection that fell silent is replaced before its router is taken to
/// be in touch again; doubled with each that was given up, since a far end that is only slow needs
/// time and not another connection: 66 dialers that came again each 2.4 s kept a relay which takes
/// 40 ms for a connection from ever leading one on, and their group without a leader, for as long
/// as they did. Short again once a connection has held.
class DialPatience {
 public:
  /// For the handshake and hello of a connection.
  std::chrono::milliseconds handshake_time() const { return kHandshakeTime * factor_; }
  /// Calls of Connection::Watch() without anything back.
  int unanswered_looks() const { return kUnansweredLooks * factor_; }

  /// A connection was given up: it did not get ready, or nothing came back.
  void GaveUp() { factor_ = std::min(2 * factor_, kFactorMaximum); }
  /// A connection got ready.
  void Ready() { looks_ = 0; }
  /// Connection::Watch() was called on one that is ready and was not given up.
  void Watched() {
    if (++looks_ >= kHeldLooks) factor_ = 1;
  }

 private:
  /// With 0.4 s for dialling again less than 3 s: after those a machine is taken to be in touch.
  static constexpr std::chrono::milliseconds kHandshakeTime{2'000};
  /// 1 s: routers poll each 0.5 s and are answered within milliseconds, and a peer that is short of
  /// processor time is late by some hundred of them.
  static constexpr int kUnansweredLooks = 4;
  static constexpr int kFactorMaximum = 4;
  static constexpr int kHeldLooks = 40;  ///< 10 s.

  int factor_ = 1;
  int looks_ = 0;  ///< Of the present connection.
};

}  // namespace graniteseam::protocol
