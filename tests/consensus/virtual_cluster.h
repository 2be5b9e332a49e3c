/// @file
/// A group of members in virtual time: a network with delay, loss, duplication and partitions, the
/// shipped storage on a disk in memory each, clocks that drift. Checks what Raft and the leader
/// lease promise after every step.
#pragma once

#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <queue>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "graniteseam/consensus/raft_consensus.h"
#include "src/control/membership_repair.h"
#include "src/storage/consensus_storage.h"
#include "src/storage/memory_file_system.h"

namespace graniteseam::consensus::test {

struct NetworkOptions {
  Duration delay_minimum{200};
  Duration delay_maximum{1'500};
  Duration persist_delay{300};
  double loss = 0;
  double duplication = 0;
  double clock_drift = 0;  ///< Each member's clock runs at 1 +- this.
};

class VirtualCluster {
 public:
  /// Whether the first voters know each other's disks from the start, or learn them.
  enum class Founding { kDisksKnown, kDisksUnknown };

  VirtualCluster(std::size_t voters, std::uint64_t seed, NetworkOptions network = {},
                 ConsensusOptions options = {}, Founding founding = Founding::kDisksKnown);

  /// Lets virtual time pass.
  void Run(Duration span);
  /// Lets time pass until the condition holds. @return whether it did within `limit`.
  template <class Condition>
  bool RunUntil(Condition condition, Duration limit = std::chrono::seconds(20)) {
    const std::int64_t end = time_ + limit.count();
    while (!condition()) {
      if (time_ >= end) return false;
      Run(Duration(1'000));
    }
    return true;
  }

  /// Power goes: what was not synced is lost or torn, in the middle of a write if there is one.
  void Crash(std::uint64_t id);
  void Restart(std::uint64_t id);
  /// The member loses its disk; a Restart() then comes up with a new incarnation and nothing else.
  void LoseDisk(std::uint64_t id);
  /// Restarts a member with the settings of a group's first start.
  void RestartForFounding(std::uint64_t id);
  /// Adds a process that is in no membership.
  void AddOutsider(std::uint64_t id);
  void Pause(std::uint64_t id) { nodes_.at(id).paused = true; }
  void Resume(std::uint64_t id);
  /// Messages pass only inside each set; members in no set are cut off alone. No set: all connect.
  void Partition(std::vector<std::set<std::uint64_t>> sides) { sides_ = std::move(sides); }
  void Heal() { sides_.clear(); }
  void CutOneWay(std::uint64_t from, std::uint64_t to) { cut_links_.insert({from, to}); }
  void Inject(const PeerMessage& message);

  /// The member that leads with a valid lease and an own entry committed; 0 when there is none.
  std::uint64_t Leader() const;
  bool Up(std::uint64_t id) const { return nodes_.at(id).raft != nullptr; }
  RaftConsensus& Raft(std::uint64_t id) { return *nodes_.at(id).raft; }
  Instant LocalTime(std::uint64_t id) const;
  bool ActsAsLeader(std::uint64_t id) const;
  const std::vector<std::string>& Applied(std::uint64_t id) const { return nodes_.at(id).applied; }
  storage::MemoryFileSystem& Files(std::uint64_t id) { return *nodes_.at(id).files; }
  /// Whether a member stands still because its disk is full.
  bool Stalled(std::uint64_t id) const { return nodes_.at(id).stalled; }
  const std::set<std::uint64_t>& ids() const { return ids_; }
  Member MemberOf(std::uint64_t id) const;

  /// Proposes at a member. @return the index, or nullopt when it refused.
  std::optional<LogIndex> Propose(std::uint64_t id, std::vector<std::string> commands);
  /// Proposes at whoever leads until the command is applied there. @return whether it was.
  bool Commit(const std::string& command, Duration limit = std::chrono::seconds(20));
  /// @return the error's kind, or nullopt when it was taken.
  std::optional<ErrorKind> ChangeMembership(std::uint64_t at, const Membership& next);
  void Transfer(std::uint64_t id);
  /// Compacts a member's log up to what it applied.
  void Compact(std::uint64_t id);
  bool AllAppliedEqual(const std::set<std::uint64_t>& of) const;

  /// Voters of the newest committed membership and of those that members hold beyond it.
  std::vector<Member> VotersThatMayCount() const;

  /// Takes the next step of replacing a voter whose process came back with another disk: learner,
  /// promotion, removal of the old incarnation. @return whether there was a step to take.
  bool RepairStep();
  /// Takes the next step that the shipped keeper wants. @return whether it wanted one.
  bool KeeperStep(const control::MembershipRepairOptions& options);
  /// Repairs until the membership is `voters` answering voters and no learner.
  bool Repair(std::size_t voters, Duration limit = std::chrono::seconds(20));

  /// Broken promises found so far, in words; empty when all held.
  const std::vector<std::string>& violations() const { return violations_; }
  /// The most index that any member applied.
  std::uint64_t highest_committed() const {
    return committed_.empty() ? 0 : committed_.rbegin()->first;
  }
  std::size_t elections() const { return leader_of_term_.size(); }
  std::int64_t now() const { return time_; }

 private:
  struct QueuedEffects {
    Effects effects;
    std::int64_t due = 0;
  };
  struct Node {
    Member member;
    std::unique_ptr<storage::MemoryFileSystem> files;
    std::unique_ptr<storage::ConsensusStorage> storage;
    std::unique_ptr<RaftConsensus> raft;
    std::deque<QueuedEffects> persisting;   ///< Carried out in order.
    std::map<std::uint64_t, LogEntry> log;  ///< As the member sees it, durable or not.
    std::vector<std::string> applied;
    LogIndex applied_index;
    LogIndex snapshot_index;
    bool paused = false;
    std::deque<PeerMessage> inbox;  ///< What came while it was paused.
    bool stalled = false;           ///< Its disk is full: it retries and takes no step meanwhile.
    double clock_rate = 1;
    std::int64_t clock_offset = 0;
    bool founding = false;             ///< Started with the group's first membership.
    std::optional<Term> checked_term;  ///< Leader completeness was checked for this term.
  };
  struct InTransit {
    std::int64_t due = 0;
    std::uint64_t order = 0;
    PeerMessage message;
    bool operator>(const InTransit& other) const {
      return std::tie(due, order) > std::tie(other.due, other.order);
    }
  };

  Node& AddNode(std::uint64_t id);
  void Start(Node& node);
  void Take(Node& node, Effects effects);
  void CarryOutDue(Node& node);
  bool Persist(Node& node, const PersistRequest& request);
  void CarryOut(Node& node, const Effects& effects);
  void Restore(Node& node, const Snapshot& snapshot);
  void ApplyCommitted(Node& node, const LogEntry& entry);
  void Post(const PeerMessage& message);
  bool Connected(std::uint64_t from, std::uint64_t to) const;
  void DeliverDue();
  void CheckPromises();
  void CheckLeaderCompleteness(Node& node);
  void Violate(const std::string& what);
  double Chance() { return std::uniform_real_distribution<double>(0, 1)(random_); }

  ConsensusOptions options_;
  NetworkOptions network_;
  std::mt19937_64 random_;
  std::int64_t time_ = 1'000'000;
  std::map<std::uint64_t, Node> nodes_;
  std::set<std::uint64_t> ids_;
  Membership first_voters_;
  Founding founding_;
  std::vector<std::set<std::uint64_t>> sides_;
  std::set<std::pair<std::uint64_t, std::uint64_t>> cut_links_;
  std::priority_queue<InTransit, std::vector<InTransit>, std::greater<>> transit_;
  std::uint64_t order_ = 0;
  std::uint64_t next_incarnation_ = 100;

  std::map<Term, Member> leader_of_term_;
  std::map<std::uint64_t, LogEntry> committed_;
  std::map<std::pair<std::uint64_t, std::uint64_t>, LogEntry> seen_;  ///< By (index, term).
  std::vector<std::string> violations_;
};

}  // namespace graniteseam::consensus::test
