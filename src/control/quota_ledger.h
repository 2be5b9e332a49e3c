/// @file
/// The leader's division of tenants' quotas among routers.
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

/// Invariant: at any moment, what all routers may use of a tenant's quota by their shares, and what
/// the leader gives by single tokens, is together no more than the quota's rate and burst, with the
/// part of the allowed overshoot that is given out. A share counts from its sending until its
/// router told that it has a smaller one, or until its lease has run out on the router's clock
/// whatever was lost. So a share grows only by what nobody else may use. A new leader counts what
/// it has not heard of as used, until leases of the former one are over; routers tell it what they
/// have.
///
/// Answers the failures: routers that are cut off, stand still or are gone; lost, late and repeated
/// answers; loss of the leader; a limit that is lowered.
///
/// Lives as long as one leadership. Deterministic; not thread safe; `now` never goes back.
class QuotaLedger {
 public:
  /// @param term of the leadership: numbers of its sets are above those of earlier ones.
  QuotaLedger(QuotaOptions options, std::uint64_t term, Instant now);

  /// Takes the tenants in force.
  /// @param changed_at of the configuration; the same again costs nothing.
  void SyncTenants(const traffic::Tenancy& tenancy, std::uint64_t changed_at, Instant now);

  /// Takes what a router tells, and says what its answer must bring.
  traffic::QuotaGrant TakePoll(const RouterId& router, const traffic::QuotaReport& report,
                               Instant now);
  traffic::TokenAnswer TakeTokens(const traffic::TokenRequest& request, Instant now);

  /// Tenants whose quotas had no room, once a second each: what was asked and what is left.
  std::vector<RolloutNote> TakeNotes() { return std::exchange(notes_, {}); }

  /// Shares looked at so far, each as often as it was: what dividing costs.
  std::uint64_t share_evaluations() const { return share_evaluations_; }

 private:
  struct Share {
    double rate = 0;
    double burst = 0;
  };
  /// A set of shares, as sent.
  struct ShareSet {
    std::uint64_t number = 0;
    std::map<traffic::TenantName, Share> parts;
  };
  struct Demand {
    double rate = 0;  ///< Requests a second, averaged.
    Instant since{};  ///< When it began.
    Instant newest{};
  };
  struct Router {
    ShareSet acknowledged;  ///< The router said that it has this one.
    ShareSet newest;  ///< Sent since; the same as `acknowledged` when there is none on its way.
    Instant answered{};
    Instant polled{};
    std::map<traffic::TenantName, Demand> demand;
  };
  /// What may be given of one tenant's quota.
  struct Account {
    traffic::TenantQuota quota;
    Share total;            ///< With the part of the overshoot that is given out.
    Share reserved;         ///< That routers may use by their shares.
    double token_rate = 0;  ///< At which single tokens come.
    double tokens = 0;
    Instant refilled_at{};
    double demand = 0;  ///< Requests a second that last, of all routers.
    Instant note_due{};
  };

  bool MayHaveInheritedLeases(Instant now) const;
  void SetQuota(Account& account, const traffic::TenantQuota& quota) const;
  /// What a router's set of shares is to this leader.
  enum class ShareSetStatus {
    kKnown,    ///< Sent or taken over by it.
    kNone,     ///< The router has nothing that it may use.
    kUnknown,  ///< It must say what it has.
    kLate,     ///< The report was overtaken by a newer one.
  };
  ShareSetStatus TakeShares(Router& router, const traffic::QuotaReport& report, Instant now);
  /// Requests a second for which a router is to have a share; 0 for none.
  static double SustainedDemand(const Router& router, const traffic::TenantName& tenant,
                                bool has_share, Instant now);
  static void TakeDemand(Router& router, const traffic::QuotaReport& report, Instant now);
  /// What a router may use of a tenant's quota, whichever of its sets it goes by.
  static Share ReservedShare(const Router& router, const traffic::TenantName& tenant);
  void RemoveExpiredRouters(Instant now);
  /// Divides all quotas anew, at intervals.
  void Divide(Instant now);
  void DivideQuota(const traffic::TenantName& tenant, Account& account, Instant now);
  /// One router's part in the division of one quota.
  struct Claim {
    const RouterId* router;
    double demand;   ///< Requests a second that last.
    Share reserved;  ///< That the router may use now.
    Share wanted;    ///< That it is to have once others use no more of it.
  };
  /// Counts what is reserved and asked for, anew.
  /// @return those that ask or have something, the largest first.
  std::vector<Claim> CollectClaims(const traffic::TenantName& tenant, Account& account,
                                   Instant now);
  /// Divides what is leased in all by demand.
  static void SetWanted(std::vector<Claim>& claims, const Share& leased, double demand);
  /// Moves a share towards what is wanted, by no more than is free.
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
  /// What each router is to have next, by router and tenant.
  std::map<RouterId, std::map<traffic::TenantName, Share>> wanted_;
  Instant divide_due_{};
  std::vector<RolloutNote> notes_;
  std::uint64_t share_evaluations_ = 0;
};

}  // namespace graniteseam::control
