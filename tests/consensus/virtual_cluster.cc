#include "tests/consensus/virtual_cluster.h"

#include <algorithm>
#include <sstream>
#include <tuple>

#include "graniteseam/codec/codec.h"

namespace graniteseam::consensus::test {
namespace {

constexpr std::int64_t kTickMicros = 1'000;

std::string ZoneOf(std::uint64_t id) { return "zone-" + std::to_string((id - 1) / 2 + 1); }

}  // namespace

VirtualCluster::VirtualCluster(std::size_t voters, std::uint64_t seed, NetworkOptions network,
                               ConsensusOptions options, Founding founding)
    : options_(options), network_(network), random_(seed), founding_(founding) {
  for (std::uint64_t id = 1; id <= voters; ++id) {
    AddNode(id).founding = true;
    first_voters_.voters.push_back(nodes_.at(id).member);
  }
  for (auto& [id, node] : nodes_) Start(node);
}

void VirtualCluster::AddOutsider(std::uint64_t id) { Start(AddNode(id)); }

VirtualCluster::Node& VirtualCluster::AddNode(std::uint64_t id) {
  Node& node = nodes_[id];
  ids_.insert(id);
  node.files = std::make_unique<storage::MemoryFileSystem>(random_());
  node.member = {ControlId{id}, DiskIncarnation{next_incarnation_++},
                 "10.0.0." + std::to_string(id) + ":1", ZoneName{ZoneOf(id)}};
  node.clock_rate = 1 + network_.clock_drift * (2 * Chance() - 1);
  node.clock_offset = static_cast<std::int64_t>(Chance() * 1e9);
  return node;
}

void VirtualCluster::Start(Node& node) {
  storage::StorageOptions options;
  options.folder = "/data";
  options.id = node.member.id;
  options.address = node.member.address;
  options.zone = node.member.zone;
  options.fresh_incarnation = node.member.disk;
  options.segment_bytes = 4'096;  // Small, so that segments change often.
  options.seeds = first_voters_.voters;
  for (auto& seed : options.seeds) seed.disk = {};
  if (node.founding) {
    options.bootstrap = first_voters_;
    if (founding_ == Founding::kDisksUnknown) options.bootstrap->voters = options.seeds;
  }
  auto opened = Attempt([&] { return storage::ConsensusStorage::Open(*node.files, options); });
  if (const Error* error = ErrorOf(opened)) {
    // A process whose disk is full at its start ends and is started again later.
    if (error->kind != ErrorKind::kStorageFull) Violate("recovery: " + ToString(*error));
    return;
  }
  node.storage = std::move(std::get<std::unique_ptr<storage::ConsensusStorage>>(opened));
  RecoveredState recovered = node.storage->TakeRecovered();
  node.log.clear();
  for (const auto& entry : recovered.entries) node.log[entry.index.value] = entry;
  node.applied.clear();
  node.applied_index = {};
  node.snapshot_index = {};
  node.checked_term.reset();
  node.persisting.clear();
  if (recovered.snapshot) Restore(node, *recovered.snapshot);
  node.raft = std::make_unique<RaftConsensus>(options_, std::move(recovered), random_(),
                                              LocalTime(node.member.id.value));
}

void VirtualCluster::Crash(std::uint64_t id) {
  Node& node = nodes_.at(id);
  if (node.storage && !node.persisting.empty()) {
    // The write was under way; power goes before its sync returns.
    node.files->FailSyncs(1);
    static_cast<void>(
        Attempt([&] { return node.storage->Persist(node.persisting.front().effects.persist); }));
  }
  node.raft.reset();
  node.storage.reset();
  node.inbox.clear();
  node.persisting.clear();
  node.stalled = false;
  node.files->FailSyncs(0);
  node.files->LosePower();
}

void VirtualCluster::Restart(std::uint64_t id) {
  Crash(id);
  nodes_.at(id).paused = false;
  Start(nodes_.at(id));
}

void VirtualCluster::LoseDisk(std::uint64_t id) {
  Crash(id);
  Node& node = nodes_.at(id);
  node.files->LoseDisk();
  node.files->SetCapacity(std::nullopt);
  node.member.disk = DiskIncarnation{next_incarnation_++};
  node.founding = false;
}

void VirtualCluster::RestartForFounding(std::uint64_t id) {
  nodes_.at(id).founding = true;
  Restart(id);
}

Instant VirtualCluster::LocalTime(std::uint64_t id) const {
  const Node& node = nodes_.at(id);
  return InstantFromMicros(node.clock_offset +
                           static_cast<std::int64_t>(static_cast<double>(time_) * node.clock_rate));
}

Member VirtualCluster::MemberOf(std::uint64_t id) const { return nodes_.at(id).member; }

bool VirtualCluster::ActsAsLeader(std::uint64_t id) const {
  const Node& node = nodes_.at(id);
  return node.raft && node.raft->role() == Role::kLeader &&
         LocalTime(id) < node.raft->leader_lease_end();
}

std::uint64_t VirtualCluster::Leader() const {
  for (const auto& [id, node] : nodes_) {
    if (ActsAsLeader(id) && !node.paused && node.raft->leadership_established()) return id;
  }
  return 0;
}

void VirtualCluster::Run(Duration span) {
  const std::int64_t end = time_ + span.count();
  while (time_ < end) {
    std::int64_t next = std::min(end, time_ + kTickMicros);
    if (!transit_.empty()) next = std::min(next, std::max(time_, transit_.top().due));
    time_ = next;
    DeliverDue();
    for (auto& [id, node] : nodes_) {
      if (!node.raft || node.paused) continue;
      CarryOutDue(node);
      if (!node.raft || node.stalled) continue;
      if (LocalTime(id) >= node.raft->NextTick()) Take(node, node.raft->Tick(LocalTime(id)));
      CarryOutDue(node);
    }
    CheckPromises();
  }
}

void VirtualCluster::Take(Node& node, Effects effects) {
  const auto& persist = effects.persist;
  if (persist.snapshot) {
    node.snapshot_index = persist.snapshot->last_index;
    node.log.erase(node.log.begin(), node.log.upper_bound(persist.snapshot->last_index.value));
  }
  if (persist.truncate_from) {
    node.log.erase(node.log.lower_bound(persist.truncate_from->value), node.log.end());
  }
  for (const auto& entry : persist.entries) {
    node.log[entry.index.value] = entry;
    const auto [known, added] = seen_.insert({{entry.index.value, entry.term.value}, entry});
    if (!added && !(known->second == entry)) Violate("log matching");
  }
  const std::int64_t due =
      effects.persist.Empty() && node.persisting.empty()
          ? time_
          : std::max(time_, node.persisting.empty() ? 0 : node.persisting.back().due) +
                (effects.persist.Empty() ? 0 : network_.persist_delay.count());
  node.persisting.push_back({std::move(effects), due});
}

void VirtualCluster::CarryOutDue(Node& node) {
  while (node.raft && !node.persisting.empty() && node.persisting.front().due <= time_) {
    if (!Persist(node, node.persisting.front().effects.persist)) return;
    const Effects effects = std::move(node.persisting.front().effects);
    node.persisting.pop_front();
    CarryOut(node, effects);
  }
}

bool VirtualCluster::Persist(Node& node, const PersistRequest& request) {
  if (request.Empty()) return true;
  const auto outcome = Attempt([&] { return node.storage->Persist(request); });
  const Error* error = ErrorOf(outcome);
  node.stalled = error != nullptr && error->kind == ErrorKind::kStorageFull;
  if (error == nullptr) return true;
  // Nothing is known of the disk after a failed sync: the process stops.
  if (!node.stalled) Crash(node.member.id.value);
  return false;
}

void VirtualCluster::CarryOut(Node& node, const Effects& effects) {
  for (const auto& message : effects.messages) Post(message);
  if (effects.restored) Restore(node, *effects.restored);
  for (const auto& entry : effects.committed) ApplyCommitted(node, entry);
  if (!effects.persist.Empty()) {
    Take(node, node.raft->PersistDone(effects.persist.sequence, LocalTime(node.member.id.value)));
  }
}

void VirtualCluster::Restore(Node& node, const Snapshot& snapshot) {
  node.applied.clear();
  std::istringstream lines(snapshot.data);
  for (std::string command; std::getline(lines, command);) node.applied.push_back(command);
  node.applied_index = snapshot.last_index;
  node.snapshot_index = snapshot.last_index;
}

void VirtualCluster::ApplyCommitted(Node& node, const LogEntry& entry) {
  if (entry.index != node.applied_index.Next()) Violate("entries applied out of order");
  const auto [known, added] = committed_.insert({entry.index.value, entry});
  if (!added && !(known->second == entry)) Violate("state-machine safety");
  node.applied_index = entry.index;
  if (entry.kind == EntryKind::kCommand) node.applied.push_back(entry.payload);
}

bool VirtualCluster::Connected(std::uint64_t from, std::uint64_t to) const {
  if (cut_links_.contains({from, to})) return false;
  if (sides_.empty()) return true;
  return std::any_of(sides_.begin(), sides_.end(),
                     [&](const auto& side) { return side.contains(from) && side.contains(to); });
}

void VirtualCluster::Post(const PeerMessage& message) {
  if (Chance() < network_.loss) return;
  const int copies = Chance() < network_.duplication ? 2 : 1;
  const auto spread = (network_.delay_maximum - network_.delay_minimum).count();
  for (int copy = 0; copy < copies; ++copy) {
    const auto delay = network_.delay_minimum.count() +
                       static_cast<std::int64_t>(Chance() * static_cast<double>(spread));
    transit_.push({time_ + delay, ++order_, message});
  }
}

void VirtualCluster::Resume(std::uint64_t id) {
  Node& node = nodes_.at(id);
  node.paused = false;
  for (const auto& message : node.inbox) Inject(message);
  node.inbox.clear();
}

void VirtualCluster::Inject(const PeerMessage& message) {
  transit_.push({time_, ++order_, message});
}

void VirtualCluster::DeliverDue() {
  while (!transit_.empty() && transit_.top().due <= time_) {
    const PeerMessage message = transit_.top().message;
    transit_.pop();
    const auto to = nodes_.find(message.to.id.value);
    if (to == nodes_.end() || !to->second.raft) continue;
    if (!Connected(message.from.id.value, message.to.id.value)) continue;
    if (to->second.stalled) continue;
    if (to->second.paused) {
      // A paused process finds in its sockets what came meanwhile.
      to->second.inbox.push_back(message);
      continue;
    }
    Take(to->second, to->second.raft->Step(message, LocalTime(to->first)));
    CarryOutDue(to->second);
  }
}

void VirtualCluster::CheckPromises() {
  std::uint64_t acting = 0;
  for (auto& [id, node] : nodes_) {
    if (!node.raft || node.raft->role() != Role::kLeader) continue;
    const auto [known, added] = leader_of_term_.insert({node.raft->term(), node.member});
    if (!added && !known->second.IsSameMemberAs(node.member)) Violate("election safety");
    if (node.checked_term != node.raft->term()) CheckLeaderCompleteness(node);
    if (!ActsAsLeader(id)) continue;
    if (acting != 0) Violate("lease exclusivity");
    acting = id;
  }
}

void VirtualCluster::CheckLeaderCompleteness(Node& node) {
  node.checked_term = node.raft->term();
  for (auto entry = committed_.upper_bound(node.snapshot_index.value); entry != committed_.end();
       ++entry) {
    // A leader of an old term need not hold what newer terms committed.
    if (entry->second.term > node.raft->term()) continue;
    const auto held = node.log.find(entry->first);
    if (held == node.log.end() || !(held->second == entry->second)) Violate("leader completeness");
  }
}

void VirtualCluster::Violate(const std::string& what) {
  violations_.push_back(what + " at " + std::to_string(time_) + " us");
}

std::optional<LogIndex> VirtualCluster::Propose(std::uint64_t id,
                                                std::vector<std::string> commands) {
  Node& node = nodes_.at(id);
  if (node.stalled) return std::nullopt;
  Effects effects;
  const auto outcome =
      Attempt([&] { return node.raft->Propose(std::move(commands), LocalTime(id), effects); });
  Take(node, std::move(effects));
  CarryOutDue(node);
  if (ErrorOf(outcome)) return std::nullopt;
  return std::get<LogIndex>(outcome);
}

bool VirtualCluster::Commit(const std::string& command, Duration limit) {
  bool proposed = false;
  std::uint64_t at = 0;
  return RunUntil(
      [&] {
        const std::uint64_t leader = Leader();
        if (leader != 0 && leader != at) proposed = false;
        if (leader != 0 && !proposed) {
          proposed = Propose(leader, {command}).has_value();
          at = leader;
        }
        return std::any_of(nodes_.begin(), nodes_.end(), [&](const auto& entry) {
          const auto& applied = entry.second.applied;
          return entry.second.raft &&
                 std::find(applied.begin(), applied.end(), command) != applied.end();
        });
      },
      limit);
}

std::optional<ErrorKind> VirtualCluster::ChangeMembership(std::uint64_t at,
                                                          const Membership& next) {
  Node& node = nodes_.at(at);
  Effects effects;
  const auto outcome =
      Attempt([&] { return node.raft->ProposeMembership(next, LocalTime(at), effects); });
  Take(node, std::move(effects));
  CarryOutDue(node);
  if (const Error* error = ErrorOf(outcome)) return error->kind;
  return std::nullopt;
}

void VirtualCluster::Transfer(std::uint64_t id) {
  Node& node = nodes_.at(id);
  Take(node, node.raft->TransferLeadership(LocalTime(id)));
  CarryOutDue(node);
}

void VirtualCluster::Compact(std::uint64_t id) {
  Node& node = nodes_.at(id);
  std::string data;
  for (const auto& command : node.applied) data += command + "\n";
  Take(node, node.raft->Compact(node.applied_index, std::move(data), LocalTime(id)));
  CarryOutDue(node);
}

bool VirtualCluster::AllAppliedEqual(const std::set<std::uint64_t>& of) const {
  const auto& first = nodes_.at(*of.begin()).applied;
  return std::all_of(of.begin(), of.end(), [&](std::uint64_t id) {
    return nodes_.at(id).raft && nodes_.at(id).applied == first;
  });
}

std::vector<Member> VirtualCluster::VotersThatMayCount() const {
  std::vector<Member> voters = first_voters_.voters;
  const auto voters_of = [](const LogEntry& entry) {
    const auto decoded = Attempt([&] { return codec::Decode<Membership>(entry.payload); });
    return std::get<Membership>(decoded).voters;
  };
  for (const auto& [index, entry] : committed_) {
    if (entry.kind == EntryKind::kMembership) voters = voters_of(entry);
  }
  const std::uint64_t committed = highest_committed();
  for (const auto& [id, node] : nodes_) {
    for (auto held = node.log.upper_bound(committed); held != node.log.end(); ++held) {
      if (held->second.kind != EntryKind::kMembership) continue;
      for (const Member& voter : voters_of(held->second)) voters.push_back(voter);
    }
  }
  return voters;
}

bool VirtualCluster::RepairStep() {
  const std::uint64_t leader = Leader();
  if (leader == 0) return false;
  const RaftConsensus& raft = Raft(leader);
  Membership next = raft.membership();
  const auto announced_again = [&](const Member& learner) {
    const auto announced = raft.announced();
    return std::any_of(announced.begin(), announced.end(), [&](const auto& member) {
      return member.id == learner.id && member.disk > learner.disk;
    });
  };
  if (std::erase_if(next.learners, announced_again) > 0) return !ChangeMembership(leader, next);
  if (!next.learners.empty()) {
    next.voters.push_back(next.learners.front());
    next.learners.erase(next.learners.begin());
    return !ChangeMembership(leader, next);
  }
  for (auto voter = next.voters.begin(); voter != next.voters.end(); ++voter) {
    const bool replaced = std::any_of(
        next.voters.begin(), next.voters.end(),
        [&](const auto& other) { return other.id == voter->id && other.disk > voter->disk; });
    if (!replaced) continue;
    next.voters.erase(voter);
    return !ChangeMembership(leader, next);
  }
  for (const Member& announced : raft.announced()) {
    next.learners.push_back(announced);
    return !ChangeMembership(leader, next);
  }
  return false;
}

bool VirtualCluster::KeeperStep(const control::MembershipRepairOptions& options) {
  const std::uint64_t leader = Leader();
  if (leader == 0) return false;
  const RaftConsensus& raft = Raft(leader);
  const auto next = control::NextMembership(
      options, {raft.self(), raft.membership(), raft.peers(LocalTime(leader)), raft.announced()});
  if (!next) return false;
  ChangeMembership(leader, *next);
  return true;
}

bool VirtualCluster::Repair(std::size_t voters, Duration limit) {
  return RunUntil(
      [&] {
        RepairStep();
        const std::uint64_t leader = Leader();
        if (leader == 0) return false;
        const auto& membership = Raft(leader).membership();
        return membership.learners.empty() && membership.voters.size() == voters &&
               std::all_of(membership.voters.begin(), membership.voters.end(),
                           [&](const auto& voter) {
                             const Node& node = nodes_.at(voter.id.value);
                             return node.raft && node.raft->membership() == membership &&
                                    node.member.IsSameMemberAs(voter) &&
                                    node.applied_index >= nodes_.at(leader).applied_index;
                           });
      },
      limit);
}

}  // namespace graniteseam::consensus::test
