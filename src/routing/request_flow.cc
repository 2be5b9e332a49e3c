#include "src/routing/request_flow.h"

#include <algorithm>

#include "src/routing/live_request.h"
#include "src/routing/problem.h"
#include "src/routing/random.h"

namespace graniteseam::routing {

RequestFlow::RequestFlow(const RoutingTable& table, JournalBatcher& journal, const SendGuard& guard,
                         RetryOptions options, std::uint64_t seed)
    : table_(table), journal_(journal), guard_(guard), options_(options), random_(seed) {
  attempt_prefix_ = HexOf(NextRandom()) + "-";
}

RequestFlow::~RequestFlow() = default;

void RequestFlow::Begin(const CallerRequest& request, std::shared_ptr<ServiceRouter> service,
                        Instant now, RouterEffects& effects) {
  const bundle::Service& settings = service->service();
  const Duration longest = std::chrono::milliseconds(settings.deadline_maximum_ms);
  const Duration asked =
      request.deadline.value_or(Duration(std::chrono::milliseconds(settings.deadline_ms)));
  const RequestTraits traits{settings.repeatable, service->keyed(), settings.hedging};
  std::unique_ptr<Live>& slot = live_[request.number];
  slot = std::make_unique<Live>(request, std::move(service), traits, options_, now,
                                now + std::min(asked, longest));
  Live& live = *slot;
  live.service->OnOffered(request.group);
  if (live.service->keyed()) {
    live.shard = ShardOfKey(*request.key, live.service->service().shard_count);
  }
  if (live.state.MaySend(now)) {
    OfferToLimiter(live, now, effects);
  } else {
    GiveUp(live, ErrorKind::kDeadlineExceeded, std::nullopt, now, effects);
  }
  Dispatch(now, effects);
}

void RequestFlow::OnAttemptEnd(const AttemptResult& result, Instant now, RouterEffects& effects) {
  const auto found = live_.find(result.request);
  if (found == live_.end()) return;  // Already answered: ignore the late end.
  Live& live = *found->second;
  const auto flight =
      std::find_if(live.flights.begin(), live.flights.end(),
                   [&](const Flight& candidate) { return candidate.number == result.attempt; });
  if (flight == live.flights.end()) return;  // Already cancelled.
  const Flight ended = *flight;
  live.flights.erase(flight);
  ServiceRouter& service = *live.service;
  service.selector().OnEnd(ended.server, result.end, result.status, now - ended.sent_at, now);
  if (service.keyed() && result.end == AttemptEnd::kAnswered) {
    service.RecordShardLoad(live.shard, now - ended.sent_at);
  }
  if (result.end != AttemptEnd::kAnswered) {
    live.avoided.push_back(ended.server);
    live.failed_epoch = ended.epoch;
  }
  DispatchLater(live.service);
  Decide(live, live.state.OnAttemptEnd(result, service.budget(live.caller.group), Jitter(), now),
         result, now, effects);
  Dispatch(now, effects);
}

void RequestFlow::Decide(Live& live, const Decision& decision, const AttemptResult& result,
                         Instant now, RouterEffects& effects) {
  switch (decision.step) {
    case Step::kWait:
      return;
    case Step::kAnswer: {
      RequestAnswer answer;
      answer.outcome = RequestOutcome::kAnswered;
      answer.attempt = result.attempt;
      answer.kept = result.answer;
      Finish(live, std::move(answer), now, effects);
      return;
    }
    case Step::kGiveUp:
      GiveUp(live, decision.reason, decision.retry_after, now, effects);
      return;
    case Step::kSendAgain:
      ReleaseGroupSlot(live, now);
      OfferToLimiter(live, now, effects);
      return;
    case Step::kBackOff:
    case Step::kHold:
      // Other requests may use the slot during the wait.
      ReleaseGroupSlot(live, now);
      SetHeld(live, true);
      SetTimer(live, decision.at);
      return;
  }
}

void RequestFlow::OnCallerGone(RequestNumber number, Instant now, RouterEffects& effects) {
  const auto found = live_.find(number);
  if (found == live_.end()) return;
  Live& live = *found->second;
  if (!live.service->service().repeatable && !live.flights.empty()) return;
  GiveUp(live, ErrorKind::kDeadlineExceeded, std::nullopt, now, effects);
  Dispatch(now, effects);
}

void RequestFlow::OnTableChanged(Instant now, RouterEffects& effects) {
  std::vector<RequestNumber> affected;
  for (const auto& [number, live] : live_) {
    if (!live->service->keyed()) continue;
    const Route& route = table_.Find(live->service->service().name, live->shard);
    const bool usable = route.state == control::ShardState::kAssigned;
    const bool newer = !live->flights.empty() && live->flights.front().epoch < route.epoch;
    switch (live->phase) {
      case Live::Phase::kHeld:
        if (usable && route.epoch != live->failed_epoch) affected.push_back(number);
        break;
      case Live::Phase::kQueued:
        if (!usable || live->service->selector().LaneOf(route.owner) != live->lane) {
          affected.push_back(number);
        }
        break;
      case Live::Phase::kSending:
        if (usable && newer && live->service->service().repeatable) affected.push_back(number);
        break;
      case Live::Phase::kNew:
      case Live::Phase::kClaiming:  // Checks the route again before sending.
        break;
    }
  }
  std::sort(affected.begin(), affected.end());
  for (const RequestNumber number : affected) {
    const auto found = live_.find(number);
    if (found == live_.end()) continue;
    Live& live = *found->second;
    if (live.phase == Live::Phase::kSending) {
      Supersede(live, now, effects);
      continue;
    }
    live.service->limiter().Withdraw(number);
    OfferToLimiter(live, now, effects);
  }
  DispatchAll(now, effects);
}

void RequestFlow::Supersede(Live& live, Instant now, RouterEffects& effects) {
  // The old owner's lease has expired or it released the shard: its answer may never arrive.
  bool may_send = true;
  for (const Flight& flight : live.flights) {
    effects.cancels.push_back(flight.number);
    live.service->selector().Unreserve(flight.server);
    may_send = live.state.OnSuperseded(now);
  }
  live.flights.clear();
  ReleaseGroupSlot(live, now);
  if (may_send) {
    OfferToLimiter(live, now, effects);
  } else {
    GiveUp(live, ErrorKind::kDeadlineExceeded, std::nullopt, now, effects);
  }
}

void RequestFlow::Tick(Instant now, RouterEffects& effects) {
  while (!timers_.empty() && timers_.begin()->first <= now) {
    const RequestNumber number = timers_.begin()->second;
    timers_.erase(timers_.begin());
    Live& live = *live_.at(number);
    live.timer.reset();
    OnTimer(live, now, effects);
  }
  if (dispatch_at_ && *dispatch_at_ <= now) DispatchAll(now, effects);
  Dispatch(now, effects);
}

void RequestFlow::OnTimer(Live& live, Instant now, RouterEffects& effects) {
  switch (live.phase) {
    case Live::Phase::kQueued:
      GiveUp(live, ErrorKind::kOverloaded, live.service->limiter().ExpectedWait(live.caller.group),
             now, effects);
      return;
    case Live::Phase::kHeld:
      OfferToLimiter(live, now, effects);
      return;
    case Live::Phase::kClaiming:
      GiveUp(live, JournalTimedOut(), std::nullopt, now, effects);
      return;
    case Live::Phase::kSending:
      Hedge(live, now, effects);
      return;
    case Live::Phase::kNew:
      return;
  }
}

std::optional<Instant> RequestFlow::NextTick() const {
  if (timers_.empty()) return dispatch_at_;
  const Instant timer = timers_.begin()->first;
  return dispatch_at_ ? std::min(*dispatch_at_, timer) : timer;
}

void RequestFlow::SetTimer(Live& live, Instant until) {
  ClearTimer(live);
  live.timer = until;
  timers_.emplace(until, live.caller.number);
}

void RequestFlow::ClearTimer(Live& live) {
  if (live.timer) timers_.erase({*live.timer, live.caller.number});
  live.timer.reset();
}

void RequestFlow::SetHeld(Live& live, bool held) {
  const bool was_held = live.phase == Live::Phase::kHeld;
  if (was_held != held) {
    live.service->AddHeld(live.caller.group, held ? 1 : -1);
    held_ = held ? held_ + 1 : held_ - 1;
  }
  if (held) {
    live.phase = Live::Phase::kHeld;
  } else if (was_held) {
    live.phase = Live::Phase::kNew;
  }
}

void RequestFlow::RecordUsage(Live& live, Instant now) {
  live.service->RecordUsage(live.caller.group, now);
}

double RequestFlow::Jitter() {
  constexpr double kScale = 1.0 / 18446744073709551616.0;  // 2^-64
  return static_cast<double>(NextRandom()) * kScale;
}

std::uint64_t RequestFlow::NextRandom() { return SplitMix64(random_); }

}  // namespace graniteseam::routing
