/// @file
/// Division of tenants' quotas among routers: shares leased by the leader, and single tokens for
/// requests beyond a share. docs/design/quotas.md explains why the sum stays within the quota.
#pragma once

#include <boost/describe/class.hpp>
#include <cstdint>
#include <string>
#include <vector>

#include "graniteseam/common/ids.h"
#include "graniteseam/common/time.h"
#include "graniteseam/traffic/instance_limit.h"
#include "graniteseam/traffic/tenant.h"

namespace graniteseam::traffic {

/// How long a router may use its shares, counted from sending the poll whose response renewed them.
/// Longer than the election of a new leader, and than a typical network partition between router
/// and group.
inline constexpr Duration kQuotaLease{5'000'000};

/// Number of requests of one tenant: received, in need of tokens, or granted tokens.
struct TenantCount {
  TenantName tenant;
  std::uint32_t requests = 0;

  bool operator==(const TenantCount&) const = default;
};
BOOST_DESCRIBE_STRUCT(TenantCount, (), (tenant, requests))

/// A router's share of a tenant's quota.
struct QuotaShare {
  TenantName tenant;
  double rate_per_second = 0;
  double burst = 0;

  bool operator==(const QuotaShare&) const = default;
};
BOOST_DESCRIBE_STRUCT(QuotaShare, (), (tenant, rate_per_second, burst))

/// All shares of a router. A set with a higher number replaces the previous one.
struct QuotaShares {
  std::uint64_t number = 0;  ///< 0: no shares were ever leased.
  std::vector<QuotaShare> shares;

  bool operator==(const QuotaShares&) const = default;
};
BOOST_DESCRIBE_STRUCT(QuotaShares, (), (number, shares))

/// The quota part of a poll: the router's shares and the demand of its callers.
struct QuotaReport {
  std::uint64_t number = 0;         ///< Number of the set in use.
  bool tells_shares = false;        ///< Whether `shares` is filled, as requested by the leader.
  std::vector<QuotaShare> shares;   ///< The shares in use.
  std::vector<TenantCount> demand;  ///< Requests since the last poll, of tenants with a limit.

  bool operator==(const QuotaReport&) const = default;
};
BOOST_DESCRIBE_STRUCT(QuotaReport, (), (number, tells_shares, shares, demand))

/// The quota part of the response to a poll.
struct QuotaGrant {
  std::uint64_t renewed = 0;     ///< Number of the set whose lease is renewed; 0 for none.
  bool asks_for_shares = false;  ///< The leader has no record of the router's shares.
  QuotaShares next;              ///< A new set; number 0 when there is none.

  bool operator==(const QuotaGrant&) const = default;
};
BOOST_DESCRIBE_STRUCT(QuotaGrant, (), (renewed, asks_for_shares, next))

/// Requests single tokens from the leader, for requests that are queued for them.
struct TokenRequest {
  RouterId router;
  std::uint64_t sequence = 0;
  std::vector<TenantCount> wanted;         ///< Tokens of tenants' quotas.
  std::vector<LimitTokenRequest> limited;  ///< Tokens of instances' rate limits.

  bool operator==(const TokenRequest&) const = default;
};
BOOST_DESCRIBE_STRUCT(TokenRequest, (), (router, sequence, wanted, limited))

/// Tokens for one tenant. They are valid only for the requests named in the token request, and only
/// immediately.
struct TokenGrant {
  TenantName tenant;
  std::uint32_t requests = 0;
  std::int64_t retry_after_ms = 0;  ///< Set when fewer were granted than requested.

  bool operator==(const TokenGrant&) const = default;
};
BOOST_DESCRIBE_STRUCT(TokenGrant, (), (tenant, requests, retry_after_ms))

struct TokenAnswer {
  std::uint64_t sequence = 0;
  std::vector<TokenGrant> granted;
  std::vector<LimitTokenGrant> limited;

  bool operator==(const TokenAnswer&) const = default;
};
BOOST_DESCRIBE_STRUCT(TokenAnswer, (), (sequence, granted, limited))

}  // namespace graniteseam::traffic
