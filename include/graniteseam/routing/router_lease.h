/// @file
/// The router's own lease: without it the router takes no traffic.
#pragma once

#include <cstdint>
#include <map>

#include "graniteseam/common/ids.h"
#include "graniteseam/common/time.h"

namespace graniteseam::routing {

/// Dates the router's lease.
///
/// Invariant: the lease ends no later than the granted length after the *send* of the renewal that
/// was granted, so that a slow answer never makes it longer than its granter counts on. Answers
/// that come twice, late or crossed therefore do no harm. Not thread safe.
class RouterLease {
 public:
  /// Notes a renewal as sent and returns its sequence.
  std::uint64_t Send(BundleVersion shown, Instant now);

  /// Takes a grant.
  /// @return false when the sequence is not awaited.
  bool Grant(std::uint64_t sequence, Duration length);

  /// Ends the lease at once, for a router that stops.
  void GiveUp() { valid_until_ = Instant{}; }

  bool Valid(Instant now) const { return now < valid_until_; }
  Instant valid_until() const { return valid_until_; }
  /// The length last granted; 0 before the first grant.
  Duration length() const { return length_; }
  /// The bundle version that the last grant was given for.
  BundleVersion granted_for() const { return granted_for_; }

 private:
  struct Sent {
    Instant at;
    BundleVersion shown;
  };
  static constexpr std::size_t kAwaitedMaximum = 64;

  std::map<std::uint64_t, Sent> awaited_;
  std::uint64_t last_sequence_ = 0;
  Instant valid_until_{};
  Duration length_{};
  BundleVersion granted_for_;
};

}  // namespace graniteseam::routing
