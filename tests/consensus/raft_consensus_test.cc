/// @file
/// Elections, replication and leases of groups of one, three and five members.
#include <criterion/criterion.h>

#include "tests/consensus/virtual_cluster.h"

using graniteseam::ErrorKind;
using graniteseam::consensus::Announcement;
using graniteseam::consensus::ConsensusOptions;
using graniteseam::consensus::Role;
using graniteseam::consensus::test::VirtualCluster;

namespace {

void CheckGroupCommits(std::size_t voters) {
  VirtualCluster cluster(voters, 1);
  cr_assert(cluster.RunUntil([&] { return cluster.Leader() != 0; }));
  for (int number = 0; number < 20; ++number) {
    cr_assert(cluster.Commit("command-" + std::to_string(number)));
  }
  cr_assert(cluster.RunUntil([&] { return cluster.AllAppliedEqual(cluster.ids()); }));
  cr_assert_eq(cluster.Applied(1).size(), 20U);
  cr_assert_eq(cluster.elections(), 1U);
  cr_assert(cluster.violations().empty());
}

}  // namespace

Test(raft_consensus, one_member_elects_itself_and_commits) { CheckGroupCommits(1); }
Test(raft_consensus, three_members_elect_one_leader_and_commit) { CheckGroupCommits(3); }
Test(raft_consensus, five_members_elect_one_leader_and_commit) { CheckGroupCommits(5); }

Test(raft_consensus, a_follower_refuses_proposals_and_names_the_leader) {
  VirtualCluster cluster(3, 2);
  cr_assert(cluster.RunUntil([&] { return cluster.Leader() != 0; }));
  cluster.Run(std::chrono::milliseconds(100));
  const auto leader = cluster.Leader();
  const auto follower = leader == 1 ? 2 : 1;
  cr_assert_not(cluster.Propose(follower, {"refused"}).has_value());
  cr_assert_eq(cluster.Raft(follower).leader()->id.value, leader);
}

Test(raft_consensus, another_leader_follows_one_that_crashed) {
  VirtualCluster cluster(5, 3);
  cr_assert(cluster.Commit("before"));
  const auto first = cluster.Leader();
  cluster.Crash(first);
  cr_assert(cluster.Commit("after"));
  cr_assert_neq(cluster.Leader(), first);
  cluster.Restart(first);
  cr_assert(cluster.RunUntil([&] { return cluster.AllAppliedEqual(cluster.ids()); }));
  cr_assert(cluster.violations().empty());
}

Test(raft_consensus, a_member_cut_off_does_not_unseat_the_leader_when_it_returns) {
  VirtualCluster cluster(3, 4);
  cr_assert(cluster.Commit("before"));
  const auto leader = cluster.Leader();
  const std::uint64_t cut = leader == 1 ? 2 : 1;
  const std::uint64_t other = 6 - leader - cut;
  cluster.Partition({{leader, other}});
  cluster.Run(std::chrono::seconds(5));
  const auto term = cluster.Raft(leader).term();
  cluster.Heal();
  cluster.Run(std::chrono::seconds(2));
  cr_assert_eq(cluster.Leader(), leader);
  cr_assert_eq(cluster.Raft(leader).term().value, term.value);
}

Test(raft_consensus, a_group_is_founded_once_every_first_voter_told_its_disk) {
  VirtualCluster cluster(5, 5, {}, {}, VirtualCluster::Founding::kDisksUnknown);
  cluster.Crash(4);
  cluster.Run(std::chrono::seconds(3));
  cr_assert_eq(cluster.elections(), 0U);
  cluster.Restart(4);
  cr_assert(cluster.Commit("first"));
  cr_assert(cluster.RunUntil([&] { return cluster.AllAppliedEqual(cluster.ids()); }));
  cr_assert_eq(cluster.Raft(3).membership().voters.size(), 5U);
  cr_assert(cluster.violations().empty());
}

Test(raft_consensus, a_founder_that_lost_its_disk_does_not_found_a_second_group) {
  VirtualCluster cluster(3, 6, {}, {}, VirtualCluster::Founding::kDisksUnknown);
  cr_assert(cluster.Commit("first"));
  cluster.LoseDisk(1);
  cluster.RestartForFounding(1);
  cluster.Run(std::chrono::seconds(5));
  cr_assert(cluster.Raft(1).membership().voters.empty());
  cr_assert(cluster.Raft(1).role() == Role::kLearner);
  cr_assert(cluster.Commit("second"));
  // The leader knows it as one that may be taken in.
  const auto announced = cluster.Raft(cluster.Leader()).announced();
  cr_assert_eq(announced.size(), 1U);
  cr_assert(announced[0] == cluster.MemberOf(1));
}

// Members bring the state to routers: what they learn of a commit only with the next heartbeat is
// as late at the routers.
Test(raft_consensus, followers_hear_of_a_commit_without_waiting_for_a_heartbeat) {
  ConsensusOptions options;
  options.heartbeat_interval = std::chrono::milliseconds(100);
  options.commit_notification_delay = std::chrono::milliseconds(5);
  VirtualCluster cluster(3, 11, {}, options);
  cr_assert(cluster.RunUntil([&] { return cluster.Leader() != 0; }));
  cluster.Run(std::chrono::seconds(1));
  for (int change = 0; change < 20; ++change) {
    const std::uint64_t leader = cluster.Leader();
    const std::size_t before = cluster.Applied(leader).size();
    cr_assert(cluster.Propose(leader, {"change-" + std::to_string(change)}));
    cr_assert(cluster.RunUntil([&] { return cluster.Applied(leader).size() > before; }));
    const auto at_all = [&] {
      for (std::uint64_t id = 1; id <= 3; ++id) {
        if (cluster.Applied(id).size() <= before) return false;
      }
      return true;
    };
    // The 5 ms, a message, and steps of a millisecond.
    cr_assert(cluster.RunUntil(at_all, std::chrono::milliseconds(10)), "change %d", change);
    cluster.Run(std::chrono::milliseconds(7 * change));
  }
}
