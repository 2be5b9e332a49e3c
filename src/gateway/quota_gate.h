/// @file
/// Admits requests under this gateway's shares of their tenants' quotas.
#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <optional>

#include "graniteseam/traffic/quota.h"
#include "src/gateway/tenant_table.h"

namespace graniteseam::gateway {

/// Invariant: a request is admitted under a share leased from the leader whose lease has not
/// expired, or by a single token that the leader granted for it. All gateways together thus stay
/// within a tenant's quota, whatever state each of them has. A share starts empty, since requests
/// that its last holder admitted just before still count.
///
/// A request for which the share has no room needs a token, unless the leader recently reported
/// that there are none. Not thread safe; `now` must not decrease.
class QuotaGate {
 public:
  enum class Verdict {
    kAdmitted,
    kNeedsToken,  ///< A token from the leader is needed.
    kRefused,     ///< The leader recently had no tokens.
  };

  explicit QuotaGate(RouterId router) : m_router(std::move(router)) {}

  /// Applies the tenants' current quotas.
  auto apply_quotas(TenantTable const& tenants) -> void;

  auto admit(traffic::TenantName const& tenant, Instant now) -> Verdict;
  /// Like admit(), for a request that waited in vain for a token: uses the share alone and does not
  /// count as new demand.
  auto admit_by_share(traffic::TenantName const& tenant, Instant now) -> bool;
  /// Returns the token of an admitted request that was not sent to any server.
  auto give_back(traffic::TenantName const& tenant) -> void;
  /// The wait after which a refused tenant may retry.
  auto retry_after(traffic::TenantName const& tenant, Instant now) const -> Duration;

  /// Adds demand, and shares if the leader asked for them, to a poll.
  auto add_to_poll(traffic::TrafficPoll& poll, Instant now) -> void;
  /// Applies the answer to the poll with this sequence number.
  auto take(traffic::QuotaGrant const& grant, std::uint64_t poll, Instant now) -> void;

  /// The next token request to the leader; nullopt when nothing is wanted or a request is open.
  /// @param limited tokens of rate-limited instances to request as well.
  auto next_token_request(std::vector<traffic::TenantCount> wanted, Instant now,
                          std::vector<traffic::LimitTokenRequest> limited = {})
      -> std::optional<traffic::TokenRequest>;
  /// Whether no token request is open.
  auto may_request_tokens(Instant now) const -> bool;
  /// @return whether the answer belongs to the open token request.
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
    std::uint32_t asked = 0;  ///< Requests since the last poll.
    Instant refused_until{};  ///< Until then the leader is taken to have no tokens.
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
  std::uint64_t m_number = 0;  ///< Number of the active set of shares.
  Instant m_lease_end{};
  std::deque<SentPoll> m_polls;
  bool m_reports_shares = false;
  std::uint64_t m_token_requests = 0;
  std::optional<Instant> m_requested_at;  ///< When the open token request was sent.
};

}  // namespace graniteseam::gateway
