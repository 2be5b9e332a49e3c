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
  const auto first = liveness.FirstHeard(id);
  const auto next = liveness.FirstHeard(successor->report.id);
  return first && next && *next - *first > kHeartbeatLateMaximum;
}

std::vector<traffic::InstanceId> Forerunners(const traffic::InstanceTable& instances,
                                             const InstanceLiveness& liveness) {
  std::vector<traffic::InstanceId> forerunners;
  for (const auto& [id, instance] : instances.instances()) {
    const traffic::Instance* const holder = SuccessorOf(instances, instance);
    if (holder == nullptr) continue;
    const auto last = liveness.LastHeard(id);
    const auto next = liveness.FirstHeard(holder->report.id);
    const bool lives = last && next && *last - *next > kHeartbeatLateMaximum;
    if (lives) forerunners.push_back(holder->report.id);
  }
  return forerunners;
}

}  // namespace graniteseam::control
