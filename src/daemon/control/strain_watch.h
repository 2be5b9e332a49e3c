/// @file
/// How late a process was lately in what keeps its group together: it tells an overloaded process
/// from one that was cut off when a leader is lost.
#pragma once

#include <algorithm>

#include "graniteseam/common/time.h"

namespace graniteseam::daemon {

/// The worst of each kind; zero where nothing was late.
struct Strain {
  Duration consensus_wait{};  ///< From a peer message's arrival until it was taken.
  Duration tick_late{};       ///< From the instant a tick was wanted for until it ran.
  Duration round{};           ///< Length of a round, its write to disk included.
  Duration persist{};         ///< Length of one write to disk with its sync.
};

/// Keeps the worst of the last second or two. Not thread safe; `now` never goes back.
class StrainWatch {
 public:
  void NoteConsensusWait(Duration wait, Instant now) { Raise(now, &Strain::consensus_wait, wait); }
  void NoteTickLate(Duration late, Instant now) { Raise(now, &Strain::tick_late, late); }
  void NoteRound(Duration length, Instant now) { Raise(now, &Strain::round, length); }
  void NotePersist(Duration length, Instant now) { Raise(now, &Strain::persist, length); }

  Strain Worst(Instant now) {
    Turn(now);
    Strain worst = this_span_;
    for (auto member :
         {&Strain::consensus_wait, &Strain::tick_late, &Strain::round, &Strain::persist}) {
      worst.*member = std::max(worst.*member, last_span_.*member);
    }
    return worst;
  }

 private:
  static constexpr Duration kSpan{1'000'000};

  void Raise(Instant now, Duration Strain::*member, Duration value) {
    Turn(now);
    this_span_.*member = std::max(this_span_.*member, value);
  }
  void Turn(Instant now) {
    if (now - span_start_ < kSpan) return;
    last_span_ = now - span_start_ < 2 * kSpan ? this_span_ : Strain{};
    this_span_ = {};
    span_start_ = now;
  }

  Instant span_start_{};
  Strain this_span_;
  Strain last_span_;
};

}  // namespace graniteseam::daemon
