/// @file
/// How tenants' quotas are divided among routers: shares that the leader leases, and single tokens
/// for what a share does not cover. docs/design/quotas.md says why the sum holds.
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

/// For which a router may use its shares, from the sending of the poll whose answer renewed them.
/// Longer than a group takes to elect another leader, and than it is away in an ordinary cut.
inline constexpr Duration kQuotaLease{5'000'000};

/// Requests of one tenant: that came, that tokens are wanted for, or that tokens were given for.
struct TenantCount {
  TenantName tenant;
  std::uint32_t requests = 0;

  bool operator==(const TenantCount&) const = default;
};
BOOST_DESCRIBE_STRUCT(TenantCount, (), (tenant, requests))

/// A router's part of a tenant's quota.
struct QuotaShare {
  TenantName tenant;
  double rate_per_second = 0;
  double burst = 0;

  bool operator==(const QuotaShare&) const = default;
};
BOOST_DESCRIBE_STRUCT(QuotaShare, (), (tenant, rate_per_second, burst))

/// All shares of a router. A set with a higher number replaces the one before.
struct QuotaShares {
  std::uint64_t number = 0;  ///< 0: none was ever given.
  std::vector<QuotaShare> shares;

  bool operator==(const QuotaShares&) const = default;
};
BOOST_DESCRIBE_STRUCT(QuotaShares, (), (number, shares))

/// In a poll: what a router has and what it was asked for.
struct QuotaReport {
  std::uint64_t number = 0;   ///< Of the set in use.
  bool tells_shares = false;  ///< `shares` are those in use, as the leader asked.
  std::vector<QuotaShare> shares;
  std::vector<TenantCount> demand;  ///< Since the last poll, of tenants with a limit.

  bool operator==(const QuotaReport&) const = default;
};
BOOST_DESCRIBE_STRUCT(QuotaReport, (), (number, tells_shares, shares, demand))

/// In the answer to a poll.
struct QuotaGrant {
  std::uint64_t renewed = 0;     ///< The set of this number goes on; 0: none does.
  bool asks_for_shares = false;  ///< This leader does not know what the router has.
  QuotaShares next;              ///< Number 0: no other set.

  bool operator==(const QuotaGrant&) const = default;
};
BOOST_DESCRIBE_STRUCT(QuotaGrant, (), (renewed, asks_for_shares, next))

/// Asks the leader for single tokens, for requests that wait for them now.
struct TokenRequest {
  RouterId router;
  std::uint64_t sequence = 0;
  std::vector<TenantCount> wanted;
  std::vector<LimitTokenRequest> limited;

  bool operator==(const TokenRequest&) const = default;
};
BOOST_DESCRIBE_STRUCT(TokenRequest, (), (router, sequence, wanted, limited))

/// Tokens for one tenant: for these requests and no others, and at once.
struct TokenGrant {
  TenantName tenant;
  std::uint32_t requests = 0;
  std::int64_t retry_after_ms = 0;  ///< When it gave fewer than were wanted.

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
