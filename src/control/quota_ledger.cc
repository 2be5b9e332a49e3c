#include "src/control/quota_ledger.h"

#include <algorithm>
#include <cmath>
#include <cstdio>
#include <string>
#include <utility>

#include "graniteseam/common/duration_text.h"

namespace graniteseam::control {
namespace {

using traffic::TenantName;

constexpr Duration kDivideInterval{200'000};
constexpr Duration kNoteInterval{1'000'000};
/// Interval between divisions for each (tenant, router) pair, so that dividing many quotas among
/// many routers takes at most a twentieth of a core.
constexpr Duration kDivideIntervalPerShare{5};
/// Safety margin added to a lease, beside the clock drift, before it is treated as expired.
constexpr Duration kLeaseSlack{200'000};
/// Part of a quota's burst that is leased in shares; single tokens use the rest.
constexpr double kLeasedBurst = 0.7;
/// Single tokens keep this part of the demand from the quota's rate, and at most half of the rate,
/// for requests that by chance exceed the shares.
constexpr double kPooledDemand = 0.4;
constexpr double kLeasedRateMinimum = 0.5;
/// Part of a quota's burst, which is allowed once per window, that is distributed as rate.
constexpr double kBurstAsRate = 0.6;
/// Parts of the allowed overshoot that are distributed as burst and as tokens. The rest covers
/// requests that were admitted and reach a server slightly later.
constexpr double kOvershootInBurst = 0.4;
constexpr double kOvershootInTokens = 0.2;
/// Demand in requests per second at which a router gets a share, and below which it loses it. With
/// less demand, a share refills too slowly to justify the capacity that it withholds from other
/// routers.
constexpr double kDemandMinimum = 0.8;
constexpr double kDemandKept = 0.4;
constexpr double kDemandForgotten = 0.01;
/// Demand younger than this uses single tokens: when requests move to another router, the capacity
/// of a share returns only after two polls.
constexpr Duration kSustainedAfter{3'000'000};
/// Number of expected requests that must fail to arrive before a demand is treated as ended.
constexpr double kMissingRequestsMaximum = 3.0;
/// Averaging time of a router's demand, in seconds.
constexpr double kDemandSeconds = 4.0;
/// Minimum relative change of a share that is sent to its router; each change costs a message.
constexpr double kShareChangeMinimum = 0.2;
/// A share with less burst admits no whole request and is treated as none.
constexpr double kBurstMinimum = 1.0;
constexpr std::uint64_t kNumbersPerTerm = std::uint64_t{1} << 32;
/// Minimum time between polls in seconds; rates over a shorter time are unreliable and are computed
/// over this one.
constexpr double kReportSpanMinimum = 0.05;
/// Minimum refill rate, in requests per second, for computing the retry delay of a refusal.
constexpr double kRetryRateMinimum = 0.1;
/// Maximum tenants tracked for each router; a longer report is a fault of its sender.
constexpr std::size_t kTenantsPerRouter = 4'096;

/// Whether a change of a share's size is large enough to send to its router.
bool IsSignificantChange(double before, double after) {
  return (before == 0) != (after == 0) || std::abs(after - before) > kShareChangeMinimum * before;
}

}  // namespace

QuotaLedger::QuotaLedger(QuotaOptions options, std::uint64_t term, Instant now)
    : options_(options),
      first_number_(term * kNumbersPerTerm + 1),
      inherited_until_(now + traffic::kQuotaLease + kLeaseSlack) {}

bool QuotaLedger::MayHaveInheritedLeases(Instant now) const { return now < inherited_until_; }

void QuotaLedger::SetQuota(Account& account, const traffic::TenantQuota& quota) const {
  account.quota = quota;
  const double window = ToSeconds(options_.window);
  const double allowed = quota.rate_per_second * window + quota.burst;
  const double overshoot = allowed * options_.overshoot + options_.slack;
  account.total.rate = quota.rate_per_second + kBurstAsRate * quota.burst / window;
  account.total.burst = (1 - kBurstAsRate) * quota.burst + overshoot * kOvershootInBurst;
  account.token_rate = overshoot * kOvershootInTokens / window;
}

void QuotaLedger::SyncTenants(const traffic::Tenancy& tenancy, std::uint64_t changed_at,
                              Instant now) {
  if (synced_tenants_ == changed_at) return;
  synced_tenants_ = changed_at;
  std::map<TenantName, Account> next;
  for (const traffic::Tenant& tenant : tenancy.tenants) {
    if (!tenant.quota.is_limited()) continue;
    Account& account = next[tenant.name];
    const auto known = accounts_.find(tenant.name);
    if (known != accounts_.end()) {
      account = known->second;
    } else {
      account.refilled_at = now;
    }
    SetQuota(account, tenant.quota);
    account.tokens = std::min(account.tokens, account.total.burst);
  }
  accounts_ = std::move(next);
  divide_due_ = now;
}

QuotaLedger::ShareSetStatus QuotaLedger::TakeShares(Router& router,
                                                    const traffic::QuotaReport& report,
                                                    Instant now) {
  if (report.number == router.newest.number) {
    router.acknowledged = router.newest;
    return ShareSetStatus::kKnown;
  }
  if (report.number == router.acknowledged.number) return ShareSetStatus::kKnown;
  // A restarted router. The shares of its former process stay reserved for it.
  if (report.number == 0) return ShareSetStatus::kNone;
  if (report.number < router.acknowledged.number) return ShareSetStatus::kLate;
  if (!MayHaveInheritedLeases(now)) {
    // The lease has expired: this leader has not renewed it, and those of earlier leaders ended
    // before.
    router.acknowledged = {report.number, {}};
    router.newest = {std::max(first_number_, report.number + 1), {}};
    return ShareSetStatus::kNone;
  }
  if (!report.tells_shares) return ShareSetStatus::kUnknown;
  // Granted by an earlier leader.
  ShareSet held;
  held.number = report.number;
  for (const traffic::QuotaShare& share : report.shares) {
    held.parts[share.tenant] = {std::max(0.0, share.rate_per_second), std::max(0.0, share.burst)};
  }
  router.acknowledged = router.newest = std::move(held);
  return ShareSetStatus::kKnown;
}

void QuotaLedger::TakeDemand(Router& router, const traffic::QuotaReport& report, Instant now) {
  const double span = std::max(kReportSpanMinimum, ToSeconds(now - router.polled));
  const bool first = router.polled == Instant{};
  router.polled = now;
  if (first) return;
  const double newest = std::min(1.0, span / kDemandSeconds);
  for (auto& [tenant, demand] : router.demand) demand.rate *= 1.0 - newest;
  for (const traffic::TenantCount& count : report.demand) {
    if (router.demand.size() >= kTenantsPerRouter && !router.demand.contains(count.tenant)) break;
    Demand& demand = router.demand[count.tenant];
    if (demand.since == Instant{}) demand.since = now;
    demand.rate += newest * count.requests / span;
    demand.newest = now;
  }
  // No requests for longer than chance explains: the tenant's requests now use another router.
  std::erase_if(router.demand, [&](const auto& entry) {
    return ToSeconds(now - entry.second.newest) * entry.second.rate > kMissingRequestsMaximum ||
           entry.second.rate < kDemandForgotten;
  });
}

double QuotaLedger::SustainedDemand(const Router& router, const TenantName& tenant, bool has_share,
                                    Instant now) {
  const auto found = router.demand.find(tenant);
  if (found == router.demand.end()) return 0;
  const Demand& demand = found->second;
  const double least = has_share ? kDemandKept : kDemandMinimum;
  const bool lasts = has_share || now - demand.since >= kSustainedAfter;
  return lasts && demand.rate >= least ? demand.rate : 0;
}

traffic::QuotaGrant QuotaLedger::TakePoll(const RouterId& id, const traffic::QuotaReport& report,
                                          Instant now) {
  traffic::QuotaGrant grant;
  if (accounts_.empty() && report.number == 0) return grant;
  Router& router = routers_[id];
  const ShareSetStatus status = TakeShares(router, report, now);
  TakeDemand(router, report, now);
  grant.asks_for_shares = status == ShareSetStatus::kUnknown;
  if (grant.asks_for_shares || status == ShareSetStatus::kLate) return grant;
  Divide(now);
  router.answered = now;
  if (status == ShareSetStatus::kKnown) grant.renewed = report.number;
  const auto wanted = wanted_.find(id);
  if (report.number == router.newest.number && wanted != wanted_.end()) {
    const std::uint64_t number = std::max(first_number_, router.newest.number + 1);
    router.newest = {number, std::move(wanted->second)};
    wanted_.erase(wanted);
  }
  if (router.newest.number == report.number) return grant;
  grant.next.number = router.newest.number;
  for (const auto& [tenant, part] : router.newest.parts) {
    grant.next.shares.push_back({tenant, part.rate, part.burst});
  }
  return grant;
}

QuotaLedger::Share QuotaLedger::ReservedShare(const Router& router, const TenantName& tenant) {
  Share reserved;
  for (const ShareSet* sent : {&router.acknowledged, &router.newest}) {
    const auto part = sent->parts.find(tenant);
    if (part == sent->parts.end()) continue;
    reserved.rate = std::max(reserved.rate, part->second.rate);
    reserved.burst = std::max(reserved.burst, part->second.burst);
  }
  return reserved;
}

void QuotaLedger::RemoveExpiredRouters(Instant now) {
  const Duration lease = traffic::kQuotaLease + kLeaseSlack;
  std::erase_if(routers_, [&](const auto& entry) {
    return now - entry.second.answered > lease && now - entry.second.polled > lease;
  });
}

void QuotaLedger::Divide(Instant now) {
  if (now < divide_due_) return;
  const auto share_evaluations = static_cast<std::int64_t>(accounts_.size() * routers_.size());
  divide_due_ = now + std::max(kDivideInterval, share_evaluations * kDivideIntervalPerShare);
  RemoveExpiredRouters(now);
  // Shares that were planned and not sent are free again.
  wanted_.clear();
  for (auto& [tenant, account] : accounts_) DivideQuota(tenant, account, now);
}

void QuotaLedger::DivideQuota(const TenantName& tenant, Account& account, Instant now) {
  RefillTokens(account, now);
  std::vector<Claim> claims = CollectClaims(tenant, account, now);
  const Share leased = {std::max(account.total.rate * kLeasedRateMinimum,
                                 account.total.rate - account.demand * kPooledDemand),
                        account.total.burst * kLeasedBurst};
  SetWanted(claims, leased, account.demand);
  // A share grows by capacity that no router may use; a smaller share frees the difference once its
  // router has acknowledged it.
  Share free;
  if (!MayHaveInheritedLeases(now)) {
    free = {leased.rate - account.reserved.rate, leased.burst - account.reserved.burst};
  }
  for (const Claim& claim : claims) {
    const Router& router = routers_.at(*claim.router);
    if (router.acknowledged.number == router.newest.number)
      AdjustShare(claim, tenant, account, free);
  }
}

std::vector<QuotaLedger::Claim> QuotaLedger::CollectClaims(const TenantName& tenant,
                                                           Account& account, Instant now) {
  std::vector<Claim> claims;
  account.demand = 0;
  account.reserved = {};
  share_evaluations_ += routers_.size();
  for (const auto& [id, router] : routers_) {
    const Share reserved = ReservedShare(router, tenant);
    const double asked = SustainedDemand(router, tenant, reserved.burst > 0, now);
    account.reserved.rate += reserved.rate;
    account.reserved.burst += reserved.burst;
    if (asked == 0 && reserved.burst == 0) continue;
    claims.push_back({&id, asked, reserved, {}});
    account.demand += asked;
  }
  // Largest first: where the capacity is too small for all to get a share of a whole request, the
  // routers with the most demand do.
  std::stable_sort(claims.begin(), claims.end(),
                   [](const Claim& a, const Claim& b) { return a.demand > b.demand; });
  return claims;
}

void QuotaLedger::SetWanted(std::vector<Claim>& claims, const Share& leased, double demand) {
  double burst_left = leased.burst;
  for (Claim& claim : claims) {
    if (claim.demand <= 0) continue;
    const double part = claim.demand / demand;
    const double burst = std::max(kBurstMinimum, leased.burst * part);
    if (burst > burst_left) break;
    burst_left -= burst;
    claim.wanted = {std::min(claim.demand, leased.rate * part), burst};
  }
}

void QuotaLedger::AdjustShare(const Claim& claim, const TenantName& tenant, Account& account,
                              Share& free) {
  const Share& held = claim.reserved;
  Share next;
  next.rate = std::min(claim.wanted.rate, held.rate + std::max(0.0, free.rate));
  next.burst = std::min(claim.wanted.burst, held.burst + std::max(0.0, free.burst));
  if (next.burst < kBurstMinimum || next.rate <= 0) next = {};
  if (!IsSignificantChange(held.rate, next.rate) && !IsSignificantChange(held.burst, next.burst))
    return;
  const Share more = {std::max(0.0, next.rate - held.rate), std::max(0.0, next.burst - held.burst)};
  free.rate -= more.rate;
  free.burst -= more.burst;
  // Reserved immediately, although the router receives the share with its next poll.
  account.reserved.rate += more.rate;
  account.reserved.burst += more.burst;
  const ShareSet& newest = routers_.at(*claim.router).newest;
  auto& wanted = wanted_.try_emplace(*claim.router, newest.parts).first->second;
  if (next.burst == 0) {
    wanted.erase(tenant);
  } else {
    wanted[tenant] = next;
  }
}

void QuotaLedger::NoteExhausted(const TenantName& tenant, Account& account, Instant now) {
  if (now < account.note_due) return;
  account.note_due = now + kNoteInterval;
  const auto text = [](double number) {
    char digits[32];
    std::snprintf(digits, sizeof(digits), "%.1f", number);
    return std::string(digits);
  };
  notes_.push_back({"quota_used_up",
                    {},
                    0,
                    {},
                    "tenant " + tenant.value + ", rate " + text(account.quota.rate_per_second) +
                        ", burst " + text(account.quota.burst) + ", lasting demand " +
                        text(account.demand) + ", leased rate " + text(account.reserved.rate) +
                        ", leased burst " + text(account.reserved.burst)});
}

double QuotaLedger::TokenRoom(const Account& account) const {
  return std::max(0.0, account.total.burst - account.reserved.burst);
}

void QuotaLedger::RefillTokens(Account& account, Instant now) {
  const double free_rate =
      MayHaveInheritedLeases(now) ? 0 : std::max(0.0, account.total.rate - account.reserved.rate);
  const double refill = (free_rate + account.token_rate) * ToSeconds(now - account.refilled_at);
  account.refilled_at = now;
  account.tokens = std::min(account.tokens + refill, TokenRoom(account));
}

traffic::TokenAnswer QuotaLedger::TakeTokens(const traffic::TokenRequest& request, Instant now) {
  traffic::TokenAnswer answer;
  answer.sequence = request.sequence;
  Divide(now);
  for (const traffic::TenantCount& wanted : request.wanted) {
    traffic::TokenGrant& grant = answer.granted.emplace_back();
    grant.tenant = wanted.tenant;
    const auto found = accounts_.find(wanted.tenant);
    // The tenant or its limit was removed: the router learns this from the next configuration.
    grant.requests = wanted.requests;
    if (found == accounts_.end()) continue;
    Account& account = found->second;
    RefillTokens(account, now);
    grant.requests = std::min(wanted.requests, static_cast<std::uint32_t>(account.tokens));
    account.tokens -= grant.requests;
    if (grant.requests == wanted.requests) continue;
    const double rate = std::max(kRetryRateMinimum, account.total.rate - account.reserved.rate);
    constexpr double kMillis = 1'000;
    const double missing = 1.0 - (account.tokens - std::floor(account.tokens));
    grant.retry_after_ms = static_cast<std::int64_t>(std::ceil(kMillis * missing / rate));
    NoteExhausted(wanted.tenant, account, now);
  }
  return answer;
}

}  // namespace graniteseam::control
