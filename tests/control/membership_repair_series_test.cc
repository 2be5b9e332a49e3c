/// @file
/// Machines of the control group are replaced in series, until no founder is left.
#include <criterion/criterion.h>

#include <algorithm>
#include <set>
#include <vector>

#include "tests/control/membership_repair_group.h"

using namespace graniteseam;
using graniteseam::test::RepairGroup;
using graniteseam::test::RepairGroupOptions;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

using Id = RepairGroup::Id;

constexpr std::size_t kVoters = 5;
constexpr std::uint64_t kSeeds = 20;
/// A lost machine stops counting as lost this long after its successor's start.
constexpr seconds kReplacementTime{4};

RepairGroupOptions OptionsFor(std::uint64_t seed) {
  RepairGroupOptions options;
  options.delay_maximum = Duration(seed % 3 == 0 ? 12'000 : 1'500);
  options.persist_delay = Duration(seed % 2 == 0 ? 20'000 : 3'000);
  return options;
}

/// The leader and another voter that runs, founders first.
std::vector<Id> LeaderAndAnother(RepairGroup& group) {
  std::vector<Id> voters;
  for (const auto& voter : group.Members().voters) voters.push_back(voter.id.value);
  std::erase_if(voters, [&](Id id) { return !group.Running().contains(id); });
  const Id leader = group.Leader();
  std::erase(voters, leader);
  return {leader, *std::min_element(voters.begin(), voters.end())};
}

bool HasFounder(const RepairGroup& group) {
  const auto members = group.Members();
  return std::any_of(members.voters.begin(), members.voters.end(),
                     [](const auto& voter) { return voter.id.value <= kVoters; });
}

/// A whole group with one learner in reserve.
void StartWithReserve(RepairGroup& group, std::uint64_t seed) {
  cr_assert(group.Commit(seconds(5)), "seed %lu: no leader", seed);
  group.AddProcess();
  cr_assert(group.RunUntil([&] { return group.Whole(1); }, seconds(5)), "seed %lu: no reserve",
            seed);
}

/// Two machines are lost at once, the leader's among them, and one that replaces them starts 1 s
/// later. All must be repaired within the replacement time of its start.
void ReplaceTwo(RepairGroup& group, std::uint64_t seed, int round) {
  for (const Id id : LeaderAndAnother(group)) group.LoseMachine(id);
  group.Run(seconds(1));
  group.AddProcess();
  cr_assert(group.RunUntil([&] { return group.Whole(); }, kReplacementTime),
            "seed %lu, round %d: %zu voters", seed, round, group.Members().voters.size());
  cr_assert(group.Commit(milliseconds(100)), "seed %lu, round %d: no leader", seed, round);
  cr_assert(group.HoldsAllAcknowledged(), "seed %lu, round %d", seed, round);
}

/// The machine that replaces the second one starts later and is the reserve of the next round.
void AddReserve(RepairGroup& group, std::uint64_t seed, int round) {
  group.AddProcess();
  cr_assert(group.RunUntil([&] { return group.Whole(1); }, seconds(3)),
            "seed %lu, round %d: no reserve", seed, round);
}

}  // namespace

// Guards against a repair that is slower than the losses that are tolerated: the group lost its
// quorum when two machines were replaced for the second time.
Test(membership_repair_series, two_machines_at_once_until_no_founder_is_left, .timeout = 120) {
  for (std::uint64_t seed = 1; seed <= kSeeds; ++seed) {
    RepairGroup group(kVoters, seed, OptionsFor(seed));
    StartWithReserve(group, seed);
    int round = 0;
    do {
      ReplaceTwo(group, seed, ++round);
      AddReserve(group, seed, round);
    } while (HasFounder(group) || round < 4);
  }
}

// Guards against an acknowledged change that is held by too few disks after a replacement.
Test(membership_repair_series, two_disks_while_all_others_lose_power_after_each_replacement,
     .timeout = 120) {
  for (std::uint64_t seed = 1; seed <= kSeeds; ++seed) {
    RepairGroup group(kVoters, seed, OptionsFor(seed));
    StartWithReserve(group, seed);
    for (int round = 1; round <= 4; ++round) {
      ReplaceTwo(group, seed, round);
      const auto lost = LeaderAndAnother(group);
      const auto running = group.Running();
      group.Run(milliseconds(group.Below(300)));
      cr_assert(group.Commit(milliseconds(100)));
      for (const Id id : running) group.LosePower(id);
      for (const Id id : lost) group.LoseMachine(id);
      for (const Id id : running) {
        group.Run(milliseconds(group.Below(300)));
        group.Start(id);
      }
      cr_assert(group.Commit(seconds(10)), "seed %lu, round %d: no leader", seed, round);
      cr_assert(group.HoldsAllAcknowledged(), "seed %lu, round %d", seed, round);
      cr_assert(group.RunUntil([&] { return group.Whole(); }, seconds(10)), "seed %lu, round %d",
                seed, round);
      AddReserve(group, seed, round);
    }
  }
}

// Guards against a repair that is too slow when the leader is lost after another voter: the next
// leader counts the silence anew, and a third loss found both in the membership still.
Test(membership_repair_series, leader_is_lost_before_the_voter_lost_earlier_is_replaced,
     .timeout = 120) {
  constexpr milliseconds kSuccessorAfter{100};
  constexpr std::uint64_t kLeaderLostWithinMs = 2'500;
  for (std::uint64_t seed = 1; seed <= kSeeds; ++seed) {
    RepairGroupOptions options = OptionsFor(seed);
    options.replace_after = Duration(kReplacementTime) / 3;
    RepairGroup group(kVoters, seed, options);
    StartWithReserve(group, seed);
    for (int round = 1; round <= 4; ++round) {
      group.LoseMachine(LeaderAndAnother(group)[1]);
      group.Run(kSuccessorAfter);
      group.AddProcess();
      const milliseconds leader_lost_after(group.Below(kLeaderLostWithinMs));
      group.Run(leader_lost_after);
      group.LoseMachine(group.Leader());
      group.Run(kSuccessorAfter);
      group.AddProcess();
      // The first loss does not count any more.
      group.Run(kReplacementTime - leader_lost_after - kSuccessorAfter);
      cr_assert_neq(group.Leader(), 0U, "seed %lu, round %d: no leader", seed, round);
      group.LoseMachine(LeaderAndAnother(group)[1]);
      cr_assert(group.Commit(seconds(2)), "seed %lu, round %d: no leader", seed, round);
      cr_assert(group.HoldsAllAcknowledged(), "seed %lu, round %d", seed, round);
      AddReserve(group, seed, round);
      AddReserve(group, seed, round);
    }
  }
}
