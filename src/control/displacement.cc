#include "src/control/displacement.h"

namespace graniteseam::control {
namespace {

/// The instance at the address of a displaced one; null when there is none.
const traffic::Instance* SuccessorOf(const traffic::InstanceTable& instances,
                                     const traffic::Instance& displaced) {
  if (displaced.state != traffic::InstanceState::kDisplaced) return nullptr;
  return instances.HolderOf(displaced.report.address);
}

}  // namespace

bool EndIsProven(const traffic::InstanceTable& instances, const InstanceLiveness& liveness,
                 const traffic::InstanceId& id) {
  const traffic::Instance* const displaced = instances.Find(id);
  if (displaced == nullptr) return false;
  const traffic::Instance* const successor = SuccessorOf(instances, *displaced);
  if (successor == nullptr) return false;
  const auto displaced_heard = liveness.FirstHeard(id);
  const auto successor_heard = liveness.FirstHeard(successor->report.id);
  return displaced_heard && successor_heard &&
         *successor_heard - *displaced_heard > kHeartbeatLateMaximum;
}

std::vector<Forerunner> Forerunners(const traffic::InstanceTable& instances,
                                    const InstanceLiveness& liveness, Instant now) {
  std::vector<Forerunner> forerunners;
  for (const auto& [id, instance] : instances.instances()) {
    const traffic::Instance* const successor = SuccessorOf(instances, instance);
    if (successor == nullptr || !liveness.Silent(successor->report.id, now)) continue;
    const auto displaced_heard = liveness.LastHeard(id);
    const auto successor_heard = liveness.FirstHeard(successor->report.id);
    if (!displaced_heard || !successor_heard) continue;
    if (*displaced_heard - *successor_heard <= kHeartbeatLateMaximum) continue;
    forerunners.push_back({successor->report.id, instance.report});
  }
  return forerunners;
}

}  // namespace graniteseam::control
