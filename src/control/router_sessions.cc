#include "src/control/router_sessions.h"

#include <chrono>
#include <set>

#include "graniteseam/common/seeded_defects.h"
#include "src/control/map_update.h"

namespace graniteseam::control {

namespace {

/// Number of lease lengths without a renewal after which a router is no longer listed.
constexpr int kRetentionInLeases = 60;

}  // namespace

RouterRenewalAnswer RouterSessions::Renew(std::uint64_t connection, const RouterRenewal& renewal,
                                          Instant now) {
  RouterRenewalAnswer answer;
  answer.sequence = renewal.sequence;
  if (renewal.leaving) {
    sessions_.erase(renewal.router);
    allotter_.RemoveRouter(renewal.router);
    return answer;
  }
  Session& session = sessions_[renewal.router];
  CheckMapVersion(connection, renewal, session);
  session.sequence = renewal.sequence;
  session.bundle_version = renewal.bundle_version;
  session.last_renewal = now;
  Report(renewal, now);
  // Prevents the use of an old bundle: only a router with the newest one gets a lease.
  session.granted = renewal.bundle_version == state_.bundles().in_force_version();
  if (DefectOn(Defect::kOldBundleAccepted) && renewal.bundle_version.value > 0) {
    session.granted = true;
  }
  answer.granted = session.granted;
  if (answer.granted) {
    answer.lease_us = router_lease_.count();
  } else if (renewal.bundle_version < state_.bundles().in_force_version()) {
    answer.bundle = *state_.bundles().InForce();
    answer.bundle_digest = state_.bundles().InForceDigest();
  }
  FillMap(session, answer);
  FillAllotments(renewal.router, answer, now);
  session.expected_map_version = session.answered_map_version;
  session.answered_map_version = session.sent_map_version;
  return answer;
}

void RouterSessions::CheckMapVersion(std::uint64_t connection, const RouterRenewal& renewal,
                                     Session& session) const {
  // Updates arrive in order over one connection, so what was sent counts as received. After a new
  // connection, or if a router reports an older version than it must have received, updates restart
  // from the reported version.
  const bool same_connection = session.connection == connection;
  if (!same_connection || renewal.map_version < session.expected_map_version) {
    session.sent_map_version = renewal.map_version;
    session.answered_map_version = 0;
    session.expected_map_version = 0;
  }
  session.connection = connection;
}

void RouterSessions::Report(const RouterRenewal& renewal, Instant now) {
  std::vector<admission::DemandReport> demand;
  for (const auto& item : renewal.demand) {
    demand.push_back({item.group, item.service, item.concurrency_wanted});
  }
  std::vector<admission::CapacityReport> capacity;
  for (const auto& item : renewal.capacity) capacity.push_back({item.service, item.concurrency});
  allotter_.Report(renewal.router, demand, now, capacity);
}

void RouterSessions::FillMap(Session& session, RouterRenewalAnswer& answer) const {
  if (session.sent_map_version == state_.map_version()) return;
  answer.map = BuildMapUpdate(state_, session.sent_map_version);
  session.sent_map_version = answer.map->version;
}

void RouterSessions::FillAllotments(const RouterId& router, RouterRenewalAnswer& answer,
                                    Instant now) {
  for (auto& item : allotter_.AllotmentsFor(router, now)) {
    answer.allotments.push_back({item.group, item.service, item.concurrency});
  }
}

std::vector<std::pair<std::uint64_t, RouterRenewalAnswer>> RouterSessions::Push(Instant now) {
  std::vector<std::pair<std::uint64_t, RouterRenewalAnswer>> pushes;
  if (pushed_version_ == state_.map_version()) return pushes;
  pushed_version_ = state_.map_version();
  for (auto& [router, session] : sessions_) {
    if (!session.connection || !session.granted) continue;
    if (session.sent_map_version == pushed_version_) continue;
    if (session.bundle_version != state_.bundles().in_force_version()) continue;
    RouterRenewalAnswer answer;
    answer.sequence = session.sequence;
    answer.granted = true;
    answer.lease_us = router_lease_.count();
    FillMap(session, answer);
    FillAllotments(router, answer, now);
    pushes.emplace_back(*session.connection, std::move(answer));
  }
  return pushes;
}

void RouterSessions::Disconnect(std::uint64_t connection) {
  for (auto& [router, session] : sessions_) {
    if (session.connection == connection) session.connection.reset();
  }
}

void RouterSessions::SyncState() {
  const auto* bundle = state_.bundles().InForce();
  if (bundle == nullptr) return;
  std::map<ServiceName, double> servers;
  for (const auto& [id, record] : state_.servers().servers()) {
    if (record.AcceptsNewWork()) ++servers[record.service];
  }
  std::vector<ServiceName> names;
  for (const auto& service : bundle->services) {
    names.push_back(service.name);
    std::vector<admission::GroupWeight> groups;
    for (const auto& group : bundle->groups) {
      const bool may_call = std::find(group.services.begin(), group.services.end(), service.name) !=
                            group.services.end();
      if (may_call) groups.push_back({group.name, group.share});
    }
    allotter_.SetGroups(service.name, std::move(groups));
    allotter_.SetCapacity(service.name, servers[service.name] * service.concurrency_per_server);
  }
  allotter_.RetainServices(names);
}

std::vector<ProcessVersion> RouterSessions::Versions(Instant now) const {
  std::vector<ProcessVersion> versions;
  for (const auto& [router, session] : sessions_) {
    const auto age =
        std::chrono::duration_cast<std::chrono::milliseconds>(now - session.last_renewal);
    if (now - session.last_renewal > kRetentionInLeases * router_lease_) continue;
    versions.push_back({router.value, "router", session.bundle_version, age.count()});
  }
  return versions;
}

}  // namespace graniteseam::control
