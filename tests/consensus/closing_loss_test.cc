/// @file
/// One disk is lost while all others lose power, milliseconds after an acknowledgement. Nothing
/// acknowledged may be lost, and the group repairs itself with the shipped keeper.
#include <criterion/criterion.h>

#include <algorithm>
#include <set>

#include "tests/consensus/virtual_cluster.h"

using graniteseam::Duration;
using graniteseam::consensus::ConsensusOptions;
using graniteseam::consensus::Member;
using graniteseam::consensus::test::NetworkOptions;
using graniteseam::consensus::test::VirtualCluster;

namespace {

constexpr std::uint64_t kSeeds = 60;
constexpr std::size_t kVoters = 3;
/// Between two looks of the keeper.
constexpr Duration kLook{200'000};
constexpr std::chrono::seconds kRecovery{15};

/// One group up to the loss of all and beyond.
class ClosingLoss {
 public:
  explicit ClosingLoss(std::uint64_t seed, std::size_t voters = kVoters)
      : voters_(voters),
        random_(seed * 7'919),
        cluster_(voters, seed, Network(seed), Options(),
                 seed % 2 == 0 ? VirtualCluster::Founding::kDisksKnown
                               : VirtualCluster::Founding::kDisksUnknown) {
    for (const auto id : cluster_.ids()) cluster_.Files(id).RandomizeNameLoss();
    keeper_.enabled = true;
    keeper_.voters = voters;
  }

  /// Acknowledged is what the leader applied: it answers then.
  void Acknowledge(int count) {
    for (int number = 0; number < count; ++number) {
      const std::string command = "command-" + std::to_string(acknowledged_.size());
      cr_assert(AcknowledgeOne(command));
      acknowledged_.push_back(command);
    }
  }

  /// Lets time pass with the keeper at work.
  void Run(Duration span) {
    const std::int64_t end = cluster_.now() + span.count();
    while (cluster_.now() < end) {
      Keep();
      cluster_.Run(std::min(Duration(1'000), Duration(end - cluster_.now())));
    }
  }

  /// A little later the disk of one goes, and the power of all others.
  void Strike(std::uint64_t victim) { Strike(std::set<std::uint64_t>{victim}); }

  /// The same with the disks of several.
  void Strike(const std::set<std::uint64_t>& victims) {
    constexpr std::int64_t kSoon = 5'000;
    cluster_.Run(Duration(Below(kSoon)));
    for (const auto id : cluster_.ids()) {
      if (!victims.contains(id)) cluster_.Crash(id);
    }
    for (const std::uint64_t victim : victims) cluster_.LoseDisk(victim);
    const auto ids = cluster_.ids();
    std::vector<std::uint64_t> order(ids.begin(), ids.end());
    std::shuffle(order.begin(), order.end(), random_);
    cluster_.Run(Duration(Below(1'300'000)));
    for (const auto id : order) {
      cluster_.Run(Duration(Below(100'000)));
      cluster_.Restart(id);
    }
  }

  /// By itself the group takes changes again, has all that was acknowledged, and is whole.
  void CheckRecovered(std::uint64_t seed) {
    const auto reason = [&] {
      return cluster_.violations().empty() ? std::string("none") : cluster_.violations()[0];
    };
    cr_assert(AcknowledgeOne("after"), "seed %lu takes no change any more", seed);
    cr_assert(RunUntil([&] { return Whole(); }), "seed %lu does not become whole", seed);
    cr_assert(cluster_.violations().empty(), "seed %lu: %s", seed, reason().c_str());
    for (const auto id : cluster_.ids()) {
      for (const std::string& command : acknowledged_) {
        const auto& applied = cluster_.Applied(id);
        cr_assert(std::find(applied.begin(), applied.end(), command) != applied.end(),
                  "seed %lu: %lu lost %s", seed, id, command.c_str());
      }
    }
  }

  template <class Condition>
  bool RunUntil(Condition condition) {
    return cluster_.RunUntil(
        [&] {
          Keep();
          return condition();
        },
        kRecovery);
  }

  /// Every voter runs with the disk that the membership names, and all applied the same.
  bool Whole() const {
    const std::uint64_t leader = cluster_.Leader();
    if (leader == 0) return false;
    const auto& membership = const_cast<VirtualCluster&>(cluster_).Raft(leader).membership();
    const bool all_run =
        std::all_of(membership.voters.begin(), membership.voters.end(), [&](const Member& voter) {
          return cluster_.Up(voter.id.value) &&
                 cluster_.MemberOf(voter.id.value).IsSameMemberAs(voter);
        });
    return all_run && membership.voters.size() == voters_ &&
           cluster_.AllAppliedEqual(cluster_.ids());
  }

  std::int64_t Below(std::int64_t bound) {
    return static_cast<std::int64_t>(random_() % static_cast<std::uint64_t>(bound));
  }
  std::uint64_t AnyMember() { return 1 + random_() % voters_; }
  /// Two voters, the leader often among them.
  std::set<std::uint64_t> AnyTwo() {
    std::set<std::uint64_t> two;
    if (Below(2) == 0 && cluster_.Leader() != 0) two.insert(cluster_.Leader());
    while (two.size() < 2) two.insert(AnyMember());
    return two;
  }
  VirtualCluster& cluster() { return cluster_; }

 private:
  static NetworkOptions Network(std::uint64_t seed) {
    NetworkOptions network;
    network.delay_maximum = Duration(seed % 3 == 0 ? 12'000 : 1'500);
    network.persist_delay = Duration(seed % 5 == 0 ? 20'000 : 5'000);
    network.loss = seed % 4 == 0 ? 0.02 : 0;
    network.clock_drift = 0.02;
    return network;
  }
  static ConsensusOptions Options() {
    ConsensusOptions options;
    options.snapshot_chunk_bytes = 64;
    options.entries_kept_after_snapshot = 5;
    return options;
  }

  void Keep() {
    if (cluster_.now() < look_due_) return;
    look_due_ = cluster_.now() + kLook.count();
    cluster_.KeeperStep(keeper_);
  }

  bool AcknowledgeOne(const std::string& command) {
    std::uint64_t at = 0;
    return RunUntil([&] {
      const std::uint64_t leader = cluster_.Leader();
      if (leader == 0) return false;
      if (leader != at && cluster_.Propose(leader, {command})) at = leader;
      const auto& applied = cluster_.Applied(leader);
      return std::find(applied.begin(), applied.end(), command) != applied.end();
    });
  }

  std::size_t voters_;
  std::mt19937_64 random_;
  VirtualCluster cluster_;
  graniteseam::control::MembershipRepairOptions keeper_;
  std::int64_t look_due_ = 0;
  std::vector<std::string> acknowledged_;
};

}  // namespace

Test(closing_loss, the_leader_loses_its_disk) {
  for (std::uint64_t seed = 1; seed <= kSeeds; ++seed) {
    ClosingLoss loss(seed);
    loss.Acknowledge(1 + static_cast<int>(seed % 7));
    loss.Strike(loss.cluster().Leader());
    loss.CheckRecovered(seed);
  }
}

Test(closing_loss, any_member_loses_its_disk_while_changes_are_under_way) {
  for (std::uint64_t seed = 1; seed <= kSeeds; ++seed) {
    for (const std::size_t voters : {kVoters, std::size_t{5}}) {
      ClosingLoss loss(seed, voters);
      loss.Acknowledge(4);
      for (int number = 0; number < 8; ++number) {
        loss.cluster().Propose(loss.cluster().Leader(), {"open-" + std::to_string(number)});
      }
      loss.Acknowledge(1);
      loss.Strike(loss.AnyMember());
      loss.CheckRecovered(seed);
    }
  }
}

Test(closing_loss, right_after_logs_were_compacted) {
  for (std::uint64_t seed = 1; seed <= kSeeds; ++seed) {
    ClosingLoss loss(seed);
    loss.Acknowledge(20);
    for (const auto id : loss.cluster().ids()) {
      if (loss.Below(2) == 0) loss.cluster().Compact(id);
    }
    loss.Acknowledge(1);
    loss.Strike(loss.AnyMember());
    loss.CheckRecovered(seed);
  }
}

Test(closing_loss, another_member_right_after_one_was_repaired) {
  for (std::uint64_t seed = 1; seed <= kSeeds; ++seed) {
    ClosingLoss loss(seed);
    loss.Acknowledge(12);
    const std::uint64_t first = loss.AnyMember();
    loss.cluster().LoseDisk(first);
    loss.Run(Duration(loss.Below(1'000'000)));
    loss.cluster().Restart(first);
    cr_assert(loss.RunUntil([&] { return loss.Whole(); }), "seed %lu", seed);
    loss.Acknowledge(1);
    loss.Strike(first % kVoters + 1);
    loss.CheckRecovered(seed);
  }
}

// The machine counts as lost once, whatever step of its repair the second loss meets.
Test(closing_loss, the_same_member_at_any_step_of_its_repair) {
  for (std::uint64_t seed = 1; seed <= kSeeds * 3; ++seed) {
    ClosingLoss loss(seed);
    loss.Acknowledge(12);
    const std::uint64_t first = loss.AnyMember();
    loss.cluster().LoseDisk(first);
    loss.Run(Duration(loss.Below(1'000'000)));
    loss.cluster().Restart(first);
    loss.Run(Duration(loss.Below(2'500'000)));
    loss.Acknowledge(1);
    loss.Strike(first);
    loss.CheckRecovered(seed);
  }
}

// Power of the others alone, with a learner in reserve that holds the log or part of it.
Test(closing_loss, with_a_machine_in_reserve) {
  for (std::uint64_t seed = 1; seed <= kSeeds; ++seed) {
    ClosingLoss loss(seed);
    loss.Acknowledge(6);
    loss.cluster().AddOutsider(kVoters + 1);
    loss.Run(Duration(loss.Below(1'500'000)));
    loss.Acknowledge(1);
    loss.Strike(loss.AnyMember());
    loss.CheckRecovered(seed);
  }
}

// As many disks as five voters bear.
Test(closing_loss, two_of_five_lose_their_disks, .timeout = 300) {
  constexpr std::size_t kFive = 5;
  for (std::uint64_t seed = 1; seed <= kSeeds; ++seed) {
    ClosingLoss loss(seed, kFive);
    loss.Acknowledge(1 + static_cast<int>(seed % 7));
    loss.Strike(loss.AnyTwo());
    loss.CheckRecovered(seed);
  }
}

// As many learners as are kept come back with them, some of which hold the log.
Test(closing_loss, two_of_five_lose_their_disks_beside_eight_machines_in_reserve, .timeout = 300) {
  constexpr std::size_t kFive = 5;
  constexpr std::uint64_t kReserve = 8;
  for (std::uint64_t seed = 1; seed <= kSeeds / 3; ++seed) {
    ClosingLoss loss(seed, kFive);
    loss.Acknowledge(6);
    for (std::uint64_t number = 1; number <= kReserve; ++number) {
      loss.cluster().AddOutsider(kFive + number);
    }
    loss.Run(Duration(loss.Below(3'000'000)));
    loss.Acknowledge(1);
    loss.Strike(loss.AnyTwo());
    loss.CheckRecovered(seed);
  }
}
