#include "src/gateway/quota_gate.h"

#include <algorithm>
#include <chrono>
#include <utility>

#include "graniteseam/common/duration_text.h"

namespace graniteseam::gateway {
namespace {

/// Answers to older polls renew nothing: one may come from an earlier leader, delayed on its way.
constexpr Duration kAnswerMaxAge{1'000'000};
constexpr std::size_t kPollsKept = 16;
/// A token request without an answer is repeated after this.
constexpr Duration kTokenRequestTimeout{300'000};
/// Upper bound of the interval between two token requests for a tenant whose tokens were used up.
constexpr Duration kRefusalMaximum{250'000};
constexpr Duration kRetryAfterMinimum{50'000};

}  // namespace

auto QuotaGate::fill(Bucket& bucket, Instant now) -> void {
  auto const come = bucket.rate * ToSeconds(now - bucket.filled);
  bucket.tokens = std::min(bucket.burst, bucket.tokens + come);
  bucket.filled = now;
}

auto QuotaGate::apply_quotas(TenantTable const& tenants) -> void {
  std::erase_if(m_limited, [&](auto const& entry) {
    auto const known = tenants.tenants().find(entry.first);
    return known == tenants.tenants().end() || !known->second.quota.is_limited();
  });
  for (auto const& [name, tenant] : tenants.tenants()) {
    if (!tenant.quota.is_limited()) continue;
    auto& limited = m_limited[name];
    limited.quota = tenant.quota;
    if (!limited.share) continue;
    // A lower quota takes effect before the leader's next set of shares.
    limited.share->rate = std::min(limited.share->rate, tenant.quota.rate_per_second);
  }
}

auto QuotaGate::admit(traffic::TenantName const& tenant, Instant now) -> Verdict {
  auto const found = m_limited.find(tenant);
  if (found == m_limited.end()) return Verdict::kAdmitted;
  auto& limited = found->second;
  ++limited.asked;
  if (admit_by_share(tenant, now)) return Verdict::kAdmitted;
  return now < limited.refused_until ? Verdict::kRefused : Verdict::kNeedsToken;
}

auto QuotaGate::admit_by_share(traffic::TenantName const& tenant, Instant now) -> bool {
  auto const found = m_limited.find(tenant);
  if (found == m_limited.end()) return true;
  auto& share = found->second.share;
  if (!share || now >= m_lease_end) return false;
  fill(*share, now);
  if (share->tokens < 1) return false;
  share->tokens -= 1;
  return true;
}

auto QuotaGate::give_back(traffic::TenantName const& tenant) -> void {
  auto const found = m_limited.find(tenant);
  if (found == m_limited.end() || !found->second.share) return;
  auto& share = *found->second.share;
  share.tokens = std::min(share.burst, share.tokens + 1);
}

auto QuotaGate::retry_after(traffic::TenantName const& tenant, Instant now) const -> Duration {
  auto const found = m_limited.find(tenant);
  auto const until = found == m_limited.end() ? now : found->second.refused_until;
  return std::max(kRetryAfterMinimum, until - now);
}

auto QuotaGate::add_to_poll(traffic::TrafficPoll& poll, Instant now) -> void {
  // Other gateways may use these shares by now: a new leader must not receive them and take
  // them over.
  if (now >= m_lease_end) forget_shares();
  m_polls.push_back({poll.sequence, now});
  if (m_polls.size() > kPollsKept) m_polls.pop_front();
  poll.quota.number = m_number;
  poll.quota.tells_shares = std::exchange(m_reports_shares, false);
  for (auto& [tenant, limited] : m_limited) {
    auto const asked = std::exchange(limited.asked, 0);
    if (asked > 0) poll.quota.demand.push_back({tenant, asked});
    if (poll.quota.tells_shares && limited.share) {
      poll.quota.shares.push_back({tenant, limited.share->rate, limited.share->burst});
    }
  }
}

auto QuotaGate::forget_shares() -> void {
  m_number = 0;
  for (auto& [tenant, limited] : m_limited) limited.share.reset();
}

auto QuotaGate::take(traffic::QuotaGrant const& grant, std::uint64_t poll, Instant now) -> void {
  auto const sent = std::find_if(m_polls.begin(), m_polls.end(),
                                 [&](auto const& one) { return one.sequence == poll; });
  if (sent == m_polls.end() || now - sent->at > kAnswerMaxAge) return;
  m_reports_shares = m_reports_shares || grant.asks_for_shares;
  if (grant.renewed != 0 && grant.renewed == m_number) {
    m_lease_end = std::max(m_lease_end, sent->at + traffic::kQuotaLease);
  }
  if (grant.next.number > m_number) {
    replace(grant.next, now);
    m_lease_end = sent->at + traffic::kQuotaLease;
  }
}

auto QuotaGate::replace(traffic::QuotaShares const& shares, Instant now) -> void {
  auto const was_over = now >= m_lease_end;
  m_number = shares.number;
  std::map<traffic::TenantName, traffic::QuotaShare const*> next;
  for (auto const& share : shares.shares) next[share.tenant] = &share;
  for (auto& [tenant, limited] : m_limited) {
    auto const found = next.find(tenant);
    if (found == next.end()) {
      limited.share.reset();
      continue;
    }
    auto const& share = *found->second;
    Bucket bucket;
    if (limited.share && !was_over) {
      bucket = *limited.share;
      fill(bucket, now);
    }
    bucket.rate = std::min(share.rate_per_second, limited.quota.rate_per_second);
    bucket.burst = share.burst;
    bucket.tokens = std::min(bucket.tokens, bucket.burst);
    bucket.filled = now;
    limited.share = bucket;
  }
}

auto QuotaGate::next_token_request(std::vector<traffic::TenantCount> wanted, Instant now,
                                   std::vector<traffic::LimitTokenRequest> limited)
    -> std::optional<traffic::TokenRequest> {
  if ((wanted.empty() && limited.empty()) || !may_request_tokens(now)) return std::nullopt;
  m_requested_at = now;
  return traffic::TokenRequest{m_router, ++m_token_requests, std::move(wanted), std::move(limited)};
}

auto QuotaGate::may_request_tokens(Instant now) const -> bool {
  return !m_requested_at || now - *m_requested_at >= kTokenRequestTimeout;
}

auto QuotaGate::take(traffic::TokenAnswer const& answer, Instant now) -> bool {
  if (!m_requested_at || answer.sequence != m_token_requests) return false;
  m_requested_at.reset();
  for (auto const& grant : answer.granted) {
    auto const found = m_limited.find(grant.tenant);
    if (found == m_limited.end() || grant.retry_after_ms <= 0) continue;
    auto const wait = Duration(std::chrono::milliseconds(grant.retry_after_ms));
    found->second.refused_until = now + std::min(wait, kRefusalMaximum);
  }
  return true;
}

}  // namespace graniteseam::gateway
