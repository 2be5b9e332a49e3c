/// @file
/// The control leader's side of router leases. A router is granted a lease only while it reports
/// the newest bundle; the answer also carries changes of the routing table and the router's
/// allotments.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <utility>
#include <vector>

#include "graniteseam/admission/allotter.h"
#include "graniteseam/common/time.h"
#include "graniteseam/control/operator_messages.h"
#include "graniteseam/control/router_messages.h"
#include "src/control/replicated_state.h"

namespace graniteseam::control {

/// The sessions of all routers that contacted this leader in this term. Not thread safe;
/// deterministic.
class RouterSessions {
 public:
  RouterSessions(Duration router_lease, const ReplicatedState& state)
      : router_lease_(router_lease), state_(state) {}

  /// Answers a renewal.
  /// @param connection the connection to which later changes of the routing table are pushed.
  RouterRenewalAnswer Renew(std::uint64_t connection, const RouterRenewal& renewal, Instant now);

  /// Returns changes of the routing table for routers that hold a lease, each change at most once.
  /// They repeat the grant of the router's last renewal and do not extend its lease.
  std::vector<std::pair<std::uint64_t, RouterRenewalAnswer>> Push(Instant now);

  /// Stops pushing changes to a closed connection.
  void Disconnect(std::uint64_t connection);

  /// Applies the groups and capacities of the bundle in force and of the servers that accept new
  /// work.
  void SyncState();

  /// The bundle version of each active router, and the age of its last renewal.
  std::vector<ProcessVersion> Versions(Instant now) const;

 private:
  struct Session {
    std::optional<std::uint64_t> connection;
    std::uint64_t sequence = 0;
    bool granted = false;
    BundleVersion bundle_version;
    std::uint64_t sent_map_version = 0;      ///< Newest version sent over `connection`.
    std::uint64_t answered_map_version = 0;  ///< Version sent up to the last answer.
    /// Version sent up to the answer before that, which the router has received.
    std::uint64_t expected_map_version = 0;
    Instant last_renewal{};
  };

  void CheckMapVersion(std::uint64_t connection, const RouterRenewal& renewal,
                       Session& session) const;
  void FillMap(Session& session, RouterRenewalAnswer& answer) const;
  void FillAllotments(const RouterId& router, RouterRenewalAnswer& answer, Instant now);
  void Report(const RouterRenewal& renewal, Instant now);

  Duration router_lease_;
  const ReplicatedState& state_;
  admission::Allotter allotter_;
  std::map<RouterId, Session> sessions_;
  std::uint64_t pushed_version_ = 0;
};

}  // namespace graniteseam::control
