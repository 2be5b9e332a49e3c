/// @file
/// The losses that the group claims to tolerate, each as a named case.
#include <criterion/criterion.h>

#include "tests/consensus/virtual_cluster.h"

using graniteseam::Duration;
using graniteseam::ErrorKind;
using graniteseam::Term;
using graniteseam::consensus::Member;
using graniteseam::consensus::Role;
using graniteseam::consensus::TimeoutNowRequest;
using graniteseam::consensus::VoteRequest;
using graniteseam::consensus::VoteResponse;
using graniteseam::consensus::test::VirtualCluster;

namespace {

const Duration kLong = std::chrono::seconds(5);

void CommitMany(VirtualCluster& cluster, const std::string& prefix, int count) {
  for (int number = 0; number < count; ++number) {
    cr_assert(cluster.Commit(prefix + std::to_string(number)));
  }
}

bool Holds(const VirtualCluster& cluster, std::uint64_t id, const std::string& command) {
  const auto& applied = cluster.Applied(id);
  return std::find(applied.begin(), applied.end(), command) != applied.end();
}

void CheckAllHeld(VirtualCluster& cluster) {
  cr_assert(cluster.RunUntil([&] { return cluster.AllAppliedEqual(cluster.ids()); }));
  const auto& violations = cluster.violations();
  cr_assert(violations.empty(), "%s", violations.empty() ? "" : violations[0].c_str());
}

}  // namespace

Test(fault, any_two_of_five_with_their_disks) {
  std::uint64_t seed = 10;
  for (std::uint64_t first = 1; first <= 5; ++first) {
    for (std::uint64_t second = first + 1; second <= 5; ++second) {
      VirtualCluster cluster(5, ++seed);
      CommitMany(cluster, "before-", 3);
      cluster.LoseDisk(first);
      cluster.LoseDisk(second);
      cr_assert(cluster.Commit("between"));
      cluster.Restart(first);
      cluster.Restart(second);
      cr_assert(cluster.Repair(5));
      cr_assert(cluster.Commit("after"));
      CheckAllHeld(cluster);
      for (const auto id : cluster.ids()) cr_assert_eq(cluster.Applied(id).size(), 5U);
    }
  }
}

Test(fault, a_zone_is_lost_and_comes_back) {
  for (const std::set<std::uint64_t>& zone : {std::set<std::uint64_t>{1, 2}, {3, 4}, {5}}) {
    VirtualCluster cluster(5, 30 + *zone.begin());
    CommitMany(cluster, "before-", 3);
    std::set<std::uint64_t> rest = cluster.ids();
    for (const auto id : zone) rest.erase(id);
    cluster.Partition({zone, rest});
    cluster.Run(std::chrono::seconds(1));
    cr_assert(rest.contains(cluster.Leader()));
    cr_assert(cluster.Commit("cut"));
    cluster.Heal();
    CheckAllHeld(cluster);
  }
}

Test(fault, with_three_of_five_lost_nothing_is_accepted) {
  VirtualCluster cluster(5, 40);
  CommitMany(cluster, "before-", 1);
  for (const std::uint64_t id : {1, 2, 3}) cluster.Crash(id);
  cr_assert_not(cluster.Commit("refused", kLong));
  cr_assert_eq(cluster.Leader(), 0U);
  cluster.Restart(1);
  cr_assert(cluster.Commit("after"));
}

Test(fault, the_whole_group_loses_power_in_the_middle_of_writes) {
  for (std::uint64_t seed = 50; seed < 70; ++seed) {
    VirtualCluster cluster(5, seed);
    CommitMany(cluster, "before-", 5);
    const auto leader = cluster.Leader();
    for (int number = 0; number < 20; ++number) {
      cluster.Propose(leader, {"open-" + std::to_string(number)});
    }
    cluster.Run(Duration(static_cast<std::int64_t>(seed) * 37 % 2'000));
    for (const auto id : cluster.ids()) cluster.Crash(id);
    for (const auto id : cluster.ids()) cluster.Restart(id);
    cr_assert(cluster.Commit("after"));
    CheckAllHeld(cluster);
    for (int number = 0; number < 5; ++number) {
      cr_assert(Holds(cluster, 1, "before-" + std::to_string(number)));
    }
  }
}

Test(fault, a_full_disk_stands_still_and_goes_on_by_itself) {
  VirtualCluster cluster(5, 70);
  CommitMany(cluster, "before-", 2);
  const auto leader = cluster.Leader();
  cluster.Files(leader).SetCapacity(0);
  cluster.Propose(leader, {"not-durable-here"});
  cr_assert(cluster.RunUntil([&] { return cluster.Stalled(leader); }));
  cr_assert(Holds(cluster, leader, "before-1"));  // What is durable can still be read.
  cr_assert(cluster.RunUntil([&] { return cluster.Leader() != 0 && cluster.Leader() != leader; }));
  cr_assert_not(cluster.ActsAsLeader(leader));
  cr_assert(cluster.Commit("elsewhere"));
  cluster.Files(leader).SetCapacity(std::nullopt);
  cr_assert(cluster.Commit("after"));
  CheckAllHeld(cluster);
}

Test(fault, a_failed_sync_stops_the_process_and_nothing_else) {
  VirtualCluster cluster(3, 80);
  CommitMany(cluster, "before-", 2);
  cluster.Files(2).FailSyncs(1);
  cr_assert(cluster.Commit("during"));
  cr_assert(cluster.RunUntil([&] { return !cluster.Up(2); }));
  cr_assert(cluster.Commit("without"));
  cluster.Restart(2);
  CheckAllHeld(cluster);
}

Test(fault, a_voter_away_for_hundreds_of_changes_catches_up_by_snapshot) {
  graniteseam::consensus::ConsensusOptions options;
  options.snapshot_chunk_bytes = 256;
  options.entries_kept_after_snapshot = 10;
  VirtualCluster cluster(3, 90, {}, options);
  CommitMany(cluster, "before-", 1);
  const auto leader = cluster.Leader();
  const std::uint64_t away = leader == 1 ? 2 : 1;
  cluster.Crash(away);
  CommitMany(cluster, "missed-", 400);
  for (const auto id : cluster.ids()) {
    if (id != away) cluster.Compact(id);
  }
  CommitMany(cluster, "more-", 20);
  cluster.Restart(away);
  CheckAllHeld(cluster);
  cr_assert_eq(cluster.Applied(away).size(), 421U);
  // And its own disk holds it.
  cluster.Restart(away);
  CheckAllHeld(cluster);
}

Test(fault, a_second_loss_right_after_a_repair) {
  for (std::uint64_t seed = 100; seed < 110; ++seed) {
    VirtualCluster cluster(5, seed);
    CommitMany(cluster, "before-", 3);
    cluster.LoseDisk(5);
    cluster.Restart(5);
    cr_assert(cluster.Repair(5));
    // At once two others with their disks, one of them the leader.
    const auto leader = cluster.Leader();
    cluster.LoseDisk(leader);
    cluster.LoseDisk(leader == 1 ? 2 : 1);
    cr_assert(cluster.Commit("after"));
    for (const auto id : cluster.ids()) {
      if (cluster.Up(id) && cluster.Applied(id).size() == 4)
        cr_assert(Holds(cluster, id, "before-2"));
    }
    cr_assert(cluster.violations().empty());
  }
}

Test(fault, a_learner_is_promoted_only_once_it_has_caught_up) {
  VirtualCluster cluster(3, 111);
  CommitMany(cluster, "before-", 3);
  cluster.AddOutsider(4);
  cr_assert(cluster.RunUntil([&] { return !cluster.Raft(cluster.Leader()).announced().empty(); }));
  const auto leader = cluster.Leader();
  auto next = cluster.Raft(leader).membership();
  next.voters.push_back(cluster.MemberOf(4));
  cr_assert(cluster.ChangeMembership(leader, next) == ErrorKind::kFailedPrecondition);
  cr_assert(cluster.RepairStep());
  cluster.Crash(4);
  cluster.Run(kLong);
  cr_assert(cluster.ChangeMembership(leader, next) == ErrorKind::kFailedPrecondition);
  cluster.Restart(4);
  cr_assert(cluster.Repair(4));
  CheckAllHeld(cluster);
}

Test(fault, membership_changes_one_member_at_a_time) {
  VirtualCluster cluster(5, 120);
  CommitMany(cluster, "before-", 1);
  const auto leader = cluster.Leader();
  auto next = cluster.Raft(leader).membership();
  next.voters.resize(3);
  cr_assert(cluster.ChangeMembership(leader, next) == ErrorKind::kFailedPrecondition);
  next = cluster.Raft(leader).membership();
  std::erase_if(next.voters, [&](const Member& voter) { return voter.id.value == leader; });
  cr_assert_not(cluster.ChangeMembership(leader, next).has_value());
  cr_assert(cluster.ChangeMembership(leader, next) == ErrorKind::kFailedPrecondition);
  // The leader leads until its own removal is committed.
  cr_assert(cluster.RunUntil([&] { return cluster.Leader() != 0 && cluster.Leader() != leader; }));
  cr_assert(cluster.Commit("after"));
  cr_assert(cluster.Raft(leader).role() == Role::kLearner);
  cr_assert(cluster.violations().empty());
}

Test(fault, a_leader_cut_off_silently_stops_inside_its_lease) {
  VirtualCluster cluster(5, 130);
  CommitMany(cluster, "before-", 1);
  const auto old_leader = cluster.Leader();
  std::set<std::uint64_t> rest = cluster.ids();
  rest.erase(old_leader);
  cluster.Partition({{old_leader}, rest});
  cr_assert(cluster.RunUntil([&] { return cluster.Leader() != old_leader; }));
  cr_assert_not(cluster.Propose(old_leader, {"refused"}).has_value());
  cr_assert(cluster.Commit("elsewhere"));
  cluster.Run(std::chrono::seconds(600));
  cr_assert(cluster.Raft(old_leader).role() != Role::kLeader);
  cluster.Heal();
  CheckAllHeld(cluster);
}

Test(fault, a_paused_leader_finds_its_lease_over_when_it_wakes) {
  VirtualCluster cluster(5, 140);
  CommitMany(cluster, "before-", 1);
  const auto old_leader = cluster.Leader();
  cluster.Pause(old_leader);
  cr_assert(cluster.RunUntil([&] { return cluster.Leader() != 0; }));
  cr_assert(cluster.Commit("elsewhere"));
  cluster.Resume(old_leader);
  cr_assert_not(cluster.ActsAsLeader(old_leader));
  cr_assert_not(cluster.Propose(old_leader, {"refused"}).has_value());
  CheckAllHeld(cluster);
}

Test(fault, a_leader_that_sends_but_does_not_hear_steps_down) {
  VirtualCluster cluster(3, 150);
  CommitMany(cluster, "before-", 1);
  const auto deaf = cluster.Leader();
  for (const auto id : cluster.ids()) cluster.CutOneWay(id, deaf);
  cr_assert(cluster.RunUntil([&] { return cluster.Leader() != 0 && cluster.Leader() != deaf; }));
  cr_assert(cluster.Commit("elsewhere"));
  cr_assert(cluster.violations().empty());
}

Test(fault, a_vote_is_refused_inside_the_lease_and_after_a_restart) {
  VirtualCluster cluster(3, 160);
  CommitMany(cluster, "before-", 1);
  const auto leader = cluster.Leader();
  const std::uint64_t voter = leader == 1 ? 2 : 1;
  const std::uint64_t candidate = 6 - leader - voter;
  const Term term = cluster.Raft(leader).term();
  const VoteRequest request{term.Next(), false, cluster.Raft(leader).last_index(), term, false};
  cluster.Inject({cluster.MemberOf(candidate), cluster.MemberOf(voter), request});
  cluster.Run(Duration(2'000));
  cr_assert(cluster.Raft(voter).term() == term);
  cluster.Restart(voter);
  cluster.Partition({{voter}, {candidate}, {leader}});
  cluster.Heal();
  cluster.Inject({cluster.MemberOf(candidate), cluster.MemberOf(voter), request});
  cluster.Run(Duration(1));
  cr_assert(cluster.Raft(voter).term() == term);
}

Test(fault, votes_of_a_lost_disk_do_not_count) {
  VirtualCluster cluster(3, 170);
  CommitMany(cluster, "before-", 1);
  const Member old_incarnation = cluster.MemberOf(3);
  cluster.LoseDisk(3);
  cluster.Restart(3);
  // Alone, a candidate is offered the vote of the old incarnation's replacement.
  const std::uint64_t other = cluster.Leader() == 1 ? 2 : 1;
  cluster.Crash(cluster.Leader() == 3 || cluster.Leader() == 0 ? 1 : cluster.Leader());
  const std::uint64_t alone = cluster.Up(other) ? other : 3 - other;
  for (int round = 0; round < 5'000; ++round) {
    const Term term = cluster.Raft(alone).term();
    for (const bool pre_vote : {true, false}) {
      const Term asked = pre_vote ? term.Next() : term;
      cluster.Inject(
          {cluster.MemberOf(3), cluster.MemberOf(alone), VoteResponse{asked, pre_vote, true}});
    }
    cluster.Run(Duration(1'000));
    cr_assert(cluster.Raft(alone).role() != Role::kLeader);
  }
  cr_assert_not(cluster.MemberOf(3).IsSameMemberAs(old_incarnation));
}

Test(fault, leadership_is_handed_over_without_waiting_for_a_timeout) {
  VirtualCluster cluster(5, 180);
  CommitMany(cluster, "before-", 3);
  cr_assert(cluster.RunUntil([&] { return cluster.AllAppliedEqual(cluster.ids()); }));
  cluster.Run(std::chrono::milliseconds(200));
  const auto old_leader = cluster.Leader();
  const auto before = cluster.now();
  cluster.Transfer(old_leader);
  cr_assert_not(cluster.ActsAsLeader(old_leader));
  cr_assert(cluster.RunUntil([&] { return cluster.Leader() != 0; }));
  cr_assert_neq(cluster.Leader(), old_leader);
  // Virtual time: a few message delays, far below any election timeout.
  cr_assert_lt(cluster.now() - before, 50'000);
  cr_assert(cluster.Commit("after"));
  CheckAllHeld(cluster);
}

Test(fault, a_leader_never_leads_again_in_the_term_that_it_gave_away) {
  VirtualCluster cluster(3, 190);
  CommitMany(cluster, "before-", 1);
  cluster.Run(std::chrono::milliseconds(200));
  const auto old_leader = cluster.Leader();
  const Term term = cluster.Raft(old_leader).term();
  cluster.Partition({{1}, {2}, {3}});  // The request to stand is lost.
  cluster.Transfer(old_leader);
  cluster.Heal();
  for (int step = 0; step < 5'000; ++step) {
    cluster.Run(Duration(1'000));
    const bool leads_again =
        cluster.Raft(old_leader).role() == Role::kLeader && cluster.Raft(old_leader).term() == term;
    cr_assert_not(leads_again);
  }
  // A late copy of the request comes into a later term.
  const std::uint64_t follower = cluster.Leader() == 1 ? 2 : 1;
  cluster.Inject(
      {cluster.MemberOf(old_leader), cluster.MemberOf(follower), TimeoutNowRequest{term}});
  cluster.Run(Duration(5'000));
  cr_assert(cluster.Raft(follower).role() == Role::kFollower);
  cr_assert(cluster.violations().empty());
}

// A thousand entries of half a megabyte each stayed in memory behind a snapshot.
Test(fault, entries_kept_behind_a_snapshot_are_bounded_by_bytes) {
  constexpr std::size_t kCommandBytes = 100'000;
  graniteseam::consensus::ConsensusOptions options;
  options.bytes_kept_after_snapshot = 5 * kCommandBytes;
  VirtualCluster cluster(3, 200, {}, options);
  for (int number = 0; number < 20; ++number) {
    cr_assert(cluster.Commit(std::to_string(number) + std::string(kCommandBytes, 'x')));
  }
  const auto leader = cluster.Leader();
  const std::uint64_t away = leader == 1 ? 2 : 1;
  cluster.Crash(away);
  cr_assert(cluster.Commit("missed"));
  for (const auto id : cluster.ids()) {
    if (id == away) continue;
    cr_assert(cluster.Raft(id).log_bytes() > 20 * kCommandBytes);
    cluster.Compact(id);
    cr_assert(cluster.Raft(id).log_bytes() <= options.bytes_kept_after_snapshot);
    cr_assert(cluster.Raft(id).log_bytes() > options.bytes_kept_after_snapshot / 2);
  }
  cluster.Restart(away);
  CheckAllHeld(cluster);
  cr_assert_eq(cluster.Applied(away).size(), 21U);
}
