/// @file
/// The router's lease from the control group: a router without a valid lease refuses all requests.
#pragma once

#include <cstdint>
#include <map>

#include "graniteseam/common/ids.h"
#include "graniteseam/common/time.h"

namespace graniteseam::routing {

/// Tracks the expiry of the router's lease.
///
/// Invariant: the lease ends no later than the granted length after the *send* of the renewal that
/// was granted, so that a slow answer never extends it past the expiry that the granter assumes.
/// Duplicated, late or reordered answers are therefore harmless. Not thread safe.
class RouterLease {
 public:
  /// Records that a renewal was sent.
  /// @return its sequence number.
  std::uint64_t Send(BundleVersion shown, Instant now);

  /// Applies a grant of `length`, counted from the send of the renewal `sequence`.
  /// @return false when no renewal with this sequence is pending.
  bool Grant(std::uint64_t sequence, Duration length);

  /// Ends the lease at once, for a router that is stopping.
  void GiveUp() { valid_until_ = Instant{}; }

  bool Valid(Instant now) const { return now < valid_until_; }
  Instant valid_until() const { return valid_until_; }
  /// The length of the last grant; 0 before the first grant.
  Duration length() const { return length_; }
  /// The newest bundle version for which a lease was granted.
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
