/// @file
/// Adaptive limit on the requests that a router keeps in flight at one server.
#pragma once

#include <cstdint>

#include "graniteseam/common/time.h"

namespace graniteseam::routing {

/// Estimates a server's capacity by additive increase and multiplicative decrease (Chiu and Jain
/// 1989): the window grows on answers while it is at least half full and shrinks when the server
/// sheds. It shrinks at most once per smoothed answer latency, because sheds that arrive together
/// report the same overload. Near the size at which the server last shed it grows slowly: with many
/// routers and few slots per server, each step of growth causes sheds. Sending to a server that
/// sheds while almost nothing is in flight is paused; the pause doubles with each further such
/// shed. Invariant: 1 <= size <= maximum. Not thread safe.
class ConcurrencyWindow {
 public:
  /// @param maximum at least 1; Service::concurrency_per_server.
  explicit ConcurrencyWindow(std::uint32_t maximum);

  void SetMaximum(std::uint32_t maximum);
  /// Requests that may be sent now; 0 while sending is paused.
  std::uint32_t AvailableSlots(Instant now) const;
  void OnSent() { ++in_flight_; }
  /// Records an answer; the window grows when at least half of it was in use.
  void OnAnswered(Duration latency, Instant now);
  /// Records that the server shed the request because of overload.
  void OnShed(Instant now);
  /// Records an attempt that ended in any other way; the size stays.
  void OnEnded();

  std::uint32_t in_flight() const { return in_flight_; }
  double size() const { return size_; }

 private:
  double Growth(Instant now) const;
  void Pause(Instant now);
  void ReleaseSlot();

  double maximum_;
  double size_;
  bool has_shed_ = false;   ///< Before the first shed the window doubles each answer time.
  double shed_size_ = 0.0;  ///< The size at which the server last shed.
  std::uint32_t in_flight_ = 0;
  Instant shrunk_at_{};
  Duration pause_{};  ///< The last pause; doubles until an answer arrives.
  Instant paused_until_{};
  Duration latency_{1'000};
};

}  // namespace graniteseam::routing
