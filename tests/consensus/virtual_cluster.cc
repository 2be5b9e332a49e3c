#include "tests/consensus/virtual_cluster.h"

#include <algorithm>
#include <sstream>
#include <tuple>

namespace graniteseam::consensus::test {
namespace {

constexpr std::int64_t kTickMicros = 1'000;

std::string ZoneOf(std::uint64_t id) { return "zone-" + std::to_string((id - 1) / 2 + 1); }

}  // namespace

void VirtualDisk::Apply(const PersistRequest& request) {
  if (request.snapshot) {
    snapshot = request.snapshot;
    entries.erase(entries.begin(), entries.upper_bound(snapshot->last_index.value));
  }
  if (request.truncate_from) {
    entries.erase(entries.lower_bound(request.truncate_from->value), entries.end());
  }
  for (const auto& entry : request.entries) entries[entry.index.value] = entry;
  if (request.hard_state) hard_state = *request.hard_state;
}

std::vector<LogEntry> VirtualDisk::EntriesAfterSnapshot() const {
  std::vector<LogEntry> all;
  for (const auto& [index, entry] : entries) all.push_back(entry);
  return all;
}

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
  node.disk.incarnation = DiskIncarnation{next_incarnation_++};
  node.member = {ControlId{id}, node.disk.incarnation, "10.0.0." + std::to_string(id) + ":1",
                 ZoneName{ZoneOf(id)}};
  node.clock_rate = 1 + network_.clock_drift * (2 * Chance() - 1);
  node.clock_offset = static_cast<std::int64_t>(Chance() * 1e9);
  return node;
}

void VirtualCluster::Start(Node& node) {
  RecoveredState recovered;
  recovered.self = node.member;
  recovered.hard_state = node.disk.hard_state;
  recovered.snapshot = node.disk.snapshot;
  recovered.entries = node.disk.EntriesAfterSnapshot();
  recovered.seeds = first_voters_.voters;
  for (auto& seed : recovered.seeds) seed.disk = {};
  if (node.founding) {
    recovered.bootstrap = first_voters_;
    if (founding_ == Founding::kDisksUnknown) recovered.bootstrap->voters = recovered.seeds;
  }
  node.log = node.disk.entries;
  node.applied.clear();
  node.applied_index = {};
  node.checked_term.reset();
  node.persisting.clear();
  if (node.disk.snapshot) Restore(node, *node.disk.snapshot);
  node.raft = std::make_unique<RaftConsensus>(options_, std::move(recovered), random_(),
                                              LocalTime(node.member.id.value));
}

void VirtualCluster::Crash(std::uint64_t id) {
  nodes_.at(id).raft.reset();
  nodes_.at(id).persisting.clear();
}

void VirtualCluster::Restart(std::uint64_t id) {
  Crash(id);
  nodes_.at(id).paused = false;
  Start(nodes_.at(id));
}

void VirtualCluster::LoseDisk(std::uint64_t id) {
  Crash(id);
  Node& node = nodes_.at(id);
  node.disk = {};
  node.disk.incarnation = DiskIncarnation{next_incarnation_++};
  node.member.disk = node.disk.incarnation;
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
      if (LocalTime(id) >= node.raft->NextTick()) Take(node, node.raft->Tick(LocalTime(id)));
      CarryOutDue(node);
    }
    CheckPromises();
  }
}

void VirtualCluster::Take(Node& node, Effects effects) {
  const auto& persist = effects.persist;
  if (persist.snapshot) {
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
    const Effects effects = std::move(node.persisting.front().effects);
    node.persisting.pop_front();
    CarryOut(node, effects);
  }
}

void VirtualCluster::CarryOut(Node& node, const Effects& effects) {
  node.disk.Apply(effects.persist);
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
    if (to->second.paused) {
      // A paused process finds in its sockets what came meanwhile.
      transit_.push({time_ + kTickMicros, ++order_, message});
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
    if (!added && !known->second.SameVoteAs(node.member)) Violate("election safety");
    if (node.checked_term != node.raft->term()) CheckLeaderCompleteness(node);
    if (!ActsAsLeader(id)) continue;
    if (acting != 0) Violate("lease exclusivity");
    acting = id;
  }
}

void VirtualCluster::CheckLeaderCompleteness(Node& node) {
  node.checked_term = node.raft->term();
  const std::uint64_t from = node.disk.snapshot ? node.disk.snapshot->last_index.value + 1 : 1;
  for (auto entry = committed_.lower_bound(from); entry != committed_.end(); ++entry) {
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

}  // namespace graniteseam::consensus::test
