// RequestFlow: ends requests and dispatches queued ones to the slots that become free.
#include <algorithm>
#include <utility>

#include "src/routing/live_request.h"
#include "src/routing/problem.h"
#include "src/routing/request_flow.h"

namespace graniteseam::routing {

namespace {

constexpr Duration kDispatchInterval{10'000};

}  // namespace

void RequestFlow::GiveUp(Live& live, ErrorKind reason, std::optional<Duration> retry_after,
                         Instant now, RouterEffects& effects) {
  GiveUp(live, Error{reason, {}, {}}, retry_after, now, effects);
}

void RequestFlow::GiveUp(Live& live, Error error, std::optional<Duration> retry_after, Instant now,
                         RouterEffects& effects) {
  RequestAnswer answer;
  answer.outcome = OutcomeOfGivingUp(live);
  const bool unknown = answer.outcome == RequestOutcome::kOutcomeUnknown;
  if (unknown && !live.state.may_have_run()) {
    answer.error = EarlierSendUnknown(
        error.message.empty() ? GiveUpError(error.kind, RequestOutcome::kNotRun) : error);
  } else if (unknown || error.message.empty()) {
    answer.error = GiveUpError(error.kind, answer.outcome);
  } else {
    answer.error = std::move(error);
  }
  answer.status = StatusOf(answer.error.kind, answer.outcome);
  answer.retry_after = retry_after.value_or(options_.retry_after);
  Finish(live, std::move(answer), now, effects);
}

RequestOutcome RequestFlow::OutcomeOfGivingUp(Live& live) const {
  const RequestOutcome outcome = live.state.GiveUp();
  // An earlier send of the same operation may have run, perhaps through another router. Only a
  // claim that the journal granted to this request proves that none did.
  const bool journal_asked = live.service->service().repeatable || live.claimed;
  if (outcome == RequestOutcome::kNotRun && !journal_asked) return RequestOutcome::kOutcomeUnknown;
  return outcome;
}

void RequestFlow::Finish(Live& live, RequestAnswer answer, Instant now, RouterEffects& effects) {
  answer.request = live.caller.number;
  Complete(live, answer);
  effects.answers.push_back(std::move(answer));
  End(live, now, effects);
}

void RequestFlow::Complete(const Live& live, const RequestAnswer& answer) {
  if (!live.claim) return;
  if (!live.claimed) {
    // No attempt was sent under the claim, and none will be.
    journal_.AbandonClaim(*live.claim);
    claims_.erase(*live.claim);
    return;
  }
  control::Completion completion;
  completion.operation = *live.caller.operation;
  completion.service = live.caller.service;
  completion.claim = *live.claim;
  switch (answer.outcome) {
    case RequestOutcome::kAnswered:
      completion.kind = control::CompletionKind::kAnswered;
      completion.answer = answer.kept;
      break;
    case RequestOutcome::kNotRun:
      completion.kind = control::CompletionKind::kNotRun;
      break;
    case RequestOutcome::kKept:
    case RequestOutcome::kOutcomeUnknown:
      completion.kind = control::CompletionKind::kUnknownOutcome;
      break;
  }
  journal_.AddCompletion(std::move(completion));
}

void RequestFlow::End(Live& live, Instant now, RouterEffects& effects) {
  for (const Flight& flight : live.flights) {
    effects.cancels.push_back(flight.number);
    live.service->selector().Unreserve(flight.server);
  }
  live.flights.clear();
  live.service->limiter().Withdraw(live.caller.number);
  ReleaseReservation(live);
  ReleaseGroupSlot(live, now);
  SetHeld(live, false);
  ClearTimer(live);
  RecordUsage(live, now);
  DispatchLater(live.service);
  live_.erase(live.caller.number);
}

void RequestFlow::ReleaseGroupSlot(Live& live, Instant now) {
  if (!live.has_group_slot) return;
  live.has_group_slot = false;
  live.service->limiter().Release(live.caller.group, now);
  RecordUsage(live, now);
  DispatchLater(live.service);
}

void RequestFlow::ReleaseReservation(Live& live) {
  if (!live.reserved) return;
  live.service->selector().Unreserve(*live.reserved);
  live.reserved.reset();
}

void RequestFlow::DispatchLater(const std::shared_ptr<ServiceRouter>& service) {
  if (std::find(to_dispatch_.begin(), to_dispatch_.end(), service) != to_dispatch_.end()) return;
  to_dispatch_.push_back(service);
}

void RequestFlow::DispatchAll(Instant now, RouterEffects& effects) {
  dispatch_at_.reset();
  for (const auto& [number, live] : live_) {
    if (live->phase == Live::Phase::kQueued) DispatchLater(live->service);
  }
  Dispatch(now, effects);
}

void RequestFlow::Dispatch(Instant now, RouterEffects& effects) {
  if (dispatching_) return;
  dispatching_ = true;
  // An admitted request may end at once and free its slot for the next one.
  while (!to_dispatch_.empty()) {
    const std::shared_ptr<ServiceRouter> service = std::move(to_dispatch_.front());
    to_dispatch_.pop_front();
    if (service->limiter().QueuedTotal() == 0) continue;
    for (const admission::Lane lane : service->limiter().WaitingLanes()) {
      for (const RequestNumber number :
           service->limiter().Dispatch(lane, service->AvailableSlotsInLane(lane, now))) {
        OnAdmitted(*live_.at(number), now, effects);
      }
    }
    // Ejections and pauses of servers expire without an event.
    const bool waiting = service->limiter().QueuedTotal() > 0;
    if (waiting && !dispatch_at_) dispatch_at_ = now + kDispatchInterval;
  }
  dispatching_ = false;
}

}  // namespace graniteseam::routing
