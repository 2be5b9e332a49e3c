#include "tests/control/membership_repair_group.h"

#include <algorithm>
#include <utility>

namespace graniteseam::test {

RepairGroup::RepairGroup(std::size_t founders, std::uint64_t seed, RepairGroupOptions options)
    : options_(options), random_(seed) {
  consensus::Membership membership;
  for (Id id = 1; id <= founders; ++id) {
    Process& process = processes_[id];
    process.self = {ControlId{id}, DiskIncarnation{next_incarnation_++},
                    "10.0.0." + std::to_string(id) + ":1", ZoneName{"zone"}};
    membership.voters.push_back(process.self);
  }
  for (auto& [id, process] : processes_) StartNode(process, membership);
}

void RepairGroup::StartNode(Process& process, std::optional<consensus::Membership> bootstrap) {
  consensus::RecoveredState recovered;
  recovered.self = process.self;
  recovered.hard_state = process.disk.hard_state;
  recovered.snapshot = process.disk.snapshot;
  recovered.entries = process.disk.entries;
  recovered.bootstrap = std::move(bootstrap);
  for (const auto& [id, other] : processes_) {
    recovered.seeds.push_back(other.self);
    recovered.seeds.back().disk = {};
  }
  control::ControlOptions control;
  control.consensus.heartbeat_interval = std::chrono::milliseconds(100);
  control.consensus.election_timeout_minimum = std::chrono::milliseconds(340);
  control.consensus.election_timeout_maximum = std::chrono::milliseconds(600);
  control.consensus.leader_lease = std::chrono::milliseconds(280);
  control.membership.enabled = true;
  control.membership.voters = options_.voters;
  control.membership.replace_after = options_.replace_after;
  process.node =
      std::make_unique<control::ControlNode>(control, std::move(recovered), random_(), now_);
}

RepairGroup::Id RepairGroup::AddProcess() {
  const Id id = processes_.rbegin()->first + 1;
  Process& process = processes_[id];
  process.self = {ControlId{id}, DiskIncarnation{next_incarnation_++},
                  "10.0.0." + std::to_string(id) + ":1", ZoneName{"zone"}};
  StartNode(process, std::nullopt);
  return id;
}

void RepairGroup::LosePower(Id id) {
  Process& process = processes_.at(id);
  process.node.reset();
  process.pending.clear();
}

void RepairGroup::LoseMachine(Id id) {
  LosePower(id);
  Process& process = processes_.at(id);
  process.disk = {};
  process.self.disk = DiskIncarnation{next_incarnation_++};
}

void RepairGroup::Start(Id id) { StartNode(processes_.at(id), std::nullopt); }

void RepairGroup::PrepareStop(Id id) {
  Process& process = processes_.at(id);
  Take(process, process.node->PrepareStop(now_));
}

RepairGroup::Id RepairGroup::Leader() const {
  for (const auto& [id, process] : processes_) {
    if (process.node && process.node->Leading(now_)) return id;
  }
  return 0;
}

std::set<RepairGroup::Id> RepairGroup::Running() const {
  std::set<Id> running;
  for (const auto& [id, process] : processes_) {
    if (process.node) running.insert(id);
  }
  return running;
}

consensus::Membership RepairGroup::Members() const {
  const Id leader = Leader();
  return leader == 0 ? consensus::Membership{}
                     : processes_.at(leader).node->consensus().membership();
}

bool RepairGroup::Votes(Id id) const {
  const auto members = Members();
  return std::any_of(members.voters.begin(), members.voters.end(),
                     [&](const auto& voter) { return voter.id.value == id; });
}

bool RepairGroup::Whole(std::size_t learners) const {
  const auto members = Members();
  const auto runs = [&](const consensus::Member& member) {
    const Process& process = processes_.at(member.id.value);
    return process.node != nullptr && process.self.IsSameMemberAs(member);
  };
  const auto running_learners =
      std::count_if(members.learners.begin(), members.learners.end(), runs);
  return members.voters.size() == options_.voters &&
         std::all_of(members.voters.begin(), members.voters.end(), runs) &&
         running_learners >= static_cast<std::int64_t>(learners);
}

bool RepairGroup::Commit(Duration limit) {
  const ZoneName zone{"drained-" + std::to_string(acknowledged_.size())};
  Id asked = 0;
  const bool accepted = RunUntil(
      [&] {
        const Id leader = Leader();
        const auto answer = answers_.find(last_request_);
        if (answer != answers_.end()) {
          if (std::holds_alternative<control::Accepted>(answer->second)) return true;
          asked = 0;
        }
        if (leader == 0 || leader == asked) return false;
        asked = leader;
        Process& process = processes_.at(leader);
        Take(process, process.node->OnOperatorRequest(
                          ++last_request_, control::DrainZone{zone, true}, now_, WallMs()));
        return false;
      },
      limit);
  if (accepted) acknowledged_.push_back(zone);
  answers_.clear();
  return accepted;
}

bool RepairGroup::HoldsAllAcknowledged() const {
  const Id leader = Leader();
  if (leader == 0) return false;
  const auto zones = processes_.at(leader).node->Fleet(now_).drained_zones;
  return std::all_of(acknowledged_.begin(), acknowledged_.end(), [&](const ZoneName& zone) {
    return std::find(zones.begin(), zones.end(), zone) != zones.end();
  });
}

void RepairGroup::Run(Duration span) {
  constexpr Duration kStep{1'000};
  const Instant end = now_ + span;
  while (now_ < end) {
    now_ = std::min(end, now_ + kStep);
    Deliver();
    for (auto& [id, process] : processes_) {
      CarryOutDue(process);
      if (process.node && now_ >= process.node->NextTick()) {
        Take(process, process.node->Tick(now_, WallMs()));
      }
    }
  }
}

void RepairGroup::Deliver() {
  while (!messages_.empty() && messages_.begin()->first <= now_) {
    const consensus::PeerMessage message = std::move(messages_.begin()->second);
    messages_.erase(messages_.begin());
    const auto to = processes_.find(message.to.id.value);
    if (to == processes_.end() || !to->second.node) continue;
    Take(to->second, to->second.node->OnPeerMessage(message, now_));
  }
}

void RepairGroup::Take(Process& process, control::ControlEffects effects) {
  const bool at_once = effects.persist.Empty() && process.pending.empty();
  const Instant due = effects.persist.Empty() ? now_ : now_ + options_.persist_delay;
  process.pending.push_back({std::move(effects), due});
  if (at_once) CarryOutDue(process);
}

void RepairGroup::CarryOutDue(Process& process) {
  while (!process.pending.empty() && process.pending.front().due <= now_) {
    control::ControlEffects effects = std::move(process.pending.front().effects);
    process.pending.pop_front();
    process.disk.Write(effects.persist);
    for (auto& message : effects.peer_messages) {
      const auto spread = options_.delay_maximum - options_.delay_minimum;
      const Duration delay =
          options_.delay_minimum + Duration(Below(static_cast<std::uint64_t>(spread.count()) + 1));
      messages_.emplace(now_ + delay, std::move(message));
    }
    for (auto& reply : effects.operator_replies) answers_[reply.request] = std::move(reply.answer);
    if (!effects.persist.Empty()) {
      Take(process, process.node->OnPersistDone(effects.persist.sequence, now_));
    }
  }
}

}  // namespace graniteseam::test
