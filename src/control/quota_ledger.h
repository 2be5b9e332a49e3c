/// @file
/// Divides tenants' quotas among routers; run by the leader.
#pragma once

#include <cstdint>
#include <map>
#include <utility>
#include <vector>

#include "graniteseam/control/rollout_note.h"
#include "graniteseam/control/traffic_options.h"
#include "graniteseam/traffic/quota.h"
#include "graniteseam/traffic/tenant.h"
#include "src/traffic/tenant_store.h"

namespace graniteseam::control {

/// Leases shares of tenants' quotas to routers and grants single tokens from the rest.
///
/// Invariant: at any time, the sum of the shares that routers may use and of the single tokens that
/// the leader grants is within the quota's rate and burst, plus the part of the allowed overshoot
/// that is distributed. A share counts from when it is sent until its router acknowledges a smaller
/// one, or until its lease has expired on the router's clock, whichever messages are lost. So a
/// share grows only by capacity that no other router may use. A new leader treats capacity that it
/// has no reports about as used until leases of the former leader have expired; routers report what
/// they hold.
///
/// Tolerates routers that are partitioned, paused or crashed; lost, late and repeated answers; loss
/// of the leader; a lowered limit.
///
/// Exists for one leadership. Deterministic; not thread safe; `now` never decreases.
class QuotaLedger {
 public:
  /// @param term of the leadership. Share set numbers of a term are above those of earlier terms.
  QuotaLedger(QuotaOptions options, std::uint64_t term, Instant now);

  /// Applies the tenants' quotas in force.
  /// @param changed_at version of the configuration; a call with an unchanged version costs
  /// nothing.
  void SyncTenants(const traffic::Tenancy& tenancy, std::uint64_t changed_at, Instant now);

  /// Processes a router's quota report and returns the quota part of the answer to its poll.
  traffic::QuotaGrant TakePoll(const RouterId& router, const traffic::QuotaReport& report,
                               Instant now);
  /// Grants single tokens, as far as each tenant's quota allows, with a retry delay for the rest.
  traffic::TokenAnswer TakeTokens(const traffic::TokenRequest& request, Instant now);

  /// Returns and clears the notes on exhausted quotas, at most one a second for each tenant, with
  /// the demand and the leased capacity.
  std::vector<RolloutNote> TakeNotes() { return std::exchange(notes_, {}); }

  /// Number of (tenant, router) pairs evaluated so far; the cost of dividing quotas.
  std::uint64_t share_evaluations() const { return share_evaluations_; }

 private:
  struct Share {
    double rate = 0;
    double burst = 0;
  };
  /// A numbered set of shares, as sent to a router.
  struct ShareSet {
    std::uint64_t number = 0;
    std::map<traffic::TenantName, Share> parts;
  };
  struct Demand {
    double rate = 0;  ///< Requests per second, smoothed.
    Instant since{};  ///< Start of the demand.
    Instant newest{};
  };
  struct Router {
    ShareSet acknowledged;  ///< The set that the router has acknowledged.
    ShareSet newest;        ///< The set sent last; equal to `acknowledged` when none is in transit.
    Instant answered{};
    Instant polled{};
    std::map<traffic::TenantName, Demand> demand;
  };
  /// The accounting of one tenant's quota.
  struct Account {
    traffic::TenantQuota quota;
    Share total;            ///< Capacity to distribute, including part of the allowed overshoot.
    Share reserved;         ///< Capacity that routers may use through their shares.
    double token_rate = 0;  ///< Additional refill rate of single tokens, per second.
    double tokens = 0;
    Instant refilled_at{};
    double demand = 0;  ///< Sustained demand of all routers, in requests per second.
    Instant note_due{};
  };

  bool MayHaveInheritedLeases(Instant now) const;
  void SetQuota(Account& account, const traffic::TenantQuota& quota) const;
  /// The leader's record of the share set that a router reports.
  enum class ShareSetStatus {
    kKnown,    ///< Sent by this leader, or inherited from an earlier one.
    kNone,     ///< The router holds no valid share.
    kUnknown,  ///< The router must report its shares.
    kLate,     ///< The report is older than one already processed.
  };
  ShareSetStatus TakeShares(Router& router, const traffic::QuotaReport& report, Instant now);
  /// Sustained demand that justifies a share, in requests per second; 0 for none.
  static double SustainedDemand(const Router& router, const traffic::TenantName& tenant,
                                bool has_share, Instant now);
  static void TakeDemand(Router& router, const traffic::QuotaReport& report, Instant now);
  /// The capacity that a router may use of a tenant's quota: the larger of its acknowledged and its
  /// newest share.
  static Share ReservedShare(const Router& router, const traffic::TenantName& tenant);
  void RemoveExpiredRouters(Instant now);
  /// Recomputes the division of all quotas, at most once per interval.
  void Divide(Instant now);
  void DivideQuota(const traffic::TenantName& tenant, Account& account, Instant now);
  /// One router's claim in the division of one quota.
  struct Claim {
    const RouterId* router;
    double demand;   ///< Sustained demand, in requests per second.
    Share reserved;  ///< Capacity that the router may use now.
    Share wanted;    ///< Target share, granted once other routers have released enough.
  };
  /// Recomputes the account's reserved capacity and demand.
  /// @return the claims of routers with demand or a share, the largest demand first.
  std::vector<Claim> CollectClaims(const traffic::TenantName& tenant, Account& account,
                                   Instant now);
  /// Sets the target shares by dividing the leased capacity in proportion to demand.
  static void SetWanted(std::vector<Claim>& claims, const Share& leased, double demand);
  /// Moves a share towards its target, by at most the free capacity.
  void AdjustShare(const Claim& claim, const traffic::TenantName& tenant, Account& account,
                   Share& free);
  void RefillTokens(Account& account, Instant now);
  void NoteExhausted(const traffic::TenantName& tenant, Account& account, Instant now);
  double TokenRoom(const Account& account) const;

  const QuotaOptions options_;
  const std::uint64_t first_number_;
  const Instant inherited_until_;
  std::uint64_t synced_tenants_ = 0;
  std::map<traffic::TenantName, Account> accounts_;
  std::map<RouterId, Router> routers_;
  /// The next share set of each router, by router and tenant.
  std::map<RouterId, std::map<traffic::TenantName, Share>> wanted_;
  Instant divide_due_{};
  std::vector<RolloutNote> notes_;
  std::uint64_t share_evaluations_ = 0;
};

}  // namespace graniteseam::control
