/// @file
/// Lets requests in by this gateway's shares of their tenants' quotas.
#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <optional>

#include "graniteseam/traffic/quota.h"
#include "src/gateway/tenant_table.h"

namespace graniteseam::gateway {

/// Invariant: requests are let in by a share that the leader leased and whose lease is not over, or
/// by a single token that it gave for them; so all gateways together keep a tenant's quota,
/// whatever each of them knows. A share begins empty: what its last holder let in just before
/// counts.
///
/// A request that no share has room for asks for a token, unless the leader has just said that
/// there are none. Not thread safe; `now` never goes back.
class QuotaGate {
 public:
  enum class Verdict {
    kAdmitted,
    kNeedsToken,  ///< A token of the leader decides.
    kRefused,     ///< The leader had none a moment ago.
  };

  explicit QuotaGate(RouterId router) : m_router(std::move(router)) {}

  /// Takes limits that are in force from now on.
  auto follow(TenantTable const& tenants) -> void;

  auto admit(traffic::TenantName const& tenant, Instant now) -> Verdict;
  /// The same of a request that waited in vain for a token.
  auto admit_by_share(traffic::TenantName const& tenant, Instant now) -> bool;
  /// A request that was let in was not sent to any server.
  auto give_back(traffic::TenantName const& tenant) -> void;
  /// When a tenant that was refused may come again.
  auto retry_after(traffic::TenantName const& tenant, Instant now) const -> Duration;

  /// Adds what the leader must know to a poll.
  auto add_to_poll(traffic::TrafficPoll& poll, Instant now) -> void;
  /// Takes the answer to the poll with this sequence.
  auto take(traffic::QuotaGrant const& grant, std::uint64_t poll, Instant now) -> void;

  /// What to ask the leader for, when there is something and no question is open.
  /// @param limited what else to ask for: tokens of instances that name limits.
  auto next_token_request(std::vector<traffic::TenantCount> wanted, Instant now,
                          std::vector<traffic::LimitTokenRequest> limited = {})
      -> std::optional<traffic::TokenRequest>;
  /// Whether no question is open.
  auto may_request_tokens(Instant now) const -> bool;
  /// @return whether the answer is one to the open question.
  auto take(traffic::TokenAnswer const& answer, Instant now) -> bool;

 private:
  struct Bucket {
    double rate = 0;
    double burst = 0;
    double tokens = 0;
    Instant filled{};
  };
  struct Limited {
    traffic::TenantQuota quota;
    std::optional<Bucket> share;
    std::uint32_t asked = 0;  ///< Since the last poll.
    Instant refused_until{};  ///< The leader had no tokens.
  };
  struct SentPoll {
    std::uint64_t sequence = 0;
    Instant at;
  };

  auto replace(traffic::QuotaShares const& shares, Instant now) -> void;
  auto forget_shares() -> void;
  static auto fill(Bucket& bucket, Instant now) -> void;

  RouterId const m_router;
  std::map<traffic::TenantName, Limited> m_limited;
  std::uint64_t m_number = 0;  ///< Of the set of shares in use.
  Instant m_lease_end{};
  std::deque<SentPoll> m_polls;
  bool m_tells_shares = false;
  std::uint64_t m_questions = 0;
  std::optional<Instant> m_asked_at;  ///< When the open question was sent.
};

}  // namespace graniteseam::gateway
