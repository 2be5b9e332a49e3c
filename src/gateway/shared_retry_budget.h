/// @file
/// A gateway's part of a retry budget that all gateways of a group share.
#pragma once

#include <cstdint>
#include <deque>

#include "graniteseam/common/time.h"

namespace graniteseam::gateway {

/// In every window, all gateways together may send at most `ratio` times the requests, plus
/// `extra`, beyond the first sending of each request. The requests are those of that window or of
/// the one before it, whichever are more, since a repetition follows its request. One budget a
/// service.
struct RetryBudgetLimits {
  double ratio = 0.2;
  double extra = 20;
  Duration window{10'000'000};
};

/// Invariant: what this gateway sends again in any window stays within its own requests' ratio plus
/// its part of the extra; so all gateways together stay within the whole, also when they can't
/// speak to each other. Not thread safe; `now` never goes back.
class SharedRetryBudget {
 public:
  explicit SharedRetryBudget(const RetryBudgetLimits& limits) : limits_(limits) {}

  void CountRequest(Instant now);

  /// Takes one repetition out of the budget.
  /// @param gateways that share it, this one included.
  /// @return false when nothing is left.
  bool Take(std::uint32_t gateways, Instant now);

 private:
  struct Slice {
    Instant start;
    double requests = 0;
    double repeats = 0;
  };

  Slice& Current(Instant now);

  const RetryBudgetLimits limits_;
  std::deque<Slice> slices_;
};

}  // namespace graniteseam::gateway
