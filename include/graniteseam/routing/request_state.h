/// @file
/// What happens next to one request: the one place that decides between sending, waiting, trying
/// again, and each of the answers. See docs/design/retries.md.
#pragma once

#include <cstdint>
#include <optional>

#include "graniteseam/common/error.h"
#include "graniteseam/common/time.h"
#include "graniteseam/routing/messages.h"
#include "graniteseam/routing/retry_budget.h"

namespace graniteseam::routing {

/// What a decision depends on besides events.
struct RequestTraits {
  bool repeatable = false;
  bool keyed = false;
  bool hedging = false;
};

struct RetryOptions {
  Duration back_off_first{2'000};
  Duration back_off_maximum{50'000};
  Duration hold_maximum{2'000'000};  ///< For a shard without a usable owner.
  double hold_fraction = 0.75;  ///< Of the time left; the rest is the caller's, to go elsewhere.
  Duration time_left_minimum{1'000};  ///< With less left no attempt is begun.
  Duration retry_after{200'000};      ///< Told with not_run where nothing better is known.
  std::uint32_t retries_maximum =
      3;  ///< Under the budget; waiting for an owner is bounded by time.
};

enum class Step {
  kSendAgain,  ///< At once, to another server where there is one.
  kBackOff,    ///< Send again at `at`.
  kHold,       ///< Wait for the map to change, look again at `at`.
  kWait,       ///< Another attempt is still in flight.
  kAnswer,     ///< The server's answer is the request's.
  kGiveUp,     ///< Answer as GiveUp() says.
};

struct Decision {
  Step step = Step::kWait;
  Instant at{};
  ErrorKind reason = ErrorKind::kUnavailable;  ///< For kGiveUp.
  std::optional<Duration> retry_after;         ///< What the server asked for.
};

/// Follows one request.
///
/// Invariants: `not_run` is decided only while every attempt that ended provably did not run and
/// none is in flight; a request that may not be repeated is never sent again after an attempt that
/// may have run, and never has two attempts in flight; nothing is sent after the deadline.
/// Not thread safe. Takes its randomness as an argument.
class RequestState {
 public:
  RequestState(RequestTraits traits, RetryOptions options, Instant start, Instant deadline);

  Instant deadline() const { return deadline_; }
  bool may_have_run() const { return may_have_run_; }
  std::uint32_t in_flight() const { return in_flight_; }
  std::uint32_t attempts() const { return attempts_; }

  /// Whether an attempt may begin now.
  bool MaySend(Instant now) const;
  void OnSent();

  /// @param jitter in [0, 1), random.
  Decision OnAttemptEnd(const AttemptResult& result, RetryBudget& budget, double jitter,
                        Instant now);

  /// An attempt is not awaited any more, since the shard has a new owner; it may have run.
  /// @return whether the request may be sent again.
  bool OnSuperseded(Instant now);

  /// Whether to send a second attempt beside the first now; takes it out of the budget.
  bool TryHedge(RetryBudget& budget, Instant now) const;

  /// Asks to wait for a usable owner.
  Decision Hold(double jitter, Instant now);

  /// Until when something outside may be waited for; what is left then is the caller's, to go
  /// elsewhere.
  Instant HoldDeadline(Instant now) const;

  /// The outcome of giving up for `reason` now. Attempts in flight must be cancelled; they count as
  /// may have run.
  RequestOutcome GiveUp();

 private:
  Decision Retry(const AttemptResult& result, RetryBudget& budget, double jitter, Instant now);
  Duration BackOff(double jitter);
  Instant HoldUntil(Instant now);
  static Decision GivingUp(ErrorKind reason, std::optional<Duration> retry_after = std::nullopt);

  RequestTraits traits_;
  RetryOptions options_;
  Instant deadline_;
  std::uint32_t attempts_ = 0;
  std::uint32_t in_flight_ = 0;
  std::uint32_t retries_ = 0;
  std::uint32_t waits_ = 0;
  bool may_have_run_ = false;
  std::optional<Instant> hold_until_;
};

}  // namespace graniteseam::routing
