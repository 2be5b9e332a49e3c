#include "src/control/displacement.h"

namespace graniteseam::control {
namespace {

/// The later incarnation of a displaced instance, otherwise the current holder of its address; null
/// when there is neither.
const traffic::Instance* SuccessorOf(const traffic::InstanceTable& instances,
                                     const traffic::Instance& displaced) {
  if (displaced.state != traffic::InstanceState::kDisplaced) return nullptr;
  const traffic::Instance* const later = instances.NewestIncarnation(displaced.report.id);
  const bool is_other = later != nullptr && later->report.id != displaced.report.id;
  return is_other ? later : instances.FindByAddress(displaced.report.address);
}

/// Whether `later` accepts orders that were sent to `former`: same name and same address.
bool AcceptsOrdersOf(const traffic::Instance& later, const traffic::Instance& former) {
  return later.report.address == former.report.address &&
         traffic::ServerNameOf(later.report.id) == traffic::ServerNameOf(former.report.id);
}

}  // namespace

bool HasProvablyEnded(const traffic::InstanceTable& instances, const InstanceLiveness& liveness,
                      const traffic::InstanceId& id) {
  const traffic::Instance* const displaced = instances.Find(id);
  if (displaced == nullptr) return false;
  const traffic::Instance* const successor = SuccessorOf(instances, *displaced);
  if (successor == nullptr || AcceptsOrdersOf(*successor, *displaced)) return false;
  const auto displaced_heartbeat = liveness.FirstHeartbeatAt(id);
  const auto successor_heartbeat = liveness.FirstHeartbeatAt(successor->report.id);
  return displaced_heartbeat && successor_heartbeat &&
         *successor_heartbeat - *displaced_heartbeat > kHeartbeatDelayMaximum;
}

std::vector<StaleAddressHolder> FindStaleAddressHolders(const traffic::InstanceTable& instances,
                                                        const InstanceLiveness& liveness,
                                                        Instant now) {
  std::vector<StaleAddressHolder> stale_holders;
  for (const auto& [id, instance] : instances.instances()) {
    const traffic::Instance* const successor = SuccessorOf(instances, instance);
    if (successor == nullptr || !liveness.IsUnreachable(successor->report.id, now)) continue;
    const auto displaced_heartbeat = liveness.LastHeartbeatAt(id);
    const auto successor_heartbeat = liveness.FirstHeartbeatAt(successor->report.id);
    if (!displaced_heartbeat || !successor_heartbeat) continue;
    if (*displaced_heartbeat - *successor_heartbeat <= kHeartbeatDelayMaximum) continue;
    stale_holders.push_back({successor->report.id, instance.report});
  }
  return stale_holders;
}

}  // namespace graniteseam::control
