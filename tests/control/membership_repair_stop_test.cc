/// @file
/// Planned stops: a control process hands over its leadership and its vote before it ends.
#include <criterion/criterion.h>

#include <algorithm>
#include <set>

#include "tests/control/membership_repair_group.h"

using namespace graniteseam;
using graniteseam::test::RepairGroup;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

using Id = RepairGroup::Id;

constexpr std::size_t kVoters = 5;
constexpr std::uint64_t kSeeds = 20;
/// The time that the daemon gives a process to hand over.
constexpr milliseconds kStopLimit{2'500};

void StartWithLearners(RepairGroup& group, std::size_t learners) {
  cr_assert(group.Commit(seconds(5)));
  for (std::size_t count = 0; count < learners; ++count) group.AddProcess();
  cr_assert(group.RunUntil([&] { return group.Whole(learners); }, seconds(5)));
  // The learners hold the log.
  group.Run(seconds(1));
}

/// Ends processes as planned, all at once.
/// @return whether each was ready before the limit.
bool Stop(RepairGroup& group, const std::set<Id>& ids) {
  for (const Id id : ids) group.PrepareStop(id);
  std::set<Id> waiting = ids;
  const bool ready = group.RunUntil(
      [&] {
        std::erase_if(waiting, [&](Id id) {
          if (!group.ReadyToStop(id)) return false;
          group.LosePower(id);
          return true;
        });
        return waiting.empty();
      },
      kStopLimit);
  for (const Id id : waiting) group.LosePower(id);
  return ready;
}

Id AnyVoter(RepairGroup& group, Id except) {
  for (const auto& voter : group.Members().voters) {
    if (voter.id.value != except) return voter.id.value;
  }
  return 0;
}

/// Two further machines may be lost at once, as with a group that nothing happened to.
void CheckToleratesTwoLosses(RepairGroup& group, std::uint64_t seed) {
  cr_assert(group.RunUntil([&] { return group.Leader() != 0; }, seconds(1)), "seed %lu", seed);
  cr_assert(group.Whole(), "seed %lu: a process that stopped votes", seed);
  const Id leader = group.Leader();
  group.LoseMachine(AnyVoter(group, leader));
  group.LoseMachine(leader);
  cr_assert(group.Commit(seconds(3)), "seed %lu", seed);
  cr_assert(group.HoldsAllAcknowledged(), "seed %lu", seed);
}

}  // namespace

// Guards against a leader that stops as planned and keeps its vote until it is noticed by silence.
Test(membership_repair_stop, leader_hands_over_its_leadership_and_its_vote) {
  for (std::uint64_t seed = 1; seed <= kSeeds; ++seed) {
    RepairGroup group(kVoters, seed);
    StartWithLearners(group, 1);
    const Id leader = group.Leader();
    cr_assert(Stop(group, {leader}), "seed %lu", seed);
    CheckToleratesTwoLosses(group, seed);
  }
}

// Guards against a voter that stops as planned and keeps its vote until it is noticed by silence.
Test(membership_repair_stop, voter_hands_over_its_vote) {
  for (std::uint64_t seed = 1; seed <= kSeeds; ++seed) {
    RepairGroup group(kVoters, seed);
    StartWithLearners(group, 1);
    cr_assert(Stop(group, {AnyVoter(group, group.Leader())}), "seed %lu", seed);
    CheckToleratesTwoLosses(group, seed);
  }
}

// Guards against a group that is left without two votes when two processes stop at once.
Test(membership_repair_stop, two_at_once_hand_over_their_votes) {
  for (std::uint64_t seed = 1; seed <= kSeeds; ++seed) {
    RepairGroup group(kVoters, seed);
    StartWithLearners(group, 2);
    const Id leader = group.Leader();
    cr_assert(Stop(group, {leader, AnyVoter(group, leader)}), "seed %lu", seed);
    CheckToleratesTwoLosses(group, seed);
  }
}

// Guards against processes that wait for one another, and against a group that comes back without
// a quorum.
Test(membership_repair_stop, all_at_once_end_in_time_and_come_back) {
  for (std::uint64_t seed = 1; seed <= kSeeds; ++seed) {
    RepairGroup group(kVoters, seed);
    StartWithLearners(group, seed % 3);
    const auto all = group.Running();
    cr_assert(Stop(group, all), "seed %lu", seed);
    for (const Id id : all) {
      group.Run(milliseconds(group.Below(200)));
      group.Start(id);
    }
    cr_assert(group.Commit(seconds(5)), "seed %lu", seed);
    cr_assert(group.HoldsAllAcknowledged(), "seed %lu", seed);
    cr_assert(group.RunUntil([&] { return group.Whole(); }, seconds(10)), "seed %lu", seed);
  }
}

// Guards against restarts that leave the group with fewer voters, or without its reserve.
Test(membership_repair_stop, each_restarts_in_turn) {
  for (std::uint64_t seed = 1; seed <= kSeeds; ++seed) {
    RepairGroup group(kVoters, seed);
    StartWithLearners(group, 1);
    for (const Id id : group.Running()) {
      cr_assert(Stop(group, {id}), "seed %lu, process %lu", seed, id);
      group.Run(milliseconds(group.Below(1'000)));
      cr_assert(group.Commit(seconds(1)), "seed %lu, process %lu", seed, id);
      group.Start(id);
      cr_assert(group.RunUntil([&] { return group.Whole(1); }, seconds(3)), "seed %lu, process %lu",
                seed, id);
      group.Run(seconds(1));
    }
    cr_assert(group.HoldsAllAcknowledged(), "seed %lu", seed);
  }
}

// Guards against a restart that waits for a learner in a group that has none, and against a voter
// that is removed without a replacement.
Test(membership_repair_stop, without_a_learner_nobody_waits_and_all_votes_stay) {
  constexpr milliseconds kTransfer{100};
  for (std::uint64_t seed = 1; seed <= kSeeds; ++seed) {
    RepairGroup group(kVoters, seed);
    StartWithLearners(group, 0);
    for (const Id id : {group.Leader(), AnyVoter(group, group.Leader())}) {
      const Instant before = group.now();
      cr_assert(Stop(group, {id}), "seed %lu", seed);
      cr_assert(group.now() - before <= kTransfer, "seed %lu", seed);
      cr_assert(group.Commit(seconds(1)), "seed %lu", seed);
      cr_assert(group.Members().voters.size() == kVoters, "seed %lu", seed);
      group.Start(id);
      group.Run(seconds(1));
    }
  }
}

// Guards against a process that gives up while the group elects a leader: with the leader's loss
// its vote would be the second one missing.
Test(membership_repair_stop, voter_hands_over_its_vote_while_the_leader_is_lost) {
  for (std::uint64_t seed = 1; seed <= kSeeds; ++seed) {
    RepairGroup group(kVoters, seed);
    StartWithLearners(group, 2);
    const Id leader = group.Leader();
    const Id stopped = AnyVoter(group, leader);
    group.LoseMachine(leader);
    cr_assert(Stop(group, {stopped}), "seed %lu", seed);
    cr_assert(group.RunUntil([&] { return group.Leader() != 0; }, seconds(1)), "seed %lu", seed);
    cr_assert_not(group.Votes(stopped), "seed %lu", seed);
  }
}
