/// @file
/// A gateway's part of a retry budget that all gateways of a group share.
#pragma once

#include <cstdint>
#include <deque>
#include <optional>
#include <string>

#include "graniteseam/common/time.h"

namespace graniteseam::gateway {

/// In every window, all gateways together may send at most `ratio` times the requests, plus
/// `extra`, as retries beyond each request's first attempt. The requests are those of that window
/// or of the one before it, whichever are more, since a retry follows its request. Each service has
/// its own budget.
struct RetryBudgetLimits {
  double ratio = 0.2;
  double extra = 20;
  Duration window{10'000'000};
};

/// What a budget has counted since the process started.
struct RetryBudgetCounts {
  std::uint64_t requests = 0;  ///< First attempts, forwarded ones included.
  std::uint64_t reserved = 0;
  std::uint64_t spent = 0;
  std::uint64_t released = 0;
  std::uint64_t refused = 0;  ///< Retries for which nothing was left.
};

enum class RetryBudgetState {
  kAvailable,
  kExhausted,  ///< A retry was refused within the last second.
};

/// A token bucket. Each request adds a part of the ratio; time adds a part of this gateway's share
/// of the extra. It starts empty and holds at most what the requests of the last window, and a
/// window's time, would add.
///
/// Invariant: the retries sent in any window are at most the tokens held at its start, which the
/// requests of the window before bound, plus what the window's own requests and time add. The sum
/// over all gateways therefore stays within the whole budget without communication, whichever of
/// them start again, stop, or take over the requests of others.
///
/// Not thread safe; `now` must not decrease.
class SharedRetryBudget {
 public:
  /// @param started_at when this process started. Retries of an earlier process may still count in
  /// the window; one that started a window ago or earlier has saved up its share of the extra.
  SharedRetryBudget(const RetryBudgetLimits& limits, Instant started_at)
      : limits_(limits), filled_at_(started_at) {}

  /// Counts a request's first attempt, which increases the budget.
  /// @param gateways that share the budget, including this one.
  void CountRequest(std::uint32_t gateways, Instant now);
  /// Takes back a request that was counted at `counted`: another gateway makes its first attempt.
  void WithdrawRequest(Instant counted);

  /// Takes a token for a retry. Until the retry is spent or released it takes up room in the
  /// bucket, so that retries which are sent late do not add to as many new ones.
  /// @param gateways that share the budget, including this one.
  /// @return false when nothing is left.
  bool Reserve(std::uint32_t gateways, Instant now);
  /// The attempt of a reserved retry ended.
  void Spend(Instant now);
  /// A reserved retry was not sent and never will be: its token is returned.
  void Release();

  const RetryBudgetCounts& counts() const { return counts_; }
  /// The state, if it has changed since the last call. A budget becomes available again when a
  /// request or a retry comes a second or more after the last refusal.
  std::optional<RetryBudgetState> TakeStateChange();
  /// "requests 120, spent 18, reserved 1, tokens 0.4 of 9.2, gateways 4" for the log: the current
  /// window, what the bucket holds and could hold, and the last known number of gateways.
  std::string Describe(Instant now);

 private:
  /// A part of the current window.
  struct Slice {
    Instant start;
    double requests = 0;
    double spent = 0;
  };
  /// Sums over the current window.
  struct Usage {
    double requests = 0;
    double spent = 0;
  };

  Slice& Current(Instant now);
  Usage UsageAt(Instant now);
  /// This gateway's share of the usable extra.
  double ExtraShare() const;
  /// The most tokens that may be held or reserved.
  double Capacity(Instant now);
  /// Adds what time has added, and drops what the bucket cannot hold.
  void Fill(Instant now);
  void SetState(RetryBudgetState state);
  /// Leaves the exhausted state if the last refusal was long enough ago.
  void EndExhaustion(Instant now);

  const RetryBudgetLimits limits_;
  std::deque<Slice> slices_;
  double tokens_ = 0;
  Instant filled_at_;
  std::uint32_t reserved_ = 0;
  std::uint32_t gateways_ = 1;  ///< As last given.
  RetryBudgetCounts counts_;
  RetryBudgetState state_ = RetryBudgetState::kAvailable;
  bool state_changed_ = false;
  Instant last_refused_{};
};

}  // namespace graniteseam::gateway
