/// @file
/// A control group in virtual time whose processes come, go, lose their disks and stop, with
/// membership repair at work.
#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <queue>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "graniteseam/control/control_node.h"
#include "tests/control/control_harness.h"

namespace graniteseam::test {

struct RepairGroupOptions {
  std::size_t voters = 5;
  Duration replace_after{2'000'000};
  Duration delay_minimum{200};
  Duration delay_maximum{1'500};
  Duration persist_delay{3'000};
};

/// Everything that a test sees follows from the seed and the calls.
class RepairGroup {
 public:
  using Id = std::uint64_t;

  /// Founds a group of this many voters.
  RepairGroup(std::size_t founders, std::uint64_t seed, RepairGroupOptions options = {});

  void Run(Duration span);
  /// @return whether the condition held within `limit`.
  template <class Condition>
  bool RunUntil(Condition condition, Duration limit) {
    const Instant end = now_ + limit;
    while (!condition()) {
      if (now_ >= end) return false;
      Run(Duration(1'000));
    }
    return true;
  }

  /// Starts a process with an empty disk, to which all that exist are seeds.
  Id AddProcess();
  /// Power goes: writes that are not done are lost.
  void LosePower(Id id);
  /// The machine is gone with its disk.
  void LoseMachine(Id id);
  void Start(Id id);
  /// As a planned stop does.
  void PrepareStop(Id id);
  bool ReadyToStop(Id id) const { return processes_.at(id).node->ReadyToStop(now_); }

  /// The process that leads; 0 for none.
  Id Leader() const;
  bool Runs(Id id) const { return processes_.at(id).node != nullptr; }
  std::set<Id> Running() const;
  control::ControlNode& node(Id id) { return *processes_.at(id).node; }
  /// The leader's membership; empty without a leader.
  consensus::Membership Members() const;
  bool Votes(Id id) const;
  /// Whether the group has as many voters as are wanted, all of which run, and this many learners
  /// or more that run.
  bool Whole(std::size_t learners = 0) const;

  /// Repeats a change until it is acknowledged. @return whether it was.
  bool Commit(Duration limit);
  /// Whether the leader holds all that was acknowledged.
  bool HoldsAllAcknowledged() const;

  Instant now() const { return now_; }
  std::uint64_t Below(std::uint64_t bound) { return random_() % bound; }

 private:
  struct Pending {
    control::ControlEffects effects;
    Instant due;
  };
  struct Process {
    consensus::Member self;
    Disk disk;
    std::unique_ptr<control::ControlNode> node;
    std::deque<Pending> pending;
  };

  void StartNode(Process& process, std::optional<consensus::Membership> bootstrap);
  void Take(Process& process, control::ControlEffects effects);
  void CarryOutDue(Process& process);
  void Deliver();
  std::int64_t WallMs() const { return 1'700'000'000'000 + ToMicros(now_) / 1'000; }

  RepairGroupOptions options_;
  std::mt19937_64 random_;
  Instant now_ = InstantFromMicros(1'000'000);
  std::map<Id, Process> processes_;
  std::multimap<Instant, consensus::PeerMessage> messages_;
  std::uint64_t next_incarnation_ = 100;
  control::RequestId last_request_ = 0;
  std::map<control::RequestId, control::OperatorAnswer> answers_;
  std::vector<ZoneName> acknowledged_;
};

}  // namespace graniteseam::test
