#include "src/control/displacement.h"

namespace graniteseam::control {
namespace {

/// The later incarnation of a displaced instance, otherwise the current holder of its address; null
/// when there is neither.
const traffic::Instance* SuccessorOf(const traffic::InstanceTable& instances,
                                     const traffic::Instance& displaced) {
  if (displaced.state != traffic::InstanceState::kDisplaced) return nullptr;
  const traffic::Instance* const later = instances.NewestIncarnation(displaced.report.id);
  const bool is_other = later != nullptr && later->report.id != displaced.report.id &&
                        later->state != traffic::InstanceState::kDisplaced;
  return is_other ? later : instances.FindByAddress(displaced.report.address);
}

}  // namespace

std::vector<ReversibleDisplacement> FindReversibleDisplacements(
    const traffic::InstanceTable& instances, const InstanceLiveness& liveness, Instant now) {
  std::vector<ReversibleDisplacement> found;
  for (const auto& [id, instance] : instances.instances()) {
    const traffic::Instance* const successor = SuccessorOf(instances, instance);
    if (successor == nullptr) continue;
    const traffic::InstanceId& successor_id = successor->report.id;
    if (!liveness.IsUnreachable(successor_id, now)) continue;
    // A single heartbeat, and copies of it, may have been sent before the successor started.
    if (!liveness.HasTwoHeartbeatsSince(id, liveness.LastHeartbeatOrStart(successor_id))) continue;
    found.push_back({id, successor_id});
  }
  return found;
}

}  // namespace graniteseam::control
