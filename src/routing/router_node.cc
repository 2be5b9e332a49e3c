#include "graniteseam/routing/router_node.h"

#include <algorithm>
#include <map>
#include <optional>
#include <utility>

#include "graniteseam/routing/router_lease.h"
#include "graniteseam/routing/routing_table.h"
#include "src/routing/journal_batcher.h"
#include "src/routing/problem.h"
#include "src/routing/random.h"
#include "src/routing/request_flow.h"
#include "src/routing/service_router.h"

namespace graniteseam::routing {

namespace {

constexpr int kRenewalsPerLease = 5;
constexpr Duration kRetryAfterNoLease{500'000};

}  // namespace

class RouterNode::Impl : public SendGuard {
 public:
  Impl(RouterNodeOptions options, std::uint64_t seed, Instant now)
      : options_(std::move(options)),
        seed_(seed),
        journal_(options_.router),
        flow_(table_, journal_, *this, options_.retry, SplitMix64(seed_)),
        renew_at_(now) {}

  std::optional<Error> Refusal(const CallerRequest& request, Instant now) const override;

  void Tick(Instant now, RouterEffects& effects);
  Instant NextTick() const;
  void OnControlConnected(Instant now);
  void OnControlMessage(const control::ControlToRouter& message, Instant now,
                        RouterEffects& effects);
  void OnRequest(const CallerRequest& request, Instant now, RouterEffects& effects);
  void PrepareStop(Instant now);
  void SendDue(Instant now, RouterEffects& effects);

  bool Ready(Instant now) const { return !stopping_ && lease_.Valid(now); }
  std::size_t BodyBytesMaximum(const ServiceName& service) const;
  RouterStatus Status(Instant now) const;
  RequestFlow& flow() { return flow_; }

 private:
  void OnRenewalAnswer(const control::RouterRenewalAnswer& answer, Instant now,
                       RouterEffects& effects);
  void TakeBundle(const bundle::Bundle& bundle, const std::string& digest, Instant now);
  void UpdateServers(Instant now);
  void Renew(Instant now, RouterEffects& effects);
  Duration RenewalInterval() const;
  bool Repeatable(const ServiceName& service) const;
  void Refuse(const CallerRequest& request, Error error, Duration retry_after,
              RouterEffects& effects) const;

  RouterNodeOptions options_;
  std::uint64_t seed_;
  RoutingTable table_;
  JournalBatcher journal_;
  RequestFlow flow_;
  RouterLease lease_;
  std::optional<bundle::Bundle> bundle_;
  std::string bundle_digest_;
  std::map<ServiceName, std::shared_ptr<ServiceRouter>> services_;
  Instant renew_at_;
  std::optional<Instant> awaiting_renewal_since_;
  bool stopping_ = false;
};

std::optional<Error> RouterNode::Impl::Refusal(const CallerRequest& request, Instant now) const {
  if (!lease_.Valid(now) || !bundle_) return NoLease();
  const bundle::Service* service = bundle_->FindService(request.service);
  if (service == nullptr) return UnknownService(request.service);
  const bundle::Group* group = bundle_->FindGroup(request.group);
  if (group == nullptr || std::find(group->services.begin(), group->services.end(),
                                    request.service) == group->services.end()) {
    return GroupNotAllowed(request.group, request.service);
  }
  const bool keyed = service->kind == bundle::ServiceKind::kKeyed;
  if (keyed != request.key.has_value()) return WrongPathForm(request.service, keyed);
  if (keyed && !request.key->starts_with(group->key_prefix)) {
    return KeyNotOfGroup(request.group, group->key_prefix);
  }
  if (!service->repeatable && !request.operation) return OperationIdMissing(request.service);
  if (request.body_bytes > static_cast<std::size_t>(service->body_bytes_maximum)) {
    return BodyTooLarge(service->body_bytes_maximum);
  }
  return std::nullopt;
}

void RouterNode::Impl::OnRequest(const CallerRequest& request, Instant now,
                                 RouterEffects& effects) {
  std::optional<Error> refusal = Refusal(request, now);
  if (stopping_) refusal = Stopping();
  if (!refusal && flow_.size() >= options_.requests_maximum) refusal = TooManyRequests();
  if (refusal) {
    Refuse(request, std::move(*refusal), kRetryAfterNoLease, effects);
    return;
  }
  flow_.Begin(request, services_.at(request.service), now, effects);
}

bool RouterNode::Impl::Repeatable(const ServiceName& service) const {
  const bundle::Service* found = bundle_ ? bundle_->FindService(service) : nullptr;
  return found != nullptr && found->repeatable;
}

void RouterNode::Impl::Refuse(const CallerRequest& request, Error error, Duration retry_after,
                              RouterEffects& effects) const {
  RequestAnswer answer;
  answer.request = request.number;
  // An earlier send of the operation may have run; this router has no record of its outcome.
  const bool may_be_resend = request.operation.has_value() && !Repeatable(request.service);
  answer.outcome = may_be_resend ? RequestOutcome::kOutcomeUnknown : RequestOutcome::kNotRun;
  answer.error = may_be_resend ? EarlierSendUnknown(std::move(error)) : std::move(error);
  answer.status = StatusOf(answer.error.kind, answer.outcome);
  answer.retry_after = retry_after;
  effects.answers.push_back(std::move(answer));
}

void RouterNode::Impl::Tick(Instant now, RouterEffects& effects) {
  flow_.Tick(now, effects);
  SendDue(now, effects);
}

Instant RouterNode::Impl::NextTick() const {
  Instant next =
      awaiting_renewal_since_ ? *awaiting_renewal_since_ + options_.renewal_timeout : renew_at_;
  if (const std::optional<Instant> flow = flow_.NextTick()) next = std::min(next, *flow);
  if (const std::optional<Instant> journal = journal_.NextDue()) next = std::min(next, *journal);
  return next;
}

void RouterNode::Impl::SendDue(Instant now, RouterEffects& effects) {
  if (awaiting_renewal_since_ && now - *awaiting_renewal_since_ >= options_.renewal_timeout) {
    awaiting_renewal_since_.reset();
    renew_at_ = now;
  }
  if (!awaiting_renewal_since_ && now >= renew_at_) Renew(now, effects);
  for (control::JournalRequest& request : journal_.TakeDue(now)) {
    effects.control_messages.emplace_back(std::move(request));
  }
}

void RouterNode::Impl::Renew(Instant now, RouterEffects& effects) {
  control::RouterRenewal renewal;
  renewal.router = options_.router;
  renewal.zone = options_.zone;
  renewal.bundle_version = bundle_ ? bundle_->version : BundleVersion{};
  renewal.map_version = table_.version();
  renewal.leaving = stopping_;
  for (const auto& [name, service] : services_) service->Report(renewal, now);
  renewal.sequence = lease_.Send(renewal.bundle_version, now);
  effects.control_messages.emplace_back(std::move(renewal));
  awaiting_renewal_since_ = now;
  renew_at_ = now + RenewalInterval();
}

Duration RouterNode::Impl::RenewalInterval() const {
  if (lease_.length() == Duration{0}) return options_.renewal_interval_first;
  return lease_.length() / kRenewalsPerLease;
}

void RouterNode::Impl::OnControlConnected(Instant now) {
  awaiting_renewal_since_.reset();
  renew_at_ = now;
  journal_.Resend();
}

void RouterNode::Impl::OnControlMessage(const control::ControlToRouter& message, Instant now,
                                        RouterEffects& effects) {
  if (const auto* renewal = std::get_if<control::RouterRenewalAnswer>(&message)) {
    OnRenewalAnswer(*renewal, now, effects);
  } else if (const auto* journal = std::get_if<control::JournalAnswer>(&message)) {
    for (const control::ClaimResult& result : journal_.OnAnswer(*journal)) {
      flow_.OnClaimResult(result, now, effects);
    }
  } else {
    // The leader is unknown: the renewal is sent again at its next due time, not at once.
    awaiting_renewal_since_.reset();
  }
  SendDue(now, effects);
}

void RouterNode::Impl::OnRenewalAnswer(const control::RouterRenewalAnswer& answer, Instant now,
                                       RouterEffects& effects) {
  awaiting_renewal_since_.reset();
  const bool bundle_is_newer =
      answer.bundle && (!bundle_ || answer.bundle->version > bundle_->version);
  if (bundle_is_newer) TakeBundle(*answer.bundle, answer.bundle_digest, now);
  const bool map_applied = answer.map && table_.Apply(*answer.map) == RoutingTable::Applied::kYes;
  const bool table_changed = bundle_is_newer || map_applied;
  // Most changes move a shard and touch no server.
  const bool servers_changed =
      map_applied && (answer.map->base_version == 0 || !answer.map->servers.empty() ||
                      !answer.map->removed_servers.empty());
  if (bundle_is_newer || servers_changed) UpdateServers(now);
  for (const auto& [name, service] : services_) service->selector().Confirm(now);
  for (const control::Allotment& allotment : answer.allotments) {
    const auto service = services_.find(allotment.service);
    if (service == services_.end()) continue;
    service->second->limiter().SetLimit(allotment.group, allotment.concurrency);
  }
  if (answer.granted) {
    lease_.Grant(answer.sequence, Duration(answer.lease_us));
  } else if (bundle_is_newer) {
    renew_at_ = now;
  }
  if (table_changed) {
    flow_.OnTableChanged(now, effects);
  } else if (!answer.allotments.empty()) {
    flow_.DispatchAll(now, effects);
  }
}

void RouterNode::Impl::TakeBundle(const bundle::Bundle& bundle, const std::string& digest,
                                  Instant /*now*/) {
  bundle_ = bundle;
  bundle_digest_ = digest;
  for (const bundle::Service& service : bundle.services) {
    std::shared_ptr<ServiceRouter>& router = services_[service.name];
    if (!router) {
      router = std::make_shared<ServiceRouter>(service, options_.selector, options_.retry_budget,
                                               SplitMix64(seed_));
    }
    router->Configure(service, bundle.groups);
  }
  // Unanswered requests keep a removed service alive; new requests to it are refused.
  std::erase_if(services_,
                [&](const auto& entry) { return bundle.FindService(entry.first) == nullptr; });
}

void RouterNode::Impl::UpdateServers(Instant now) {
  for (const auto& [name, service] : services_) {
    service->selector().Update(table_.ServersOf(name), service->service().concurrency_per_server,
                               now);
  }
}

void RouterNode::Impl::PrepareStop(Instant now) {
  stopping_ = true;
  renew_at_ = now;
}

std::size_t RouterNode::Impl::BodyBytesMaximum(const ServiceName& service) const {
  const bundle::Service* found = bundle_ ? bundle_->FindService(service) : nullptr;
  return found == nullptr ? 0 : static_cast<std::size_t>(found->body_bytes_maximum);
}

RouterStatus RouterNode::Impl::Status(Instant now) const {
  RouterStatus status;
  status.lease_valid = lease_.Valid(now);
  status.stopping = stopping_;
  if (bundle_) status.bundle_version = bundle_->version;
  status.bundle_digest = bundle_digest_;
  status.map_version = table_.version();
  status.requests = flow_.size();
  status.held = flow_.held();
  for (const auto& [name, service] : services_) {
    status.queued += service->limiter().QueuedTotal();
    status.ejected_servers += service->selector().EjectedCount(now);
  }
  status.claims_waiting = journal_.claims_waiting();
  status.journal_idle = journal_.Idle();
  status.attempts = flow_.attempts();
  status.retries = flow_.retries();
  status.hedges = flow_.hedges();
  return status;
}

RouterNode::RouterNode(RouterNodeOptions options, std::uint64_t seed, Instant now)
    : impl_(std::make_unique<Impl>(std::move(options), seed, now)) {}

RouterNode::~RouterNode() = default;

RouterEffects RouterNode::Tick(Instant now) {
  RouterEffects effects;
  impl_->Tick(now, effects);
  return effects;
}

Instant RouterNode::NextTick() const { return impl_->NextTick(); }

RouterEffects RouterNode::OnControlConnected(Instant now) {
  RouterEffects effects;
  impl_->OnControlConnected(now);
  impl_->SendDue(now, effects);
  return effects;
}

RouterEffects RouterNode::OnControlMessage(const control::ControlToRouter& message, Instant now) {
  RouterEffects effects;
  impl_->OnControlMessage(message, now, effects);
  return effects;
}

RouterEffects RouterNode::OnRequest(const CallerRequest& request, Instant now) {
  RouterEffects effects;
  impl_->OnRequest(request, now, effects);
  impl_->SendDue(now, effects);
  return effects;
}

RouterEffects RouterNode::OnAttemptEnd(const AttemptResult& result, Instant now) {
  RouterEffects effects;
  impl_->flow().OnAttemptEnd(result, now, effects);
  impl_->SendDue(now, effects);
  return effects;
}

RouterEffects RouterNode::OnCallerGone(RequestNumber request, Instant now) {
  RouterEffects effects;
  impl_->flow().OnCallerGone(request, now, effects);
  impl_->SendDue(now, effects);
  return effects;
}

RouterEffects RouterNode::PrepareStop(Instant now) {
  RouterEffects effects;
  impl_->PrepareStop(now);
  impl_->SendDue(now, effects);
  return effects;
}

bool RouterNode::Ready(Instant now) const { return impl_->Ready(now); }

std::size_t RouterNode::BodyBytesMaximum(const ServiceName& service) const {
  return impl_->BodyBytesMaximum(service);
}

RouterStatus RouterNode::Status(Instant now) const { return impl_->Status(now); }

}  // namespace graniteseam::routing
