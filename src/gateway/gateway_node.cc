// Event handlers of the gateway, and the admission of requests.
#include "src/gateway/gateway_node.h"

#include <algorithm>
#include <string>
#include <utility>

#include "graniteseam/common/duration_text.h"
#include "src/gateway/hold_limits.h"
#include "src/gateway/refusals.h"
#include "src/gateway/retry_rules.h"

namespace graniteseam::gateway {
namespace {

/// A gateway without confirmation by a leader for longer than this does not answer 404 for an
/// unknown route: the route may have been added since, and 404 would make the caller give up for
/// good. Covers three polls and an answer; shorter than the time within which an accepted change
/// must be in force.
constexpr Duration kConfirmedFor{1'600'000};
/// Latency samples change slowly: one poll in this many includes all of them.
constexpr std::uint64_t kPollsPerSpeeds = 4;
constexpr std::size_t kPollTimesMaximum = 64;

/// Most updates only change instances and ranges, and there are many of those.
bool ChangesTenants(const traffic::TrafficUpdate& update) {
  const traffic::TenancyUpdate& tenancy = update.tenancy;
  return update.base == 0 || !tenancy.tenants.empty() || !tenancy.removed_tenants.empty();
}

}  // namespace

GatewayNode::GatewayNode(GatewayOptions options, std::uint64_t seed)
    : options_(std::move(options)),
      traffic_(options_.backends, options_.gateways_assumed, seed),
      hot_keys_(seed),
      probes_(options_.probes),
      quotas_(options_.id),
      peers_(options_.id, options_.backends.zone, seed),
      slots_(options_.id, seed),
      coordinator_(options_.id, seed) {}

GatewayEffects GatewayNode::OnUpdate(const traffic::TrafficUpdate& update, Instant now) {
  const bool applied = traffic_.apply_update(update, now);
  if (applied && ChangesTenants(update)) quotas_.apply_quotas(traffic_.tenants());
  if (update.sequence != 0) quotas_.take(update.quota, update.sequence, now);
  const std::vector<RouterId> gone = ApplyPeers(update.peers);
  NoteConfirmation(update, now);
  if (applied) ApplyState(update, now);
  // Last: the slots that they free go to requests that the new state must bind already.
  for (const RouterId& gateway : gone) {
    DeliverSlots(coordinator_.forget_gateway(gateway, now), now);
  }
  return Finish(now);
}

void GatewayNode::ApplyState(const traffic::TrafficUpdate& update, Instant now) {
  for (const traffic::Instance& instance : update.instances) {
    if (instance.IsGone()) coordinator_.forget_server(instance.report.id);
  }
  Note({}, "update", {}, traffic_.describe(update));
  if (update.suspects) {
    crashes_.set_suspects(*update.suspects);
    RefuseQuarantined(now);
  }
  if (Ready()) AdmitUnrouted(now);
  ServeAllWaiting(now);
}

void GatewayNode::NoteConfirmation(const traffic::TrafficUpdate& update, Instant now) {
  note_applied(configuration_lag_, configuration());
  if (update.sequence == 0) return;
  note_report(configuration_lag_, update.configuration, configuration(), now);
  note_answer(feed_, update.feed, update.version, version(), now, PollAge(update.sequence, now));
  const bool newest = update.sequence == poll_sequence_;
  if (newest && update.routers > 0) {
    traffic_.backends().SetPlace({update.router_place, update.routers}, polled_at_, now);
  }
  if (newest && configuration() == update.configuration) confirmed_at_ = polled_at_;
}

Duration GatewayNode::PollAge(std::uint64_t sequence, Instant now) const {
  const std::uint64_t later = poll_sequence_ - sequence;
  if (sequence > poll_sequence_ || later >= poll_times_.size()) return Duration::max();
  return now - poll_times_[poll_times_.size() - 1 - later];
}

GatewayEffects GatewayNode::OnFollowerReport(const FollowerReport& report, Instant now) {
  note_report(configuration_lag_, report.configuration, configuration(), now);
  note_follower(feed_, report.follower, report.version, version(), now);
  return Finish(now);
}

GatewayEffects GatewayNode::OnHints(const traffic::TrafficHints& hints, Instant now) {
  traffic_.backends().ApplyHints(hints.instances, now);
  hot_keys_.update_hot_keys(hints.hot_keys, now);
  for (const traffic::InstanceLimit& limit : hints.limits) {
    if (traffic_.backends().Find(limit.instance) == nullptr) continue;
    NoteChanges(traffic_.backends().pressure().apply(limit, now));
  }
  for (const traffic::HotKey& hot : hints.hot_keys) RefuseExcess(hot, now);
  Note({}, "hints", {},
       "instances " + std::to_string(hints.instances.size()) + ", hot keys " +
           std::to_string(hints.hot_keys.size()) + ", limits " +
           std::to_string(hints.limits.size()));
  if (!hints.limits.empty()) ServeAllWaiting(now);
  return Finish(now);
}

GatewayEffects GatewayNode::OnTokens(const traffic::TokenAnswer& answer, Instant now) {
  if (!quotas_.take(answer, now)) return Finish(now);
  for (const traffic::TokenGrant& grant : answer.granted) {
    for (const RequestNumber number : token_queue_.take(grant.tenant, grant.requests)) {
      LiveRequest& request = requests_.at(number);
      requests_.set_timer(request, {});
      Note(number, "quota_token", {},
           "for " + request.tenant.value + ", after " + InMs(now - request.received));
      AdmitWithToken(request, now);
    }
    if (grant.retry_after_ms == 0) continue;
    for (const RequestNumber number : token_queue_.take(grant.tenant, token_queue_.size())) {
      RefuseByQuota(requests_.at(number), now);
    }
  }
  for (const traffic::LimitTokenGrant& grant : answer.limited) ApplyLimitTokens(grant, now);
  AskForTokens(now);
  return Finish(now);
}

void GatewayNode::ApplyLimitTokens(const traffic::LimitTokenGrant& grant, Instant now) {
  const std::vector<RequestNumber> asked = limit_queue_.requested_for(grant.instance);
  if (asked.empty()) return;
  BackPressureTable& pressure = traffic_.backends().pressure();
  pressure.give_tokens(grant, now);
  ServeWaiting(ServiceName(requests_.at(asked.front()).service), now);
  pressure.drop_tokens(grant.instance);
}

GatewayEffects GatewayNode::OnRequest(const ArrivedRequest& arrived, Instant now) {
  if (!arrived.hop) note_request(forward_share_);
  Admit(requests_.add(arrived, now), now);
  return Finish(now);
}

GatewayEffects GatewayNode::OnAttemptEnd(const AttemptReport& report, Instant now) {
  LiveRequest* const request = requests_.find(report.request);
  if (request == nullptr || !request->record.is_open(report.attempt)) return Finish(now);
  const ServiceName service = request->service;
  if (request->peer) {
    HandleForwardEnd(*request, report, now);
    return Finish(now);
  }
  NoteAttemptEnd(*request->record.open(), report, now);
  if (report.load) probes_.note_answer(service, *report.load, now);
  NoteBackPressure(request->record.open()->instance, report, now);
  HandleAttemptEnd(*request, report, now);
  ServeWaiting(service, now);
  CheckReachability(now);
  return Finish(now);
}

void GatewayNode::NoteAttemptEnd(const OpenAttempt& attempt, const AttemptReport& report,
                                 Instant now) {
  if (!reachability_.proves_failure(report.cause, attempt.sent_at)) {
    reachability_.note_abandoned(report.request);
    return traffic_.backends().OnAbandoned(attempt.instance);
  }
  reachability_.note_end(report.request, attempt.instance, report.end, now);
  traffic_.backends().OnEnded(attempt.instance, report, now - attempt.sent_at, now);
}

GatewayEffects GatewayNode::OnProbeEnd(const ProbeReport& report, Instant now) {
  traffic_.backends().OnProbed(report, now);
  LiveRequest* const request = requests_.find(report.request);
  if (request == nullptr) return Finish(now);
  probes_.note_probe(request->service, report.taken, now);
  ProbeRound& round = request->probes;
  const bool awaited = request->waiting && round.open > 0 && round.number == report.round;
  if (!awaited) return Finish(now);
  if (report.load) ++round.loads_received;
  if (--round.open > 0) return Finish(now);
  request->not_before = now;
  ServeWaiting(ServiceName(request->service), now);
  return Finish(now);
}

void GatewayNode::OnLoopDelay(const LoopDelay& delay, Instant now) {
  loop_delay_ = delay;
  reachability_.note_delay(delay.current, now);
}

GatewayEffects GatewayNode::OnCallerGone(RequestNumber number, Instant now) {
  LiveRequest* const request = requests_.find(number);
  if (request == nullptr) return Finish(now);
  const ServiceName service = request->service;
  const auto& open = request->record.open();
  if (open) SpendRetry(*request, now);
  Note(number, "caller_gone", open ? open->instance : traffic::InstanceId{}, "");
  Remove(*request);
  ServeWaiting(service, now);
  return Finish(now);
}

GatewayEffects GatewayNode::Tick(Instant now) {
  // First: a request whose coordinator is silent is sent without a slot, also when its time to wait
  // for one has passed meanwhile.
  ApplySlotResults(slots_.tick(now), now);
  while (LiveRequest* const request = requests_.take_due(now)) {
    const ServiceName service = request->service;
    const bool waits_for_token = token_queue_.contains(request->arrived.number);
    if (waits_for_token && now < request->give_up) {
      EndTokenWait(*request, now);
    } else if (now >= request->give_up) {
      GiveUp(*request, now);
    }
    ServeWaiting(service, now);
  }
  DeliverSlots(coordinator_.tick(now), now);
  CheckReachability(now);
  return Finish(now);
}

Instant GatewayNode::NextTick() const {
  return std::min({requests_.next_timer(), slots_.next_tick(), coordinator_.next_tick(),
                   reachability_.next_check()});
}

traffic::TrafficPoll GatewayNode::TakePoll(Instant now) {
  traffic::TrafficPoll poll;
  poll.router = options_.id;
  poll.zone = options_.backends.zone;
  poll.sequence = ++poll_sequence_;
  polled_at_ = now;
  if (poll_times_.size() >= kPollTimesMaximum) poll_times_.pop_front();
  poll_times_.push_back(now);
  poll.version = version();
  check_feed(feed_, version(), now);
  const bool has_feed = !feed_.address.empty();
  poll.wants_state = has_feed ? feed_.wants_state_from_leader : feed_.answered;
  poll.feeds_tried = feed_.feeds_abandoned;
  reported_configuration_ = configuration();
  poll.loads = key_loads_.take();
  const bool tell_speeds = poll_sequence_ % kPollsPerSpeeds == 0;
  // Control would take keys and requests from sound servers.
  const bool withholds_speeds = KnowsPeers() && reachability_.is_suspected(now);
  if (!withholds_speeds) poll.speeds = traffic_.backends().TakeSpeeds(tell_speeds);
  crashes_.add_to_poll(poll, now);
  quotas_.add_to_poll(poll, now);
  traffic_.backends().pressure().add_to_poll(poll, now);
  poll.leaving = LeavingUnknownToControl();
  poll.peer_address = options_.coordination_address;
  poll.peer_weight = options_.machine_weight;
  poll.caller_address = options_.caller_address;
  poll.peers_version = coordinators_.version();
  return poll;
}

std::vector<traffic::InstanceId> GatewayNode::LeavingUnknownToControl() const {
  const BackendTable& backends = traffic_.backends();
  std::vector<traffic::InstanceId> leaving = backends.pressure().leaving();
  std::erase_if(leaving, [&](const traffic::InstanceId& id) {
    const Backend* const backend = backends.Find(id);
    return backend == nullptr || !backend->instance.AcceptsNewWork();
  });
  return leaving;
}

bool GatewayNode::MayRunBeside(std::string_view host, std::string_view path,
                               std::string_view method) const {
  if (method != "GET" && method != "HEAD") return false;
  const traffic::Route* const route = traffic_.routes().Find(host, path);
  return route != nullptr && traffic::MayRepeat(route->kind);
}

// --- Admission ---

void GatewayNode::Admit(LiveRequest& request, Instant now) {
  const ArrivedRequest& arrived = request.arrived;
  if (!Ready() && arrived.hop) {
    return End(request, RefusalReason::kNoConfiguration, now);
  }
  if (!Ready()) return AwaitConfiguration(request, now);
  const std::optional<HopLimits>& hop = arrived.hop;
  const bool behind = hop && configuration() < hop->configuration;
  if (behind || is_outdated(configuration_lag_, now)) {
    return End(request, RefusalReason::kOutdated, now);
  }
  if (hop && reachability_.is_partitioned()) {
    return End(request, RefusalReason::kPartitioned, now);
  }
  const traffic::Route* route = traffic_.routes().Find(arrived.host, arrived.path);
  if (route == nullptr) {
    const bool confirmed = IsConfirmed(now);
    return End(request, confirmed ? RefusalReason::kNoRoute : RefusalReason::kUnconfirmed, now);
  }
  request.routing = {version(), now, confirmed_at_};
  request.priority = route->priority;
  if (const auto refused = ResolveTenant(request, *route, now)) {
    return End(request, *refused, now);
  }
  const auto service = traffic_.routes().NextService(*route);
  if (!service) return End(request, RefusalReason::kNoServer, now);
  ApplyRoute(request, *route, *service);
  if (OutlastsStop(request, now)) return End(request, RefusalReason::kStopping, now);
  if (now < request.give_up && Forward(request, now)) return;
  if (ChargeQuota(request, now)) Offer(request, now);
}

bool GatewayNode::OutlastsStop(const LiveRequest& request, Instant now) const {
  return stop_ && now >= stop_->begin_only_what_ends && request.give_up > stop_->ends;
}

bool GatewayNode::ChargeQuota(LiveRequest& request, Instant now) {
  if (request.tenant.Empty()) return true;
  switch (quotas_.admit(request.tenant, now)) {
    case QuotaGate::Verdict::kAdmitted:
      request.charged_to_quota = true;
      return true;
    case QuotaGate::Verdict::kRefused:
      RefuseByQuota(request, now);
      return false;
    case QuotaGate::Verdict::kNeedsToken:
      break;
  }
  token_queue_.add(request.tenant, request.arrived.number);
  requests_.set_timer(request, token_wait_end(request));
  AskForTokens(now);
  return false;
}

void GatewayNode::EndTokenWait(LiveRequest& request, Instant now) {
  // The leader did not answer; the share may have refilled meanwhile.
  if (!quotas_.admit_by_share(request.tenant, now)) {
    return End(request, RefusalReason::kQuotaUnknown, now);
  }
  token_queue_.remove(request.tenant, request.arrived.number);
  AdmitWithToken(request, now);
}

void GatewayNode::AdmitWithToken(LiveRequest& request, Instant now) {
  request.charged_to_quota = true;
  request.hold_from = now;
  Offer(request, now);
}

void GatewayNode::RefuseByQuota(LiveRequest& request, Instant now) {
  const auto not_run = request.record.not_run();
  if (!not_run) return End(request, RefusalReason::kQuota, now);
  const Duration retry_after = quotas_.retry_after(request.tenant, now);
  Note(request.arrived.number, "refuse", {},
       "quota of " + request.tenant.value + ", retry after " + InMs(retry_after));
  effects_.actions.emplace_back(refusal_by_quota(request, *not_run, retry_after));
  Remove(request);
}

void GatewayNode::AskForTokens(Instant now) {
  if (!quotas_.may_request_tokens(now)) return;
  const BackendTable& backends = traffic_.backends();
  std::vector<traffic::LimitTokenRequest> limited;
  for (const LimitQueue::Wanted& wanted : limit_queue_.take_wanted()) {
    const Backend* const backend = backends.Find(wanted.instance);
    if (backend == nullptr || !backends.NeedsToken(*backend, now)) continue;
    limited.push_back({backends.pressure().limit_of(wanted.instance, now), wanted.requests});
  }
  auto question = quotas_.next_token_request(token_queue_.wanted(), now, std::move(limited));
  if (question) effects_.actions.emplace_back(AskTokens{*std::move(question)});
}

void GatewayNode::Offer(LiveRequest& request, Instant now) {
  const ArrivedRequest& arrived = request.arrived;
  const ServiceName service = request.service;
  if (crashes_.is_quarantined(arrived.digest)) {
    return End(request, RefusalReason::kQuarantined, now);
  }
  if (traffic_.is_keyed(service)) {
    if (!arrived.key || *arrived.key > traffic::kLastKey) {
      return End(request, RefusalReason::kBadKey, now);
    }
    key_loads_.count(service, *arrived.key);
    if (!PassesHotKeyGate(request, now)) return End(request, RefusalReason::kHotKey, now);
  }
  BudgetOf(service).CountRequest(traffic_.gateway_count(), now);
  NoteRetryBudget(service, now);
  request.counted_at = now;
  if (now >= request.give_up) return End(request, RefusalReason::kDeadline, now);
  // The rest of the queue is for this gateway's own callers.
  const std::size_t maximum = options_.waiting_maximum / (arrived.hop ? 2 : 1);
  if (requests_.queue_size(service) >= maximum) {
    return End(request, RefusalReason::kOverloaded, now);
  }
  requests_.enqueue(request);
  ServeWaiting(service, now);
}

bool GatewayNode::IsConfirmed(Instant now) const { return now - confirmed_at_ <= kConfirmedFor; }

std::optional<RefusalReason> GatewayNode::ResolveTenant(LiveRequest& request,
                                                        const traffic::Route& route, Instant now) {
  const TenantTable& tenants = traffic_.tenants();
  if (!tenants.keys_required()) return std::nullopt;
  const traffic::KeyDigest& key = request.arrived.api_key;
  const traffic::Tenant* const tenant = tenants.find(key);
  if (tenant == nullptr) {
    if (tenants.is_anonymous(route.name)) return std::nullopt;
    if (key.empty()) return RefusalReason::kNoApiKey;
    // The key may have been added since the last confirmation.
    return IsConfirmed(now) ? RefusalReason::kUnknownApiKey : RefusalReason::kUnconfirmed;
  }
  request.tenant = tenant->name;
  if (tenant->priority) request.priority = *tenant->priority;
  return std::nullopt;
}

bool GatewayNode::PassesHotKeyGate(LiveRequest& request, Instant now) {
  if (!hot_keys_.is_hot(request.service, *request.arrived.key, now)) return true;
  request.admitted_by_hot_key_gate = hot_keys_.admits(request.service, *request.arrived.key);
  return request.admitted_by_hot_key_gate;
}

void GatewayNode::RefuseExcess(const traffic::HotKey& hot, Instant now) {
  for (const WaitingPlace& place : requests_.queue_of(hot.service)) {
    LiveRequest& request = requests_.at(place.number);
    if (request.arrived.key != hot.key || request.admitted_by_hot_key_gate) continue;
    if (!PassesHotKeyGate(request, now)) End(request, RefusalReason::kHotKey, now);
  }
}

void GatewayNode::RefuseQuarantined(Instant now) {
  for (const ServiceName& service : requests_.queued_services()) {
    for (const WaitingPlace& place : requests_.queue_of(service)) {
      LiveRequest& request = requests_.at(place.number);
      if (!crashes_.is_quarantined(request.arrived.digest)) continue;
      End(request, RefusalReason::kQuarantined, now);
    }
  }
}

void GatewayNode::ApplyRoute(LiveRequest& request, const traffic::Route& route,
                             const ServiceName& service) {
  request.kind = route.kind;
  request.service = service;
  request.target_latency = std::chrono::milliseconds(route.target_latency_ms);
  request.attempts_maximum =
      static_cast<std::uint32_t>(std::max<std::int64_t>(1, route.attempts_maximum));
  if (const auto& hop = request.arrived.hop) {
    request.attempts_maximum = std::min(request.attempts_maximum, std::max(1U, hop->attempts));
  }
  const Duration timeout = std::chrono::milliseconds(route.timeout_ms);
  if (IsCoordinatedService(service))
    request.age = caller_ages_.age_of(route.name, request.arrived.time_left);
  request.give_up =
      request.received + std::min(request.arrived.time_left - options_.answer_margin, timeout);
}

void GatewayNode::AwaitConfiguration(LiveRequest& request, Instant now) {
  request.give_up = configuration_wait_end(request);
  if (requests_.unrouted_size() >= options_.waiting_maximum || now >= request.give_up) {
    return End(request, RefusalReason::kNoConfiguration, now);
  }
  requests_.add_unrouted(request);
  requests_.set_timer(request, request.give_up);
}

void GatewayNode::AdmitUnrouted(Instant now) {
  for (const RequestNumber number : requests_.take_unrouted()) {
    LiveRequest& request = requests_.at(number);
    requests_.set_timer(request, {});
    request.hold_from = now;
    Admit(request, now);
  }
}

// --- Helpers ---

GatewayEffects GatewayNode::Finish(Instant now) {
  SendSlotMessages(now);
  EndUntimed(now);
  return std::exchange(effects_, {});
}

void GatewayNode::EndUntimed(Instant now) {
  while (LiveRequest* const request = requests_.find_untimed()) {
    const bool in_flight = request->record.open().has_value();
    Note(request->arrived.number, "timer_missing", {},
         std::string(in_flight ? "in flight" : ReasonName(request->waits_for)) + ", after " +
             InMs(now - request->received));
    if (in_flight && now < request->give_up) {
      requests_.set_timer(*request, request->give_up);
    } else if (now < request->give_up) {
      End(*request, request->waits_for, now);
    } else {
      GiveUp(*request, now);
    }
  }
}

std::vector<RouterId> GatewayNode::ApplyPeers(const traffic::PeerUpdate& update) {
  const traffic::PeerVersion before = coordinators_.version();
  std::vector<RouterId> gone = coordinators_.apply(update);
  if (coordinators_.version() == before) return gone;
  peers_.forget_unlisted(coordinators_.peers());
  Note({}, "peers", {},
       "term " + std::to_string(coordinators_.version().term) + ", number " +
           std::to_string(coordinators_.version().number) + ", gateways " +
           std::to_string(coordinators_.size()));
  return gone;
}

void GatewayNode::NoteBackPressure(const traffic::InstanceId& instance, const AttemptReport& report,
                                   Instant now) {
  const bool ran = report.end == AttemptEnd::kAnswered;
  if (!ran && report.end != AttemptEnd::kNotExecuted) return;
  if (report.not_owner) return;
  BackPressureTable& pressure = traffic_.backends().pressure();
  NoteChanges(pressure.apply(instance, report.pressure, ran, now));
  // Also of an instance that left the list while it answered: it may be listed again.
  if (traffic_.backends().Find(instance) == nullptr) pressure.note_unlisted(instance, now);
}

void GatewayNode::NoteChanges(const BackPressureTable::Changes& changes) {
  for (const BackPressureChange& change : changes) {
    Note({}, change.what, change.instance, change.inputs);
  }
}

SharedRetryBudget& GatewayNode::BudgetOf(const ServiceName& service) {
  return budgets_.try_emplace(service, options_.budget, options_.started_at).first->second;
}

std::optional<RefusalReason> GatewayNode::RetryBlockReason(LiveRequest& request, AttemptEnd end,
                                                           Instant now) {
  // Each further server that a suspect reaches may crash under it.
  if (end != AttemptEnd::kNotSent && crashes_.is_suspect(request.arrived.digest)) {
    return RefusalReason::kAttemptsUsed;
  }
  const auto reason =
      retry_block_reason(request, end, BudgetOf(request.service), traffic_.gateway_count(), now);
  NoteRetryBudget(request.service, now);
  return reason;
}

void GatewayNode::NoteRetryBudget(const ServiceName& service, Instant now) {
  SharedRetryBudget& budget = BudgetOf(service);
  const auto state = budget.TakeStateChange();
  if (!state) return;
  const bool exhausted = *state == RetryBudgetState::kExhausted;
  Note({}, exhausted ? "retry_budget_exhausted" : "retry_budget_available", {},
       service.value + ", " + budget.Describe(now) + ", process age " +
           InMs(now - options_.started_at));
}

void GatewayNode::SpendRetry(LiveRequest& request, Instant now) {
  if (std::exchange(request.retry_reserved, false)) BudgetOf(request.service).Spend(now);
}

void GatewayNode::Note(RequestNumber request, std::string_view what,
                       const traffic::InstanceId& instance, std::string inputs) {
  effects_.notes.push_back({request, what, instance, std::move(inputs)});
}

std::string GatewayNode::DescribeDelay() const {
  return ", loop delay " + InMs(loop_delay_.longest);
}

std::string GatewayNode::DescribeCause(const AttemptReport& report) const {
  if (report.end != AttemptEnd::kNotSent && report.end != AttemptEnd::kLost) return {};
  const std::string cause = ", cause " + std::string(CauseName(report.cause));
  return report.cause == FailureCause::kConnection ? cause : cause + DescribeDelay();
}

}  // namespace graniteseam::gateway
