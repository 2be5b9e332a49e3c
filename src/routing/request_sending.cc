// RequestFlow: admits requests, claims operations, chooses servers and sends attempts.
#include <algorithm>

#include "graniteseam/common/seeded_defects.h"
#include "src/routing/live_request.h"
#include "src/routing/problem.h"
#include "src/routing/request_flow.h"

namespace graniteseam::routing {

void RequestFlow::OfferToLimiter(Live& live, Instant now, RouterEffects& effects) {
  SetHeld(live, false);
  ClearTimer(live);
  ServiceRouter& service = *live.service;
  admission::Lane lane = 0;
  if (service.keyed()) {
    const Route& route = table_.Find(service.service().name, live.shard);
    lane = service.selector().LaneOf(route.owner);
    if (route.state != control::ShardState::kAssigned || lane == 0) {
      Hold(live, now, effects);
      return;
    }
  }
  live.lane = lane;
  const admission::OfferResult offer =
      service.limiter().Offer({live.caller.number, live.caller.group, lane, live.state.deadline()},
                              service.AvailableSlotsInLane(lane, now), now);
  if (offer.displaced) {
    GiveUp(*live_.at(*offer.displaced), ErrorKind::kOverloaded, offer.retry_after, now, effects);
  }
  switch (offer.verdict) {
    case admission::Verdict::kAdmitted:
      OnAdmitted(live, now, effects);
      return;
    case admission::Verdict::kQueued:
      live.phase = Live::Phase::kQueued;
      SetTimer(live, offer.give_up_at);
      RecordUsage(live, now);
      return;
    case admission::Verdict::kRefused:
      GiveUp(live, ErrorKind::kOverloaded, offer.retry_after, now, effects);
      return;
  }
}

void RequestFlow::OnAdmitted(Live& live, Instant now, RouterEffects& effects) {
  ClearTimer(live);
  live.has_group_slot = true;
  RecordUsage(live, now);
  const std::optional<ServerId> server = ChooseServer(live, now);
  if (!server) {
    ReleaseGroupSlot(live, now);
    Hold(live, now, effects);
    return;
  }
  live.service->selector().Reserve(*server);
  live.reserved = server;
  if (live.service->service().repeatable || live.claimed || DefectOn(Defect::kClaimAfterSend)) {
    SendReserved(live, now, effects);
  } else {
    Claim(live, now);
  }
}

std::optional<ServerId> RequestFlow::ChooseServer(Live& live, Instant now) {
  ServerSelector& selector = live.service->selector();
  if (!live.service->keyed()) return selector.Choose(live.avoided, now);
  const Route& route = table_.Find(live.service->service().name, live.shard);
  if (route.state != control::ShardState::kAssigned || !selector.HasServer(route.owner)) {
    return std::nullopt;
  }
  if (selector.DrainedForLong(route.owner, now)) return std::nullopt;
  return route.owner;
}

void RequestFlow::Claim(Live& live, Instant now) {
  live.phase = Live::Phase::kClaiming;
  live.claim = NextRandom();
  claims_[*live.claim] = live.caller.number;
  journal_.AddClaim({*live.caller.operation, live.caller.service, live.caller.group,
                     live.caller.request_digest, *live.claim});
  SetTimer(live, live.state.HoldDeadline(now));
}

void RequestFlow::OnClaimResult(const control::ClaimResult& result, Instant now,
                                RouterEffects& effects) {
  const auto waiting = claims_.find(result.claim);
  if (waiting == claims_.end()) return;
  Live& live = *live_.at(waiting->second);
  claims_.erase(waiting);
  ClearTimer(live);
  if (result.verdict == control::ClaimVerdict::kClaimed) {
    live.claimed = true;
    SendReserved(live, now, effects);
    Dispatch(now, effects);
    return;
  }
  live.claim.reset();
  RequestAnswer answer;
  if (result.verdict == control::ClaimVerdict::kAnswered && result.answer) {
    answer.outcome = RequestOutcome::kKept;
    answer.kept = result.answer;
  } else {
    answer.error = ClaimRefused(result.verdict);
    const bool unknown = answer.error.kind == ErrorKind::kOutcomeUnknown;
    answer.outcome = unknown ? RequestOutcome::kOutcomeUnknown : RequestOutcome::kNotRun;
    answer.status = StatusOf(answer.error.kind, answer.outcome);
    answer.retry_after = options_.retry_after;
  }
  Finish(live, std::move(answer), now, effects);
  Dispatch(now, effects);
}

void RequestFlow::SendReserved(Live& live, Instant now, RouterEffects& effects) {
  // Lease and bundle are checked again before each send: they may have changed since the request
  // arrived, and a request must not be sent under rules that are no longer in force.
  if (const std::optional<Error> refusal = guard_.Refusal(live.caller, now)) {
    GiveUp(live, *refusal, options_.retry_after, now, effects);
    return;
  }
  if (!live.state.MaySend(now)) {
    GiveUp(live, ErrorKind::kDeadlineExceeded, std::nullopt, now, effects);
    return;
  }
  if (!ReservationValid(live, now)) {
    ReleaseReservation(live);
    ReleaseGroupSlot(live, now);
    OfferToLimiter(live, now, effects);
    return;
  }
  Send(live, now, effects);
}

bool RequestFlow::ReservationValid(const Live& live, Instant now) const {
  if (!live.service->keyed()) return live.service->selector().AcceptsNewWork(*live.reserved);
  const Route& route = table_.Find(live.service->service().name, live.shard);
  return route.state == control::ShardState::kAssigned && route.owner == *live.reserved &&
         !live.service->selector().DrainedForLong(*live.reserved, now);
}

void RequestFlow::Send(Live& live, Instant now, RouterEffects& effects) {
  ServiceRouter& service = *live.service;
  Flight flight;
  flight.number = ++attempts_;
  flight.server = *live.reserved;
  flight.sent_at = now;
  live.reserved.reset();
  live.phase = Live::Phase::kSending;
  AttemptSend send;
  if (service.keyed()) {
    flight.epoch = table_.Find(service.service().name, live.shard).epoch;
    send.shard = live.shard;
    send.epoch = flight.epoch;
  }
  if (live.state.attempts() == 0) {
    service.budget(live.caller.group).OnFirstAttempt();
  } else {
    ++retries_;
  }
  live.state.OnSent();
  send.request = live.caller.number;
  send.attempt = flight.number;
  send.attempt_header = attempt_prefix_ + std::to_string(flight.number);
  send.server = flight.server;
  send.address = service.selector().AddressOf(flight.server);
  send.sent_at = now;
  send.give_up_at = live.state.deadline();
  send.keep_answer = live.claimed;
  send.hedged = service.service().hedging && service.service().repeatable && !service.keyed();
  live.flights.push_back(std::move(flight));
  if (send.hedged && live.flights.size() == 1) {
    if (const std::optional<Duration> slow = service.selector().SlowAnswerThreshold()) {
      SetTimer(live, now + *slow);
    }
  }
  effects.sends.push_back(std::move(send));
  if (DefectOn(Defect::kClaimAfterSend) && live.caller.operation) {
    journal_.AddClaim({*live.caller.operation, live.caller.service, live.caller.group,
                       live.caller.request_digest, NextRandom()});
  }
}

void RequestFlow::Hedge(Live& live, Instant now, RouterEffects& effects) {
  if (live.flights.size() != 1 || guard_.Refusal(live.caller, now)) return;
  std::vector<ServerId> avoided = live.avoided;
  avoided.push_back(live.flights.front().server);
  ServerSelector& selector = live.service->selector();
  const std::optional<ServerId> other = selector.Choose(avoided, now);
  if (!other || *other == live.flights.front().server) return;
  if (!live.state.TryHedge(live.service->budget(live.caller.group), now)) return;
  selector.Reserve(*other);
  live.reserved = other;
  ++hedges_;
  Send(live, now, effects);
}

void RequestFlow::Hold(Live& live, Instant now, RouterEffects& effects) {
  const Decision decision = live.state.Hold(Jitter(), now);
  if (decision.step == Step::kGiveUp) {
    GiveUp(live, decision.reason, std::nullopt, now, effects);
    return;
  }
  SetHeld(live, true);
  SetTimer(live, decision.at);
  RecordUsage(live, now);
}

}  // namespace graniteseam::routing
