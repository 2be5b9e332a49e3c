/// @file
/// State machine of one request: the single place that decides whether to send, wait, retry or
/// answer. See docs/design/retries.md.
#pragma once

#include <cstdint>
#include <optional>

#include "graniteseam/common/error.h"
#include "graniteseam/common/time.h"
#include "graniteseam/routing/messages.h"
#include "graniteseam/routing/retry_budget.h"

namespace graniteseam::routing {

/// Properties of the request and its service that decisions depend on.
struct RequestTraits {
  bool repeatable = false;
  bool keyed = false;
  bool hedging = false;
};

/// Limits on retries and waits.
struct RetryOptions {
  Duration back_off_first{2'000};
  Duration back_off_maximum{50'000};
  Duration hold_maximum{2'000'000};  ///< Longest wait for a usable shard owner.
  double hold_fraction = 0.75;       ///< Of the time left; the caller keeps the rest to try another
                                     ///< router.
  Duration time_left_minimum{1'000};  ///< No attempt starts with less time left.
  Duration retry_after{200'000};      ///< Retry-After for not_run when no server named one.
  std::uint32_t retries_maximum =
      3;  ///< In addition to the budget; waits for an owner are bounded by time instead.
};

/// The next action for a request.
enum class Step {
  kSendAgain,  ///< Retry at once, on another server if there is one.
  kBackOff,    ///< Retry at `at`.
  kHold,       ///< Wait for a shard map change; check again at `at`.
  kWait,       ///< Another attempt is still in flight.
  kAnswer,     ///< Return the server's answer.
  kGiveUp,     ///< Answer with the outcome of GiveUp().
};

/// A step with its time and reason.
struct Decision {
  Step step = Step::kWait;
  Instant at{};
  ErrorKind reason = ErrorKind::kUnavailable;  ///< For kGiveUp.
  std::optional<Duration> retry_after;         ///< Requested by the server.
};

/// Tracks the attempts of one request and decides its next step.
///
/// Invariants: `not_run` is decided only while every attempt that ended provably did not run and
/// none is in flight; a request that may not be repeated is never sent again after an attempt that
/// may have run, and never has two attempts in flight; nothing is sent after the deadline.
/// Not thread safe. Deterministic: random values are passed in.
class RequestState {
 public:
  RequestState(RequestTraits traits, RetryOptions options, Instant start, Instant deadline);

  Instant deadline() const { return deadline_; }
  bool may_have_run() const { return may_have_run_; }
  std::uint32_t in_flight() const { return in_flight_; }
  std::uint32_t attempts() const { return attempts_; }

  /// Whether an attempt may start now.
  bool MaySend(Instant now) const;
  void OnSent();

  /// @param jitter in [0, 1), random.
  Decision OnAttemptEnd(const AttemptResult& result, RetryBudget& budget, double jitter,
                        Instant now);

  /// Abandons an attempt because the shard has a new owner; the attempt may have run.
  /// @return whether the request may be sent again.
  bool OnSuperseded(Instant now);

  /// Whether to send a second, concurrent attempt now; if so, takes one retry out of the budget.
  bool TryHedge(RetryBudget& budget, Instant now) const;

  /// Decides how long to wait for a usable shard owner, or to give up.
  Decision Hold(double jitter, Instant now);

  /// The latest time to wait for a shard owner or the journal. The caller keeps the time that
  /// remains after it to try another router.
  Instant HoldDeadline(Instant now) const;

  /// Ends the request and returns its outcome. The caller must cancel the attempts in flight; they
  /// count as possibly run.
  RequestOutcome GiveUp();

 private:
  Decision Retry(const AttemptResult& result, RetryBudget& budget, double jitter, Instant now);
  Duration BackOff(double jitter);
  Instant HoldUntil(Instant now);
  static Decision GiveUpDecision(ErrorKind reason,
                                 std::optional<Duration> retry_after = std::nullopt);

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
