#include "tests/quota/quota_world.h"

#include <algorithm>

namespace graniteseam::quota_test {
namespace {

const traffic::TenantName kTenant{"t"};
constexpr Duration kPollInterval{500'000};
constexpr Duration kTokenWait{100'000};

}  // namespace

QuotaWorld::QuotaWorld(WorldOptions options) : options_(options), random_(options.seed) {
  gateways_.resize(options_.gateways);
  for (Gateway& gateway : gateways_) {
    Start(gateway);
    gateway.next_poll = now_ + Duration(static_cast<std::int64_t>(random_() % 500'000));
  }
  ChangeLeader();
}

void QuotaWorld::Start(Gateway& gateway) {
  ++gateway.life;
  gateway.gate = std::make_unique<gateway::QuotaGate>(
      RouterId{"g-" + std::to_string(&gateway - gateways_.data())});
  gateway.gate->apply_quotas(Tenants());
  refused_ += gateway.waiting.size();
  gateway.waiting = {};
  gateway.arrived.clear();
}

gateway::TenantTable QuotaWorld::Tenants() const {
  traffic::TrafficUpdate update;
  update.version = changed_at_;
  update.tenancy.keys_required = true;
  traffic::Tenant tenant;
  tenant.name = kTenant;
  tenant.quota = options_.quota;
  update.tenancy.tenants = {tenant};
  gateway::TenantTable table;
  table.apply(update);
  return table;
}

void QuotaWorld::SetQuota(traffic::TenantQuota quota) {
  options_.quota = quota;
  ++changed_at_;
  for (Gateway& gateway : gateways_) gateway.gate->apply_quotas(Tenants());
}

double QuotaWorld::Allowed(const WorldOptions& options) {
  const double window = std::chrono::duration<double>(options.options.window).count();
  const double plain = options.quota.rate_per_second * window + options.quota.burst;
  return plain * (1 + options.options.overshoot) + options.options.slack;
}

std::size_t QuotaWorld::MostInWindow(Instant from) const {
  std::size_t most = 0;
  std::size_t first = 0;
  for (std::size_t last = 0; last < admitted_.size(); ++last) {
    while (admitted_[last] - admitted_[first] >= options_.options.window) ++first;
    if (admitted_[first] >= from) most = std::max(most, last - first + 1);
  }
  return most;
}

void QuotaWorld::Deliver(std::function<void()> message) {
  ++messages_;
  const std::uint64_t drawn = random_() % 1'000;
  if (options_.faults && drawn < 20) return;
  std::int64_t delay_us = 1'000 + static_cast<std::int64_t>(random_() % 9'000);
  // Held up by a cut, and delivered after what was sent later.
  if (options_.faults && drawn < 60) delay_us = static_cast<std::int64_t>(random_() % 4'000'000);
  events_.emplace(now_ + Duration(delay_us), std::move(message));
}

void QuotaWorld::Poll(std::size_t index) {
  Gateway& gateway = gateways_[index];
  gateway.next_poll = now_ + kPollInterval;
  traffic::TrafficPoll poll;
  poll.router = {"g-" + std::to_string(index)};
  poll.sequence = ++gateway.polls;
  gateway.gate->add_to_poll(poll, now_);
  if (!Reachable(gateway)) return;
  const std::uint64_t life = gateway.life;
  Deliver([this, index, poll, life] {
    if (!ledger_) return;
    const auto grant = ledger_->TakePoll(poll.router, poll.quota, now_);
    Deliver([this, index, grant, sequence = poll.sequence, life] {
      Gateway& asking = gateways_[index];
      if (asking.life != life || !Reachable(asking)) return;
      asking.gate->take(grant, sequence, now_);
    });
  });
}

void QuotaWorld::Ask(std::size_t index) {
  Gateway& gateway = gateways_[index];
  const auto question = gateway.gate->next_token_request(gateway.waiting.wanted(), now_);
  if (!question || !Reachable(gateway)) return;
  const std::uint64_t life = gateway.life;
  Deliver([this, index, question, life] {
    if (!ledger_) return;
    const auto answer = ledger_->TakeTokens(*question, now_);
    Deliver([this, index, answer, life] {
      if (gateways_[index].life == life && Reachable(gateways_[index])) OnTokens(index, answer);
    });
  });
}

void QuotaWorld::OnTokens(std::size_t index, const traffic::TokenAnswer& answer) {
  Gateway& gateway = gateways_[index];
  if (!gateway.gate->take(answer, now_)) return;
  for (const traffic::TokenGrant& grant : answer.granted) {
    for (const auto request : gateway.waiting.take(grant.tenant, grant.requests)) {
      gateway.arrived.erase(request.value);
      admitted_.push_back(now_);
    }
    if (grant.retry_after_ms == 0) continue;
    for (const auto request : gateway.waiting.take(grant.tenant, gateway.waiting.size())) {
      gateway.arrived.erase(request.value);
      ++refused_;
    }
  }
  Ask(index);
}

void QuotaWorld::Arrive(std::size_t index) {
  Gateway& gateway = gateways_[index];
  switch (gateway.gate->admit(kTenant, now_)) {
    case gateway::QuotaGate::Verdict::kAdmitted:
      admitted_.push_back(now_);
      return;
    case gateway::QuotaGate::Verdict::kRefused:
      ++refused_;
      return;
    case gateway::QuotaGate::Verdict::kNeedsToken:
      gateway.waiting.add(kTenant, {++requests_});
      gateway.arrived[requests_] = now_;
      Ask(index);
  }
}

void QuotaWorld::Expire(Gateway& gateway) {
  while (!gateway.arrived.empty() && now_ - gateway.arrived.begin()->second > kTokenWait) {
    gateway.waiting.remove(kTenant, {gateway.arrived.begin()->first});
    gateway.arrived.erase(gateway.arrived.begin());
    if (gateway.gate->admit_by_share(kTenant, now_)) {
      admitted_.push_back(now_);
    } else {
      ++refused_;
    }
  }
}

void QuotaWorld::ChangeLeader() {
  ledger_ = std::make_unique<control::QuotaLedger>(options_.options, ++term_, now_);
}

void QuotaWorld::LoseLeader(Duration span) {
  ledger_.reset();
  leader_back_ = now_ + span;
}

void QuotaWorld::Disturb() {
  Gateway& gateway = gateways_[random_() % gateways_.size()];
  const Duration span(static_cast<std::int64_t>(random_() % 9'000'000));
  switch (random_() % 900) {
    case 0:
      gateway.cut_until = now_ + span;
      break;
    case 1:
      gateway.still_until = now_ + span;
      break;
    case 2:
      Start(gateway);
      break;
    case 3:
      LoseLeader(span / 4);
      break;
    default:
      break;
  }
}

void QuotaWorld::Play(Duration span, const Arrivals& arrivals) {
  for (const Instant end = now_ + span; now_ < end; now_ += kStep) {
    while (!events_.empty() && events_.begin()->first <= now_) {
      const auto event = std::move(events_.begin()->second);
      events_.erase(events_.begin());
      event();
    }
    if (options_.faults) Disturb();
    if (!ledger_ && now_ >= leader_back_) ChangeLeader();
    if (ledger_) {
      traffic::Tenancy tenancy;
      traffic::Tenant tenant;
      tenant.name = kTenant;
      tenant.quota = options_.quota;
      tenancy.tenants = {tenant};
      ledger_->SyncTenants(tenancy, changed_at_, now_);
    }
    for (std::size_t index = 0; index < gateways_.size(); ++index) {
      if (Stands(gateways_[index])) continue;
      Expire(gateways_[index]);
      if (now_ >= gateways_[index].next_poll) Poll(index);
    }
    for (const std::size_t index : arrivals(now_, random_)) {
      if (!Stands(gateways_[index])) Arrive(index);
    }
  }
}

}  // namespace graniteseam::quota_test
