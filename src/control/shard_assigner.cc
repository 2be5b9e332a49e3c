#include "src/control/shard_assigner.h"

#include <algorithm>

namespace graniteseam::control {

bool TargetChooser::Worse(const Candidate& left, const Candidate& right) {
  if (left.shards != right.shards) return left.shards > right.shards;
  return *left.server > *right.server;
}

TargetChooser::TargetChooser(const ReplicatedState& state, const HealthCheck& healthy,
                             const PendingAssignments& pending, const ServiceName& service) {
  for (const auto& [id, record] : state.servers().servers()) {
    if (record.service != service || !record.AcceptsNewWork()) continue;
    if (!healthy(id)) {
      has_unhealthy_ = true;
      continue;
    }
    const auto more = pending.find(id);
    heap_.push_back(
        {state.shards().PlannedCount(id) + (more == pending.end() ? 0 : more->second), &id});
  }
  std::make_heap(heap_.begin(), heap_.end(), Worse);
}

std::optional<ServerId> TargetChooser::Next() {
  if (heap_.empty()) return std::nullopt;
  std::pop_heap(heap_.begin(), heap_.end(), Worse);
  ++heap_.back().shards;
  const ServerId* server = heap_.back().server;
  std::push_heap(heap_.begin(), heap_.end(), Worse);
  return *server;
}

bool TargetChooser::Contains(const ServerId& server) const {
  return std::any_of(heap_.begin(), heap_.end(),
                     [&](const Candidate& candidate) { return *candidate.server == server; });
}

TargetChooser& TargetChoosers::For(const ServiceName& service) {
  return choosers_.try_emplace(service, state_, healthy_, pending_assignments_, service)
      .first->second;
}

std::vector<placement::Assignment> AssignShardsOf(const ServerId& lost,
                                                  const ReplicatedState& state,
                                                  TargetChoosers& choosers) {
  std::vector<placement::Assignment> assignments;
  for (const auto& owned : state.shards().OwnedBy(lost)) {
    TargetChooser& chooser = choosers.For(owned.shard.service);
    const bool to_target =
        owned.state == placement::OwnershipState::kMoving && chooser.Contains(owned.target);
    const auto target = to_target ? std::optional(owned.target) : chooser.Next();
    if (target) assignments.push_back({owned.shard, owned.epoch, *target});
  }
  return assignments;
}

std::vector<placement::PlannedMove> DrainShardsOf(const ServerId& server,
                                                  const ReplicatedState& state,
                                                  TargetChoosers& choosers,
                                                  std::size_t moves_maximum) {
  std::vector<placement::PlannedMove> moves;
  for (const auto& owned : state.shards().OwnedBy(server)) {
    if (moves.size() >= moves_maximum) break;
    if (owned.state != placement::OwnershipState::kAssigned) continue;
    if (const auto target = choosers.For(owned.shard.service).Next()) {
      moves.push_back({owned.shard, owned.epoch, *target});
    }
  }
  return moves;
}

}  // namespace graniteseam::control
