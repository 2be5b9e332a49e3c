/// @file
/// Tells a peer that has vanished from one that takes no bytes at present.
#pragma once

#include <boost/asio/ip/tcp.hpp>
#include <optional>

#include "graniteseam/common/time.h"

namespace graniteseam::event_http {

/// What the kernel knows of the peer's acknowledgements on a connection.
struct Acknowledgements {
  bool awaited = false;   ///< Data, an end or a window probe was sent and not acknowledged.
  Duration since_last{};  ///< Since the newest acknowledgement arrived.
};

/// @return nullopt where the kernel doesn't tell.
std::optional<Acknowledgements> ReadAcknowledgements(boost::asio::ip::tcp::socket& socket);

/// Measures for how long a peer has acknowledged nothing although it was sent something.
///
/// A peer that doesn't read closes its receive window, and still acknowledges each probe of it. So
/// it may pause for as long as the request's deadline allows. TCP_USER_TIMEOUT does not make that
/// difference. Not thread safe.
class PeerSilence {
 public:
  /// Silence after which a peer counts as vanished. A retransmission is due several times within
  /// it.
  static constexpr Duration kMaximum{3'000'000};

  /// Records the state of a connection. To be called at least once in kCheckGapMaximum: what lay
  /// between two calls that are further apart is not counted, since the peer may have acknowledged
  /// one thing and been sent another meanwhile.
  /// @return whether the silence exceeds kMaximum.
  bool Record(const Acknowledgements& acknowledgements, Instant now);

  /// Reads the state of a connection and records it.
  bool Exceeds(boost::asio::ip::tcp::socket& socket, Instant now);

 private:
  static constexpr Duration kCheckGapMaximum{1'000'000};

  std::optional<Instant> silent_since_;  ///< Nullopt while no acknowledgement is awaited.
  Instant checked_at_{};
};

}  // namespace graniteseam::event_http
