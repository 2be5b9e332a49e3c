/// @file
/// The range controller's candidates for keys, and how much load each of them may own.

#include <algorithm>
#include <utility>

#include "src/control/owner_capacity.h"
#include "src/control/range_controller.h"

namespace graniteseam::control {
namespace {

/// Target load of an owner that reports a rate limit, relative to that limit: requests that by
/// chance exceed the mean still find tokens.
constexpr double kOwnedPartOfLimit = 0.6;
/// Lower bounds in computing such an owner's slots: load per slot in requests per second, and
/// slots.
constexpr double kLoadOfSlotMinimum = 0.01;
constexpr double kSlotsMinimum = 0.02;

}  // namespace

std::vector<RangeCandidate> RangeController::CandidatesFor(
    const ServiceName& service, const std::set<traffic::InstanceId>& avoided, Instant now) const {
  AddEvaluations(InstanceCount());
  std::vector<RangeCandidate> candidates;
  std::vector<RangeCandidate> warming_up;
  const bool by_heartbeat = LeasedByHeartbeat(service);
  for (const auto& [id, instance] : state_.instances().instances()) {
    const bool fits = instance.report.service == service && instance.AcceptsNewWork();
    if (!fits || liveness_.IsUnreachable(id, now) || Unresponsive(id, now)) continue;
    if (avoided.contains(id) || HasEnded(id)) continue;
    if (by_heartbeat && !SentHeartbeatRecently(id, now)) continue;
    const double slots = static_cast<double>(std::max<std::int64_t>(1, instance.report.slots));
    const bool spared = options_.excludes_warming_up && instance.IsWarmingUp();
    RangeCandidate& candidate = (spared ? warming_up : candidates).emplace_back();
    candidate.id = id;
    candidate.zone = instance.report.zone;
    candidate.slots = slots;
    if (!by_heartbeat) continue;
    const HeartbeatStatus& heartbeat_status = heartbeat_status_.at(id);
    candidate.next_heartbeat = heartbeat_status.last_heartbeat + heartbeat_status.interval;
    candidate.heartbeat_interval = heartbeat_status.interval;
  }
  if (candidates.empty()) candidates = std::move(warming_up);
  const auto target = balancing_target(state_.configuration().current(), service);
  if (target) AddEvaluations(candidates.size());
  scale_slots(candidates, speeds_, target);
  BoundByLimits(service, candidates);
  return candidates;
}

void RangeController::BoundByLimits(const ServiceName& service,
                                    std::vector<RangeCandidate>& candidates) const {
  const auto ranges = state_.ranges().services().find(service);
  if (ranges == state_.ranges().services().end()) return;
  double load_elsewhere = 0;  // Load of the candidates without a limit.
  double slots_elsewhere = 0;
  std::map<traffic::InstanceId, double> bounds;
  for (const RangeCandidate& candidate : candidates) {
    const auto limit = limits_.LimitOf(candidate.id);
    if (limit) {
      bounds[candidate.id] = kOwnedPartOfLimit * *limit;
      load_elsewhere -= bounds[candidate.id];
    } else {
      slots_elsewhere += candidate.slots;
    }
  }
  if (bounds.empty() || slots_elsewhere == 0) return;
  for (const auto& [owner, load] : balancer_.OwnerLoads(service, ranges->second)) {
    load_elsewhere += load;
  }
  const double load_of_slot = std::max(kLoadOfSlotMinimum, load_elsewhere / slots_elsewhere);
  for (RangeCandidate& candidate : candidates) {
    const auto bound = bounds.find(candidate.id);
    if (bound == bounds.end()) continue;
    candidate.slots = std::clamp(bound->second / load_of_slot, kSlotsMinimum, candidate.slots);
  }
}

}  // namespace graniteseam::control
