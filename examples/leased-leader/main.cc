/// @file
/// A leader with a lease, without any daemon: three members of one replicated log in virtual time.
/// The leader is cut off without noticing. Its lease ends before another member leads, so that at
/// no instant two members may act as leader; what was accepted before is kept.
#include <cstdlib>
#include <deque>
#include <iostream>
#include <string>
#include <vector>

#include "graniteseam/consensus/raft_consensus.h"

namespace {

using graniteseam::Attempt;
using graniteseam::ControlId;
using graniteseam::DiskIncarnation;
using graniteseam::Duration;
using graniteseam::ErrorOf;
using graniteseam::Instant;
using graniteseam::InstantFromMicros;
using graniteseam::ToMicros;
using graniteseam::ZoneName;
using graniteseam::consensus::ConsensusOptions;
using graniteseam::consensus::Effects;
using graniteseam::consensus::EntryKind;
using graniteseam::consensus::Membership;
using graniteseam::consensus::PeerMessage;
using graniteseam::consensus::RaftConsensus;
using graniteseam::consensus::RecoveredState;

constexpr std::uint64_t kMembers = 3;
constexpr Duration kStep{1'000};
constexpr Duration kLimit{10'000'000};

Membership AllMembers() {
  Membership membership;
  for (std::uint64_t id = 1; id <= kMembers; ++id) {
    membership.voters.push_back(
        {ControlId{id}, DiskIncarnation{id}, "127.0.0.1:" + std::to_string(id), ZoneName{"zone"}});
  }
  return membership;
}

/// The driver of all members: carries messages and keeps what must be durable in memory.
class Group {
 public:
  Group() {
    const Membership membership = AllMembers();
    for (const auto& member : membership.voters) {
      RecoveredState recovered;
      recovered.self = member;
      recovered.bootstrap = membership;
      nodes_.emplace_back(ConsensusOptions{}, recovered, member.id.value, now_);
      accepted_.emplace_back();
    }
  }

  Instant now() const { return now_; }
  void CutOff(std::size_t node) { cut_off_ = node; }
  RaftConsensus& node(std::size_t index) { return nodes_[index]; }
  const std::vector<std::string>& accepted(std::size_t node) const { return accepted_[node]; }

  /// Members that may act as leader at this instant.
  std::vector<std::size_t> Leaders() const {
    std::vector<std::size_t> leaders;
    for (std::size_t index = 0; index < nodes_.size(); ++index) {
      const bool leased = now_ < nodes_[index].leader_lease_end();
      if (leased && nodes_[index].leadership_established()) leaders.push_back(index);
    }
    return leaders;
  }

  /// Lets one step of time pass and delivers what is under way.
  void Step() {
    now_ += kStep;
    for (std::size_t index = 0; index < nodes_.size(); ++index) {
      if (nodes_[index].NextTick() <= now_) Carry(index, nodes_[index].Tick(now_));
    }
    for (std::size_t count = messages_.size(); count > 0; --count) {
      const PeerMessage message = messages_.front();
      messages_.pop_front();
      const std::size_t from = message.from.id.value - 1;
      const std::size_t to = message.to.id.value - 1;
      if (from == cut_off_ || to == cut_off_) continue;
      Carry(to, nodes_[to].Step(message, now_));
    }
  }

  bool Propose(std::size_t leader, const std::string& command) {
    Effects effects;
    const auto proposed = Attempt([&] { return nodes_[leader].Propose({command}, now_, effects); });
    Carry(leader, effects);
    return ErrorOf(proposed) == nullptr;
  }

 private:
  void Carry(std::size_t index, const Effects& effects) {
    for (const auto& entry : effects.committed) {
      if (entry.kind == EntryKind::kCommand) accepted_[index].push_back(entry.payload);
    }
    for (const auto& message : effects.messages) messages_.push_back(message);
    // A program syncs `persist` to its disk here, before any message leaves.
    if (!effects.persist.Empty()) {
      Carry(index, nodes_[index].PersistDone(effects.persist.sequence, now_));
    }
  }

  Instant now_ = InstantFromMicros(1'000'000);
  std::vector<RaftConsensus> nodes_;
  std::vector<std::vector<std::string>> accepted_;
  std::deque<PeerMessage> messages_;
  std::size_t cut_off_ = kMembers;  // Nobody.
};

/// Steps until one member leads that is not `former`; ends the program when two may lead at once.
std::size_t AwaitLeader(Group& group, std::size_t former) {
  const Instant give_up = group.now() + kLimit;
  while (group.now() < give_up) {
    group.Step();
    const std::vector<std::size_t> leaders = group.Leaders();
    if (leaders.size() > 1) {
      std::cerr << "Two members may act as leader at once.\n";
      std::exit(EXIT_FAILURE);
    }
    if (leaders.size() == 1 && leaders.front() != former) return leaders.front();
  }
  std::cerr << "Nobody leads.\n";
  std::exit(EXIT_FAILURE);
}

void AwaitAccepted(Group& group, std::size_t node, const std::string& command) {
  const Instant give_up = group.now() + kLimit;
  while (group.accepted(node).empty() || group.accepted(node).back() != command) {
    group.Step();
    if (group.now() < give_up) continue;
    std::cerr << command << " was not accepted.\n";
    std::exit(EXIT_FAILURE);
  }
}

}  // namespace

int main() {
  Group group;
  const std::size_t first = AwaitLeader(group, kMembers);
  std::cout << "Member " << first + 1 << " leads.\n";
  if (!group.Propose(first, "one")) return EXIT_FAILURE;
  AwaitAccepted(group, first, "one");

  const Instant cut_at = group.now();
  group.CutOff(first);
  const std::size_t second = AwaitLeader(group, first);
  std::cout << "Member " << first + 1 << " is cut off; its lease ended before member " << second + 1
            << " led, " << (ToMicros(group.now()) - ToMicros(cut_at)) / 1'000 << " ms later.\n";
  if (group.Propose(first, "lost")) {
    std::cerr << "The old leader took a command after its lease.\n";
    return EXIT_FAILURE;
  }
  if (!group.Propose(second, "two")) return EXIT_FAILURE;
  AwaitAccepted(group, second, "two");

  group.CutOff(kMembers);
  AwaitAccepted(group, first, "two");
  if (group.accepted(first) != std::vector<std::string>{"one", "two"}) {
    std::cerr << "The old leader's log differs.\n";
    return EXIT_FAILURE;
  }
  std::cout << "Healed: every member has accepted one, two, and nothing else.\n";
  return EXIT_SUCCESS;
}
