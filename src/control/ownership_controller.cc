#include "src/control/ownership_controller.h"

#include <algorithm>
#include <utility>

namespace graniteseam::control {

using placement::OwnershipState;

OwnershipController::OwnershipController(OwnershipOptions options, const ReplicatedState& state,
                                         Term term, std::uint64_t numbers_used, Instant now)
    : options_(options),
      state_(state),
      leases_(options.leases, term, numbers_used,
              [&state](const ServerId& server) {
                lease::ShardSet set;
                for (const auto& owned : state.shards().OwnedBy(server)) {
                  auto& list =
                      owned.state == OwnershipState::kMoving ? set.revocations : set.grants;
                  list.push_back({owned.shard, owned.epoch});
                }
                return set;
              }),
      healthy_([this](const ServerId& server) { return leases_.Healthy(server, now_); }),
      balancer_(options.balancer, state, now),
      now_(now) {
  AddKnownServers(now);
}

void OwnershipController::AddKnownServers(Instant now) {
  for (const auto& [id, record] : state_.servers().servers()) {
    const auto lease = state_.LeaseOf(record.service);
    const Duration longest = state_.LongestLease(record.service);
    if (record.serving) {
      leases_.AddLeased(id, record.incarnation, lease.value_or(longest), longest, now);
    } else if (lease) {
      leases_.AddUnleased(id, *lease, now);
    }
  }
  synced_shards_version_ = state_.shards().version();
}

void OwnershipController::TakePlatformList(const PlatformList& list, Instant now) {
  machines_.clear();
  for (const auto& machine : list.machines) machines_[machine.server] = machine;
  ContactMachines(now);
  leaving_stale_ = true;
  for (const auto& [id, record] : state_.servers().servers()) {
    if (record.serving || machines_.contains(id)) {
      absent_since_.erase(id);
    } else {
      absent_since_.try_emplace(id, now);
    }
  }
}

void OwnershipController::ContactMachines(Instant now) {
  for (const auto& [id, machine] : machines_) {
    const auto lease = state_.LeaseOf(machine.service);
    if (lease) leases_.AddUnleased(id, *lease, now);
  }
}

void OwnershipController::TakeAnswer(const lease::LeaseAnswer& answer, Instant now) {
  leases_.Take(answer, now);
}

void OwnershipController::HandleApplied(const ApplyOutcome& outcome, Instant now) {
  for (const auto& server : outcome.lost) leases_.Dismiss(server, now);
  for (const auto& server : outcome.removed) leases_.Remove(server);
  for (const auto& server : outcome.registered) {
    const auto* record = state_.servers().Find(server);
    if (record == nullptr) continue;
    if (const auto lease = state_.LeaseOf(record->service)) {
      leases_.AddUnleased(server, *lease, now);
    }
    leases_.Admit(server, record->incarnation, now);
    last_joined_[record->service] = now;
    balancer_.Joined(server, now);
    reported_leaving_.erase(server);
    leaving_stale_ = true;
  }
  if (outcome.bundle_rolled) {
    for (const auto& [id, record] : state_.servers().servers()) {
      if (const auto lease = state_.LeaseOf(record.service)) leases_.AddUnleased(id, *lease, now);
    }
    ContactMachines(now);
  }
  SyncShards(now);
  std::erase_if(pending_changes_, [&](const auto& entry) {
    return entry.second.value != 0 && entry.second <= state_.applied();
  });
  if (state_.applied() >= pending_assignments_until_) pending_assignments_.clear();
  if (state_.map_version() == synced_map_version_) return;
  synced_map_version_ = state_.map_version();
  placement_stale_ = true;
}

void OwnershipController::SyncShards(Instant now) {
  if (state_.shards().version() == synced_shards_version_) return;
  auto changes = state_.shards().ChangesSince(synced_shards_version_);
  synced_shards_version_ = state_.shards().version();
  for (const auto& change : changes) {
    const lease::ShardGrant grant{change.shard, change.epoch};
    if (change.state == OwnershipState::kAssigned) leases_.Grant(change.owner, grant, now);
    if (change.state == OwnershipState::kMoving) leases_.Revoke(change.owner, grant, now);
  }
}

bool OwnershipController::HasPendingChange(const ServerId& server) const {
  return pending_changes_.contains(server);
}

const PlatformMachine* OwnershipController::Machine(const ServerId& server) const {
  const auto found = machines_.find(server);
  return found == machines_.end() ? nullptr : &found->second;
}

std::vector<CommandBody> OwnershipController::Decide(Instant now) {
  now_ = now;
  std::vector<CommandBody> commands;
  TargetChoosers choosers(state_, healthy_, pending_assignments_);
  DecideLosses(now, choosers, commands);
  DecideUnleasedIncarnations(commands);
  DecideReleases(choosers, commands);
  DecideLeaving(commands);
  DecideRemovals(now, commands);
  placement_decided_ = false;
  if (placement_due_ && now >= *placement_due_) {
    placement_due_.reset();
    placement_stale_ = true;
  }
  if (state_.applied() >= placement_proposed_) {
    const std::size_t before = commands.size();
    if (std::exchange(placement_stale_, false)) {
      DecideUnassigned(now, choosers, commands);
      DecideDrains(now, choosers, commands);
    }
    // Moves for load balance wait while this pass assigns shards or empties drained servers.
    if (commands.size() == before) DecideBalance(now, commands);
    placement_decided_ = commands.size() > before;
  }
  CountPendingAssignments(commands);
  return commands;
}

void OwnershipController::CountPendingAssignments(const std::vector<CommandBody>& commands) {
  for (const auto& command : commands) {
    const std::vector<placement::Assignment>* assignments = nullptr;
    if (const auto* lose = std::get_if<LoseServerCommand>(&command)) {
      assignments = &lose->assignments;
    } else if (const auto* assign = std::get_if<AssignShardsCommand>(&command)) {
      assignments = &assign->assignments;
    }
    if (assignments == nullptr) continue;
    for (const auto& assignment : *assignments) ++pending_assignments_[assignment.server];
  }
}

void OwnershipController::Proposed(LogIndex last) {
  for (auto& [server, index] : pending_changes_) {
    if (index.value == 0) index = last;
  }
  if (placement_decided_) placement_proposed_ = last;
  pending_assignments_until_ = last;
}

void OwnershipController::DecideLosses(Instant now, TargetChoosers& choosers,
                                       std::vector<CommandBody>& commands) {
  for (const auto& server : leases_.expired()) {
    if (HasPendingChange(server)) continue;
    if (const auto successor = leases_.Successor(server, now)) {
      // The old incarnation's lease has expired and a new incarnation answers: it keeps the
      // server's shards at new epochs, so that no move is needed.
      if (auto command = Registration(server, *successor)) {
        commands.push_back(std::move(*command));
        pending_changes_[server] = LogIndex{};
        continue;
      }
    }
    const auto* record = state_.servers().Find(server);
    if (record == nullptr) continue;
    commands.emplace_back(
        LoseServerCommand{server, record->incarnation, AssignShardsOf(server, state_, choosers)});
    pending_changes_[server] = LogIndex{};
  }
}

void OwnershipController::DecideUnleasedIncarnations(std::vector<CommandBody>& commands) {
  for (const auto& unleased : leases_.TakeUnleasedIncarnations()) {
    if (HasPendingChange(unleased.server) || !MayReplace(unleased.server)) continue;
    const auto* record = state_.servers().Find(unleased.server);
    if (record != nullptr && record->serving && record->incarnation == unleased.incarnation) {
      continue;
    }
    auto command = Registration(unleased.server, unleased.incarnation);
    if (!command) continue;
    commands.push_back(std::move(*command));
    pending_changes_[unleased.server] = LogIndex{};
  }
}

bool OwnershipController::MayReplace(const ServerId& server) const {
  const auto* record = state_.servers().Find(server);
  if (record == nullptr || !record->serving) return true;
  // Another incarnation may still hold the lease. Without shards it owns nothing exclusively, and
  // it can be replaced at once; with shards, its lease has to expire first (DecideLosses).
  return state_.shards().OwnedCount(server) == 0;
}

std::optional<CommandBody> OwnershipController::Registration(const ServerId& server,
                                                             Incarnation incarnation) const {
  if (const auto* machine = Machine(server)) {
    return RegisterServerCommand{server, machine->service, machine->address, machine->zone,
                                 incarnation};
  }
  if (const auto* record = state_.servers().Find(server)) {
    return RegisterServerCommand{server, record->service, record->address, record->zone,
                                 incarnation};
  }
  return std::nullopt;
}

bool OwnershipController::MayReceiveShards(const ServerId& server) const {
  const auto* record = state_.servers().Find(server);
  if (record == nullptr || !record->AcceptsNewWork()) return false;
  // Tests the remaining lease and not Healthy(): a new leader has not received an answer from every
  // server yet, and an accepted move should end at its planned target.
  return leases_.Remaining(server, now_) > Duration::zero();
}

void OwnershipController::DecideReleases(TargetChoosers& choosers,
                                         std::vector<CommandBody>& commands) {
  AssignShardsCommand command;
  for (const auto& release : leases_.TakeReleases()) {
    const auto shard = state_.shards().Find(release.grant.shard);
    if (!shard || shard->epoch != release.grant.epoch || shard->owner != release.server) continue;
    const auto target = MayReceiveShards(shard->target) ? std::optional(shard->target)
                                                        : choosers.For(shard->shard.service).Next();
    // A released shard needs an owner: the planned target, another candidate, or else the old
    // owner.
    command.assignments.push_back({shard->shard, shard->epoch, target.value_or(shard->owner)});
  }
  if (!command.assignments.empty()) commands.emplace_back(std::move(command));
}

void OwnershipController::DecideLeaving(std::vector<CommandBody>& commands) {
  for (const auto& [server, leaving] : leases_.TakeLeavingChanges()) {
    reported_leaving_[server] = leaving;
    leaving_stale_ = true;
  }
  if (!std::exchange(leaving_stale_, false)) return;
  for (const auto& [id, record] : state_.servers().servers()) {
    const auto* machine = Machine(id);
    const auto reported = reported_leaving_.find(id);
    const bool leaving = (machine != nullptr && machine->leaving) ||
                         (reported != reported_leaving_.end() && reported->second);
    if (record.serving && record.leaving != leaving) {
      commands.emplace_back(SetLeavingCommand{id, leaving});
    }
  }
}

void OwnershipController::DecideRemovals(Instant now, std::vector<CommandBody>& commands) {
  std::erase_if(absent_since_, [&](const auto& entry) {
    if (now - entry.second < options_.forget_after) return false;
    if (!HasPendingChange(entry.first)) commands.emplace_back(RemoveServerCommand{entry.first});
    return true;
  });
}

bool OwnershipController::FirstAssignmentWaits(const ServiceName& service, Instant now) {
  const auto joined = last_joined_.find(service);
  if (joined == last_joined_.end()) return false;
  const Instant due = joined->second + options_.first_assignment_delay;
  if (now >= due) return false;
  SchedulePlacement(due);
  return true;
}

void OwnershipController::SchedulePlacement(Instant at) {
  placement_due_ = std::min(placement_due_.value_or(at), at);
}

void OwnershipController::DecideUnassigned(Instant now, TargetChoosers& choosers,
                                           std::vector<CommandBody>& commands) {
  if (state_.shards().OwnedCount(ServerId{}) == 0) return;
  AssignShardsCommand command;
  std::map<ServiceName, bool> waits;
  for (const auto& unassigned : state_.shards().Unassigned()) {
    const auto& service = unassigned.shard.service;
    TargetChooser& chooser = choosers.For(service);
    if (chooser.empty()) {
      if (chooser.has_unhealthy()) SchedulePlacement(now + options_.placement_retry);
      continue;
    }
    if (unassigned.epoch.value == 0) {
      const auto [wait, inserted] = waits.try_emplace(service, false);
      if (inserted) wait->second = FirstAssignmentWaits(service, now);
      if (wait->second) continue;
    }
    command.assignments.push_back({unassigned.shard, unassigned.epoch, *chooser.Next()});
    if (command.assignments.size() < options_.assignments_maximum) continue;
    commands.emplace_back(std::exchange(command, {}));
  }
  if (!command.assignments.empty()) commands.emplace_back(std::move(command));
}

void OwnershipController::DecideDrains(Instant now, TargetChoosers& choosers,
                                       std::vector<CommandBody>& commands) {
  BeginMovesCommand command;
  for (const auto& [id, record] : state_.servers().servers()) {
    if (!record.serving || record.AcceptsNewWork()) continue;
    const std::size_t owned = state_.shards().OwnedCount(id);
    const std::size_t under_way = owned - std::min(owned, state_.shards().PlannedCount(id));
    if (owned == 0 || under_way >= options_.drain_moves_maximum) continue;
    if (choosers.For(record.service).empty()) {
      SchedulePlacement(now + options_.placement_retry);
      continue;
    }
    auto moves = DrainShardsOf(id, state_, choosers, options_.drain_moves_maximum - under_way);
    std::move(moves.begin(), moves.end(), std::back_inserter(command.moves));
  }
  if (!command.moves.empty()) commands.emplace_back(std::move(command));
}

void OwnershipController::DecideBalance(Instant now, std::vector<CommandBody>& commands) {
  auto moves = balancer_.Decide(healthy_, now);
  if (!moves.empty()) commands.emplace_back(BeginMovesCommand{std::move(moves)});
}

std::vector<std::pair<std::string, lease::LeaseRequest>> OwnershipController::Sends(Instant now) {
  std::vector<std::pair<std::string, lease::LeaseRequest>> sends;
  for (auto& request : leases_.Advance(now)) {
    // The platform's list has a machine's current address; the log's may be older.
    const auto* machine = Machine(request.server);
    const auto* record = state_.servers().Find(request.server);
    if (machine == nullptr && record == nullptr) continue;
    sends.emplace_back(machine != nullptr ? machine->address : record->address, std::move(request));
  }
  return sends;
}

Instant OwnershipController::NextDue() const {
  const Instant sends = std::min(leases_.NextAdvance(), balancer_.NextDue());
  return placement_due_ ? std::min(sends, *placement_due_) : sends;
}

}  // namespace graniteseam::control
