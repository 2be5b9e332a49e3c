/// @file
/// How many requests a router keeps in flight at one server.
#pragma once

#include <cstdint>

#include "graniteseam/common/time.h"

namespace graniteseam::routing {

/// Finds a server's capacity by additive increase and multiplicative decrease (Chiu and Jain 1989):
/// grows while full and answered, shrinks when the server sheds. It shrinks once per answer time,
/// since the sheds of one moment tell the same thing. Near the size at which the server last shed
/// it grows slowly: with many routers and few slots a server, each step of growth costs sheds. A
/// server that sheds although almost nothing is in flight there is left alone for a while that
/// doubles. Invariant: 1 <= size <= maximum. Not thread safe.
class ConcurrencyWindow {
 public:
  /// @param maximum at least 1; Service::concurrency_per_server.
  explicit ConcurrencyWindow(std::uint32_t maximum);

  void SetMaximum(std::uint32_t maximum);
  /// Free places; none while the server is left alone.
  std::uint32_t AvailableSlots(Instant now) const;
  void OnSent() { ++in_flight_; }
  /// An answer came; the window grows when it was in use.
  void OnAnswered(Duration latency, Instant now);
  /// The server refused to protect itself.
  void OnShed(Instant now);
  /// Ended in any other way.
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
  Duration pause_{};  ///< The last pause; doubles until an answer comes.
  Instant paused_until_{};
  Duration latency_{1'000};
};

}  // namespace graniteseam::routing
