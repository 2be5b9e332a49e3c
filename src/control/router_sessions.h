/// @file
/// The control leader's side of router leases: a router is granted one only while it shows the
/// newest bundle, and gets the routing table's changes and its allotments with it.
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

/// All routers that spoke to this leader in this term. Not thread safe; deterministic.
class RouterSessions {
 public:
  RouterSessions(Duration router_lease, const ReplicatedState& state)
      : router_lease_(router_lease), state_(state) {}

  /// Answers a renewal. @param connection where later changes of the table are pushed.
  RouterRenewalAnswer Renew(std::uint64_t connection, const RouterRenewal& renewal, Instant now);

  /// Changes of the routing table for routers that hold a lease, each at most once. They repeat the
  /// grant of the router's last renewal and so extend nothing.
  std::vector<std::pair<std::uint64_t, RouterRenewalAnswer>> Push(Instant now);

  void Disconnect(std::uint64_t connection);

  /// Takes the groups and capacities of the bundle in force and of the servers as they are.
  void SyncState();

  std::vector<ProcessVersion> Versions(Instant now) const;

 private:
  struct Session {
    std::optional<std::uint64_t> connection;
    std::uint64_t sequence = 0;
    bool granted = false;
    BundleVersion bundle_version;
    std::uint64_t sent_map_version = 0;      ///< Newest sent over `connection`.
    std::uint64_t answered_map_version = 0;  ///< Sent up to the last answer...
    std::uint64_t expected_map_version = 0;  ///< ...and up to the one before: the router has it.
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
