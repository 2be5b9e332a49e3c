#include "graniteseam/routing/request_state.h"

#include <algorithm>
#include <cmath>

#include "graniteseam/common/seeded_defects.h"

namespace graniteseam::routing {

RequestState::RequestState(RequestTraits traits, RetryOptions options, Instant start,
                           Instant deadline)
    : traits_(traits), options_(options), deadline_(std::max(start, deadline)) {}

bool RequestState::MaySend(Instant now) const {
  if (now + options_.time_left_minimum > deadline_) return false;
  return traits_.repeatable || (!may_have_run_ && in_flight_ == 0);
}

void RequestState::OnSent() {
  ++attempts_;
  ++in_flight_;
}

Decision RequestState::OnAttemptEnd(const AttemptResult& result, RetryBudget& budget, double jitter,
                                    Instant now) {
  if (in_flight_ > 0) --in_flight_;
  if (result.end == AttemptEnd::kAnswered) return {Step::kAnswer, {}, {}, {}};
  const bool timed_out_by_defect =
      result.end == AttemptEnd::kBroken && DefectOn(Defect::kNotRunAfterTimeout);
  if (!ProvenNotRun(result.end) && !timed_out_by_defect) {
    may_have_run_ = true;
    if (!traits_.repeatable) return GiveUpDecision(ErrorKind::kOutcomeUnknown);
  }
  if (in_flight_ > 0) return {Step::kWait, {}, {}, {}};
  if (result.end == AttemptEnd::kDeadlinePassed || !MaySend(now)) {
    return GiveUpDecision(ErrorKind::kDeadlineExceeded);
  }
  return Retry(result, budget, jitter, now);
}

Decision RequestState::Retry(const AttemptResult& result, RetryBudget& budget, double jitter,
                             Instant now) {
  // Only the owner can serve a key. Until the map or the owner's state changes, back-off bounds the
  // rate of retries and the hold bounds the total wait.
  if (traits_.keyed &&
      (result.end == AttemptEnd::kNotOwner || result.end == AttemptEnd::kNotReady ||
       result.end == AttemptEnd::kNotSent)) {
    return Hold(jitter, now);
  }
  const ErrorKind reason =
      result.end == AttemptEnd::kShed ? ErrorKind::kOverloaded : ErrorKind::kUnavailable;
  if (retries_ >= options_.retries_maximum || !budget.TryTake()) {
    return GiveUpDecision(reason, result.retry_after);
  }
  ++retries_;
  if (result.end == AttemptEnd::kNotSent || result.end == AttemptEnd::kNotReady) {
    return {Step::kSendAgain, now, reason, result.retry_after};
  }
  const Instant at = now + BackOff(jitter);
  if (at + options_.time_left_minimum > deadline_)
    return GiveUpDecision(reason, result.retry_after);
  return {Step::kBackOff, at, reason, result.retry_after};
}

bool RequestState::OnSuperseded(Instant now) {
  if (in_flight_ > 0) --in_flight_;
  may_have_run_ = true;
  return MaySend(now);
}

bool RequestState::TryHedge(RetryBudget& budget, Instant now) const {
  return traits_.hedging && traits_.repeatable && in_flight_ == 1 && MaySend(now) &&
         budget.TryTake();
}

Decision RequestState::Hold(double jitter, Instant now) {
  const Instant until = HoldUntil(now);
  if (now >= until) return GiveUpDecision(ErrorKind::kUnavailable);
  return {Step::kHold, std::min(until, now + BackOff(jitter)), ErrorKind::kUnavailable, {}};
}

RequestOutcome RequestState::GiveUp() {
  if (in_flight_ > 0) may_have_run_ = true;
  in_flight_ = 0;
  return may_have_run_ ? RequestOutcome::kOutcomeUnknown : RequestOutcome::kNotRun;
}

Instant RequestState::HoldDeadline(Instant now) const {
  const auto left = static_cast<double>((deadline_ - now).count());
  return now + Duration(std::llround(std::max(0.0, left * options_.hold_fraction)));
}

Duration RequestState::BackOff(double jitter) {
  constexpr std::uint32_t kDoublingsMaximum = 10;
  const Duration longest =
      std::min(options_.back_off_maximum,
               options_.back_off_first * (1U << std::min(waits_++, kDoublingsMaximum)));
  // Jitter between half and the full delay, so that requests that failed together do not retry
  // together.
  return longest / 2 + Duration(std::llround(jitter * static_cast<double>(longest.count()) / 2.0));
}

Instant RequestState::HoldUntil(Instant now) {
  if (!hold_until_) {
    hold_until_ = std::min(now + options_.hold_maximum, HoldDeadline(now));
  }
  return *hold_until_;
}

Decision RequestState::GiveUpDecision(ErrorKind reason, std::optional<Duration> retry_after) {
  return {Step::kGiveUp, {}, reason, retry_after};
}

}  // namespace graniteseam::routing
