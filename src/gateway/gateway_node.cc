#include "src/gateway/gateway_node.h"

#include <algorithm>
#include <cmath>
#include <string>
#include <utility>

namespace graniteseam::gateway {
namespace {

using traffic::RangePhase;
using traffic::RouteKind;

constexpr int kBadGateway = 502;
constexpr int kUnavailable = 503;
constexpr int kGatewayTimeout = 504;
constexpr int kNotFound = 404;
constexpr int kBadRequest = 400;

/// Requests for one key between two polls that control should know of at once.
constexpr std::uint32_t kUrgentRequests = 3;
/// Speeds change slowly: one poll in so many tells them.
constexpr std::uint64_t kPollsPerSpeeds = 4;
/// A request may be held for this part of its target latency before it is offered to a server. What
/// is refused so early may still be served in time when the caller comes back.
constexpr int kHoldPartOfTarget = 5;
/// A request for a key, or one read before the first configuration, may be held for this part of
/// the time that its caller gave: nobody else can do better, and a caller that comes back finds the
/// same. Less than half, so that one which
/// is refused in the end has time for another try.
constexpr double kHoldPartOfTime = 0.4;
/// Between two looks at an owner that has no room. What others have there fades by itself.
constexpr Duration kOwnerLook{25'000};
constexpr Duration kHoldWithoutTarget{100'000};
/// Between two looks at a key whose owner refused it.
constexpr Duration kOwnerRetry{30'000};
/// How long an owner that said it is none is left alone.
constexpr Duration kDisowned{400'000};
/// Connections that failed before one request is given up.
constexpr std::uint32_t kUnsentMaximum = 3;
/// When to come back: after this part of the time that the caller has left. Sooner, it would mostly
/// find what it found before; callers with little time may try only once.
constexpr int kRetryAfterPartOfTimeLeft = 4;
constexpr Duration kRetryAfterMinimum{20'000};
constexpr Duration kRetryAfterMaximum{1'000'000};

Duration PartOf(Duration whole, double part) {
  return Duration(std::llround(static_cast<double>(whole.count()) * part));
}

/// Statuses by which a server would promise that a request did not run; without the mark that says
/// so they promise nothing.
bool IsPromise(int status) {
  return status == 408 || status == 421 || status == 429 || status == 503;
}

int StatusOf(RefusalReason reason) {
  switch (reason) {
    case RefusalReason::kNoRoute:
      return kNotFound;
    case RefusalReason::kBadKey:
      return kBadRequest;
    case RefusalReason::kOutcomeUnknown:
      return kBadGateway;
    default:
      return kUnavailable;
  }
}

}  // namespace

std::string_view ReasonName(RefusalReason reason) {
  switch (reason) {
    case RefusalReason::kNoConfiguration:
      return "no_configuration";
    case RefusalReason::kNoRoute:
      return "no_route";
    case RefusalReason::kBadKey:
      return "bad_key";
    case RefusalReason::kNoServer:
      return "no_server";
    case RefusalReason::kNoOwner:
      return "no_owner";
    case RefusalReason::kOwnerFails:
      return "owner_fails";
    case RefusalReason::kStaleOwner:
      return "stale_owner";
    case RefusalReason::kOverloaded:
      return "overloaded";
    case RefusalReason::kDeadline:
      return "deadline";
    case RefusalReason::kBudget:
      return "retry_budget";
    case RefusalReason::kAttemptsUsed:
      return "attempts_used";
    case RefusalReason::kOutcomeUnknown:
      return "outcome_unknown";
  }
  return "unknown";
}

GatewayNode::GatewayNode(GatewayOptions options, std::uint64_t seed)
    : options_(std::move(options)), routes_(seed), backends_(options_.backends, seed) {}

// --- Entry points ---

GatewayEffects GatewayNode::OnUpdate(const traffic::TrafficUpdate& update, Instant now) {
  if (update.routers > 0) gateways_ = update.routers;
  const bool fits = update.base == 0 || update.base <= version_;
  // Invariant: never back to an older state. An update that leaves a gap is asked for again by
  // poll.
  if (update.version <= version_ || !fits) {
    if (update.version == version_) backends_.Confirm(now);
    return Finish();
  }
  routes_.Apply(update);
  backends_.Apply(update, now);
  backends_.Confirm(now);
  keys_.Apply(update);
  if (update.base == 0) services_.clear();
  for (const ServiceName& name : update.removed_services) services_.erase(name);
  for (const traffic::Service& service : update.services) services_[service.name] = service;
  if (update.limits) limits_ = *update.limits;
  backends_.ShareConnections(services_, GatewayCount());
  version_ = update.version;
  configuration_ = update.configuration;
  Note({}, "update", {},
       "version " + std::to_string(version_) + ", configuration " +
           std::to_string(configuration_.value) + ", routes " +
           std::to_string(update.routes.size()) + ", instances " +
           std::to_string(update.instances.size()) + ", ranges " +
           std::to_string(update.ranges.size()) + ", gateways " + std::to_string(gateways_));
  if (Ready()) AdmitUnrouted(now);
  ServeAllWaiting(now);
  return Finish();
}

GatewayEffects GatewayNode::OnRequest(const ArrivedRequest& arrived, Instant now) {
  LiveRequest& request = requests_[arrived.number];
  request.arrived = arrived;
  request.received = now;
  request.hold_from = now;
  Admit(request, now);
  return Finish();
}

void GatewayNode::Admit(LiveRequest& request, Instant now) {
  const ArrivedRequest& arrived = request.arrived;
  if (!Ready()) return AwaitConfiguration(request, now);
  const traffic::Route* route = routes_.Find(arrived.host, arrived.path);
  if (route == nullptr) return EndWithoutRun(request, RefusalReason::kNoRoute, now);
  const auto service = routes_.NextService(*route);
  if (!service) return EndWithoutRun(request, RefusalReason::kNoServer, now);
  request.kind = route->kind;
  request.service = *service;
  request.priority = route->priority;
  request.target_latency = std::chrono::milliseconds(route->target_latency_ms);
  request.attempts_maximum =
      static_cast<std::uint32_t>(std::max<std::int64_t>(1, route->attempts_maximum));
  const Duration timeout = std::chrono::milliseconds(route->timeout_ms);
  request.give_up =
      request.received + std::min(arrived.time_left - options_.answer_margin, timeout);
  if (Keyed(*service)) {
    if (!arrived.key || *arrived.key > traffic::kLastKey) {
      return EndWithoutRun(request, RefusalReason::kBadKey, now);
    }
    CountKey(*service, *arrived.key);
  }
  BudgetOf(*service).CountRequest(now);
  if (now >= request.give_up) return EndWithoutRun(request, RefusalReason::kDeadline, now);
  ServiceQueue& queue = queues_[*service];
  if (queue.waiting.size() >= options_.waiting_maximum) {
    return EndWithoutRun(request, RefusalReason::kOverloaded, now);
  }
  request.waiting = true;
  queue.waiting.insert({request.priority, arrived.number});
  ServeWaiting(*service, now);
}

/// A gateway that has just started will know its routes in a moment, and its neighbours may have
/// started with it: a caller that is refused finds no better one.
void GatewayNode::AwaitConfiguration(LiveRequest& request, Instant now) {
  request.give_up = request.received + PartOf(request.arrived.time_left, kHoldPartOfTime);
  if (unrouted_.size() >= options_.waiting_maximum || now >= request.give_up) {
    return EndWithoutRun(request, RefusalReason::kNoConfiguration, now);
  }
  unrouted_.insert(request.arrived.number);
  SetTimer(request, request.give_up);
}

void GatewayNode::AdmitUnrouted(Instant now) {
  for (const RequestNumber number : std::exchange(unrouted_, {})) {
    LiveRequest& request = requests_.at(number);
    SetTimer(request, {});
    request.hold_from = now;
    Admit(request, now);
  }
}

GatewayEffects GatewayNode::OnAttemptEnd(const AttemptReport& report, Instant now) {
  const auto found = requests_.find(report.request);
  const bool current = found != requests_.end() && found->second.open &&
                       found->second.open->number == report.attempt;
  if (!current) return Finish();
  LiveRequest& request = found->second;
  const ServiceName service = request.service;
  backends_.OnEnded(request.open->instance, report, now - request.open->sent_at, now);
  TakeEnd(request, report, now);
  ServeWaiting(service, now);
  return Finish();
}

GatewayEffects GatewayNode::OnCallerGone(RequestNumber number, Instant now) {
  const auto found = requests_.find(number);
  if (found == requests_.end()) return Finish();
  LiveRequest& request = found->second;
  const ServiceName service = request.service;
  Note(number, "caller_gone", request.open ? request.open->instance : traffic::InstanceId{}, "");
  Forget(request);
  ServeWaiting(service, now);
  return Finish();
}

GatewayEffects GatewayNode::Tick(Instant now) {
  while (!timers_.empty() && timers_.begin()->first <= now) {
    const RequestNumber number = timers_.begin()->second;
    timers_.erase(timers_.begin());
    LiveRequest& request = requests_.at(number);
    request.timer = {};
    const ServiceName service = request.service;
    if (now >= request.give_up) GiveUp(request, now);
    ServeWaiting(service, now);
  }
  return Finish();
}

Instant GatewayNode::NextTick() const {
  return timers_.empty() ? Instant::max() : timers_.begin()->first;
}

traffic::TrafficPoll GatewayNode::TakePoll() {
  traffic::TrafficPoll poll;
  poll.router = options_.id;
  poll.zone = options_.backends.zone;
  poll.sequence = ++poll_sequence_;
  poll.version = version_;
  const bool tell_speeds = poll_sequence_ % kPollsPerSpeeds == 0;
  for (const auto& [service, keys] : key_loads_) {
    traffic::ServiceLoads& loads = poll.loads.emplace_back();
    loads.service = service;
    for (const auto& [key, requests] : keys) loads.keys.push_back({key, requests});
    backends_.TakeSpeeds(service, tell_speeds, poll.speeds);
  }
  key_loads_.clear();
  load_is_urgent_ = false;
  return poll;
}

// --- Sending ---

GatewayNode::Step GatewayNode::TryNext(LiveRequest& request, Instant now) {
  if (now < request.not_before) return Step::kWaits;
  return Keyed(request.service) ? TryOwner(request, now) : TryPool(request, now);
}

GatewayNode::Step GatewayNode::TryOwner(LiveRequest& request, Instant now) {
  const traffic::KeyRange* range = keys_.Find(request.service, *request.arrived.key);
  const Backend* owner = range != nullptr && range->phase == RangePhase::kServing
                             ? backends_.Find(range->owner)
                             : nullptr;
  const auto wait_for = [&](RefusalReason reason) { return WaitForOwner(request, reason, now); };
  if (owner == nullptr || backends_.DrainedForLong(*owner, now)) {
    return wait_for(RefusalReason::kNoOwner);
  }
  if (keys_.Disowned(*range, now)) {
    // This gateway's map is behind: the caller had better ask another one soon.
    return Wait(request, RefusalReason::kStaleOwner, request.target_latency / kHoldPartOfTarget,
                now);
  }
  if (now < owner->paused_until) return wait_for(RefusalReason::kOwnerFails);
  const bool room = InTime(request, now) ? backends_.HasRoom(*owner, request.target_latency, now)
                                         : backends_.HasFreeSlot(*owner, now);
  if (!room) return wait_for(RefusalReason::kOverloaded);
  Send(request, *owner, now);
  return Step::kSent;
}

/// Whether a request may still be answered within its target.
bool GatewayNode::InTime(const LiveRequest& request, Instant now) {
  return now - request.received < request.target_latency;
}

GatewayNode::Step GatewayNode::WaitForOwner(LiveRequest& request, RefusalReason reason,
                                            Instant now) {
  const Instant end = request.received + PartOf(request.arrived.time_left, kHoldPartOfTime);
  const Duration limit =
      std::max(end - request.hold_from, request.target_latency / kHoldPartOfTarget);
  const Step step = Wait(request, reason, limit, now);
  if (request.timer == Instant{}) return step;
  // All that wait look at the same instants, so that one look serves them.
  const Instant look{(now.time_since_epoch() / kOwnerLook + 1) * kOwnerLook};
  SetTimer(request, std::min(request.timer, look));
  return step;
}

void GatewayNode::SetTimer(LiveRequest& request, Instant at) {
  timers_.erase({request.timer, request.arrived.number});
  request.timer = at;
  if (at != Instant{}) timers_.insert({at, request.arrived.number});
}

GatewayNode::Step GatewayNode::TryPool(LiveRequest& request, Instant now) {
  const Backend* backend =
      backends_.Choose(request.service, request.tried, request.target_latency, now);
  // With no other server left, one that was tried may do better now.
  if (backend == nullptr)
    backend = backends_.Choose(request.service, {}, request.target_latency, now);
  const Duration hold = request.target_latency / kHoldPartOfTarget;
  if (backend == nullptr) return Wait(request, RefusalReason::kNoServer, hold, now);
  if (!backends_.HasRoom(*backend, request.target_latency, now)) {
    return Wait(request, RefusalReason::kOverloaded, hold, now);
  }
  Send(request, *backend, now);
  return Step::kSent;
}

void GatewayNode::Send(LiveRequest& request, const Backend& backend, Instant now) {
  StopWaiting(request);
  const traffic::InstanceId id = backend.instance.report.id;
  Note(request.arrived.number, "send", id, backends_.Describe(backend, now));
  request.open = OpenAttempt{++request.numbering, id, now};
  ++request.attempts;
  request.tried.push_back(id);
  effects_.actions.emplace_back(SendAttempt{request.arrived.number, request.numbering, id,
                                            backend.instance.report.address,
                                            request.give_up - now});
  backends_.OnSent(id);
  SetTimer(request, request.give_up);
}

/// Leaves the request in its queue until `limit` after its arrival.
GatewayNode::Step GatewayNode::Wait(LiveRequest& request, RefusalReason reason, Duration limit,
                                    Instant now) {
  request.waits_for = reason;
  const Duration hold = limit > Duration{} ? limit : kHoldWithoutTarget;
  const Instant end = std::min(request.hold_from + hold, request.give_up);
  // With its time to wait over it gets no timer, and the caller ends it.
  const bool held = request.not_before > now;
  SetTimer(request, now >= end ? Instant{} : held ? std::min(end, request.not_before) : end);
  return Step::kWaits;
}

void GatewayNode::ServeWaiting(const ServiceName& service, Instant now) {
  const auto queue = queues_.find(service);
  if (queue == queues_.end()) return;
  const bool keyed = Keyed(service);
  std::vector<WaitingPlace> places(queue->second.waiting.begin(), queue->second.waiting.end());
  // Those that can still be answered within their targets go first: what is late anyway is worth
  // the same a little later.
  if (keyed) {
    std::stable_partition(places.begin(), places.end(), [&](const WaitingPlace& place) {
      return InTime(requests_.at(place.number), now);
    });
  }
  for (const WaitingPlace& place : places) {
    LiveRequest& request = requests_.at(place.number);
    const Step step = TryNext(request, now);
    if (step != Step::kWaits) continue;
    const bool held = request.not_before > now;
    if (request.timer == Instant{} && !held) {
      EndWithoutRun(request, request.waits_for, now);
    } else if (!keyed && !held) {
      // What this one waits for, all behind it wait for too. They still need their timers.
      for (const WaitingPlace& behind : places) {
        if (!(place < behind)) continue;
        LiveRequest& later = requests_.at(behind.number);
        if (later.timer != Instant{}) continue;
        Wait(later, request.waits_for, later.target_latency / kHoldPartOfTarget, now);
        if (later.timer == Instant{}) EndWithoutRun(later, later.waits_for, now);
      }
      return;
    }
  }
}

void GatewayNode::ServeAllWaiting(Instant now) {
  for (const auto& [service, queue] : queues_) ServeWaiting(service, now);
}

void GatewayNode::StopWaiting(LiveRequest& request) {
  if (!request.waiting) return;
  queues_[request.service].waiting.erase({request.priority, request.arrived.number});
  request.waiting = false;
}

// --- Ends ---

void GatewayNode::TakeEnd(LiveRequest& request, const AttemptReport& report, Instant now) {
  const OpenAttempt ended = *request.open;
  request.open.reset();
  if (report.end == AttemptEnd::kNotSent) {
    --request.attempts;
    ++request.unsent;
  }
  const bool ran = report.end != AttemptEnd::kNotSent && report.end != AttemptEnd::kNotExecuted;
  request.may_have_run = request.may_have_run || ran;
  const bool answered = report.end == AttemptEnd::kAnswered;
  const bool server_failed = answered && report.status >= 500;
  const bool empty_promise = answered && IsPromise(report.status);
  if (answered && !server_failed && !empty_promise) {
    effects_.actions.emplace_back(RelayAnswer{request.arrived.number});
    Forget(request);
    return;
  }
  Note(request.arrived.number, "attempt_failed", ended.instance,
       "end " + std::to_string(static_cast<int>(report.end)) + ", status " +
           std::to_string(report.status) + ", after " +
           std::to_string((now - ended.sent_at).count() / 1000) + " ms");
  RetryOrEnd(request, report, now);
}

void GatewayNode::RetryOrEnd(LiveRequest& request, const AttemptReport& report, Instant now) {
  if (report.not_owner && Keyed(request.service)) {
    const traffic::KeyRange* range = keys_.Find(request.service, *request.arrived.key);
    if (range != nullptr) keys_.Disown(*range, now + kDisowned);
  }
  RefusalReason reason = RefusalReason::kOutcomeUnknown;
  if (MayRetry(request, report.end, now, reason)) {
    // The owner of a key refused it: it lost the key, and its next owner is not known here yet.
    const bool again_at_owner = Keyed(request.service);
    request.not_before = again_at_owner ? now + kOwnerRetry : now;
    request.waiting = true;
    queues_[request.service].waiting.insert({request.priority, request.arrived.number});
    request.hold_from = now;
    Wait(request, RefusalReason::kNoServer, request.target_latency / kHoldPartOfTarget, now);
    return;
  }
  if (report.end == AttemptEnd::kAnswered && !IsPromise(report.status)) {
    effects_.actions.emplace_back(RelayAnswer{request.arrived.number});
    Forget(request);
    return;
  }
  End(request, reason, now);
}

bool GatewayNode::MayRetry(LiveRequest& request, AttemptEnd end, Instant now,
                           RefusalReason& reason) {
  const bool unexecuted = end == AttemptEnd::kNotSent || end == AttemptEnd::kNotExecuted;
  if (!unexecuted && request.kind == RouteKind::kUnsafe) return false;
  if (unexecuted) reason = RefusalReason::kAttemptsUsed;
  if (now >= request.give_up) {
    if (unexecuted) reason = RefusalReason::kDeadline;
    return false;
  }
  if (end == AttemptEnd::kNotSent) return request.unsent < kUnsentMaximum;
  if (request.attempts >= request.attempts_maximum) return false;
  if (BudgetOf(request.service).Take(GatewayCount(), now)) return true;
  if (unexecuted) reason = RefusalReason::kBudget;
  return false;
}

void GatewayNode::GiveUp(LiveRequest& request, Instant now) {
  if (unrouted_.contains(request.arrived.number)) {
    return EndWithoutRun(request, RefusalReason::kNoConfiguration, now);
  }
  if (!request.open && !request.may_have_run) {
    return EndWithoutRun(request, RefusalReason::kDeadline, now);
  }
  Note(request.arrived.number, "give_up",
       request.open ? request.open->instance : traffic::InstanceId{}, "deadline or timeout");
  effects_.actions.emplace_back(Refuse{request.arrived.number, kGatewayTimeout,
                                       RefusalReason::kOutcomeUnknown, std::nullopt});
  Forget(request);
}

void GatewayNode::End(LiveRequest& request, RefusalReason reason, Instant now) {
  if (!request.may_have_run) return EndWithoutRun(request, reason, now);
  effects_.actions.emplace_back(
      Refuse{request.arrived.number, kBadGateway, RefusalReason::kOutcomeUnknown, std::nullopt});
  Forget(request);
}

void GatewayNode::EndWithoutRun(LiveRequest& request, RefusalReason reason, Instant now) {
  if (request.may_have_run) return End(request, RefusalReason::kOutcomeUnknown, now);
  const int status = StatusOf(reason);
  Note(request.arrived.number, "refuse", {},
       std::string(ReasonName(reason)) + ", version " + std::to_string(version_) + ", after " +
           std::to_string((now - request.received).count() / 1000) + " ms");
  std::optional<Duration> retry_after;
  if (status == kUnavailable) {
    // Where this gateway is behind, coming back at once to another one helps.
    const bool behind = reason == RefusalReason::kStaleOwner;
    retry_after = behind ? kRetryAfterMinimum : RetryAfter(request, now);
  }
  effects_.actions.emplace_back(Refuse{request.arrived.number, status, reason, retry_after});
  Forget(request);
}

Duration GatewayNode::RetryAfter(const LiveRequest& request, Instant now) {
  const Duration left = request.arrived.time_left - (now - request.received);
  return std::clamp<Duration>(left / kRetryAfterPartOfTimeLeft, kRetryAfterMinimum,
                              kRetryAfterMaximum);
}

void GatewayNode::Forget(LiveRequest& request) {
  StopWaiting(request);
  const RequestNumber number = request.arrived.number;
  if (request.open) {
    backends_.OnAbandoned(request.open->instance);
    effects_.actions.emplace_back(AbandonAttempt{number, request.open->number});
  }
  timers_.erase({request.timer, number});
  unrouted_.erase(number);
  requests_.erase(number);
}

// --- Helpers ---

SharedRetryBudget& GatewayNode::BudgetOf(const ServiceName& service) {
  return budgets_.try_emplace(service, options_.budget).first->second;
}

std::uint32_t GatewayNode::GatewayCount() const {
  return gateways_ == 0 ? options_.gateways_assumed : gateways_;
}

bool GatewayNode::Keyed(const ServiceName& service) const {
  const auto found = services_.find(service);
  return found != services_.end() && found->second.keyed;
}

void GatewayNode::CountKey(const ServiceName& service, std::uint32_t key) {
  std::uint32_t& load = key_loads_[service][key];
  ++load;
  load_is_urgent_ = load_is_urgent_ || load >= kUrgentRequests;
}

void GatewayNode::Note(RequestNumber request, std::string_view what,
                       const traffic::InstanceId& instance, std::string inputs) {
  effects_.notes.push_back({request, what, instance, std::move(inputs)});
}

}  // namespace graniteseam::gateway
