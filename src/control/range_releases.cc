/// @file
/// The range controller's planned releases: from owners that leave or fail, from owners in drained
/// zones, and for load balance.

#include <algorithm>

#include "src/control/range_controller.h"

namespace graniteseam::control {
namespace {

using traffic::InstanceState;
using traffic::KeyRange;
using traffic::RangePhase;

/// If more than this part of a service's instances fail, the cause is common to them, and moving
/// keys would only add load to the others.
constexpr double kFailingPartMaximum = 0.2;
/// The same limit for instances that asked routers to back off. It is higher, because these
/// instances declare that they will run nothing, while failing ones still accept requests.
constexpr double kBackingOffPartMaximum = 0.4;
/// Maximum concurrent releases of a drained zone's key ranges: this minimum, or one for this number
/// of owners elsewhere if that is more. A range has no owner for about 0.8 s, and the zone's owners
/// have about three ranges each: the ranges of a third of the owners are released within 3 s.
constexpr std::size_t kZoneReleasesMinimum = 8;
constexpr std::size_t kOwnersPerZoneRelease = 2;

}  // namespace

bool RangeController::MustRelease(const KeyRange& range) const {
  const traffic::Instance* owner = state_.instances().Find(range.owner);
  return owner == nullptr || !owner->AcceptsNewWork();
}

bool RangeController::InDrainedZone(const traffic::InstanceId& owner) const {
  const traffic::Instance* const instance = state_.instances().Find(owner);
  return instance != nullptr && instance->state == InstanceState::kZoneDrained;
}

std::size_t RangeController::ZoneReleasesAllowed(
    const traffic::KeyRangeTable::Ranges& ranges,
    const std::vector<RangeCandidate>& candidates) const {
  const auto under_way = static_cast<std::size_t>(
      std::count_if(ranges.begin(), ranges.end(), [this](const auto& entry) {
        return entry.second.phase == RangePhase::kReleasing && InDrainedZone(entry.second.owner);
      }));
  const std::size_t most =
      std::max(kZoneReleasesMinimum, candidates.size() / kOwnersPerZoneRelease);
  return most - std::min(most, under_way);
}

std::set<traffic::InstanceId> RangeController::AvoidedInstances(const ServiceName& service,
                                                                Instant now) const {
  AddEvaluations(InstanceCount());
  std::set<traffic::InstanceId> failing;
  std::set<traffic::InstanceId> backing_off;
  std::size_t all = 0;
  for (const auto& [id, instance] : state_.instances().instances()) {
    if (instance.report.service != service || !instance.AcceptsNewWork()) continue;
    ++all;
    if (speeds_.IsFailing(id, now)) failing.insert(id);
    if (limits_.IsBackingOff(id, now)) backing_off.insert(id);
  }
  const auto exceeds = [all](const std::set<traffic::InstanceId>& some, double part) {
    return static_cast<double>(some.size()) > part * static_cast<double>(all);
  };
  std::set<traffic::InstanceId> avoided;
  if (!exceeds(failing, kFailingPartMaximum)) avoided.merge(failing);
  if (!exceeds(backing_off, kBackingOffPartMaximum)) avoided.merge(backing_off);
  return avoided;
}

void RangeController::DecideReleases(Instant now, std::vector<CommandBody>& commands) {
  ReleaseRangesCommand command;
  AddBegunMoves(command.releases);
  for (const auto& [service, ranges] : state_.ranges().services()) {
    const ServiceView& view = ViewOf(service, now);
    const auto& avoided = view.avoided;
    std::size_t zone_releases = ZoneReleasesAllowed(ranges, view.candidates);
    for (const auto& [first, range] : ranges) {
      const bool must_go = MustRelease(range);
      const bool fails = range.phase == RangePhase::kServing && avoided.contains(range.owner);
      if (!range.Owned() || (!must_go && !fails)) continue;
      if (InDrainedZone(range.owner)) {
        if (zone_releases == 0) continue;
        --zone_releases;
      }
      command.releases.push_back({service, range.span, range.fence, {}});
      Note("begin_release", range, range.span,
           must_go                                  ? "the owner is leaving"
           : limits_.IsBackingOff(range.owner, now) ? "the owner asked routers to back off"
                                                    : "the owner fails requests");
    }
    const bool by_heartbeat = LeasedByHeartbeat(service);
    // Until then, a release could not be confirmed, and the keys would stay unserved for as long;
    // their owner serves them better, even if it is overloaded.
    if (by_heartbeat && now <= inherited_until_) continue;
    // Planned in addition to moves and releases in progress: with hundreds of owners there are
    // always some.
    const auto moves =
        balancer_.Rebalance(service, ranges, view.candidates, PlannedMoves(service), now);
    for (const traffic::RangeRelease& move : moves) {
      Note("plan_move", *state_.ranges().Find(service, move.span.first), move.span,
           "load, to " + move.successor.value);
    }
    if (by_heartbeat) {
      for (const traffic::RangeRelease& move : moves) planned_.push_back({move, false});
    } else {
      command.releases.insert(command.releases.end(), moves.begin(), moves.end());
    }
  }
  if (!command.releases.empty()) commands.emplace_back(std::move(command));
}

}  // namespace graniteseam::control
