/// @file
/// How a process outside the membership is found by the leader.
#include <criterion/criterion.h>

#include <algorithm>

#include "graniteseam/codec/codec.h"
#include "tests/consensus/virtual_cluster.h"

using graniteseam::ControlId;
using graniteseam::DiskIncarnation;
using graniteseam::Duration;
using graniteseam::Instant;
using graniteseam::InstantFromMicros;
using graniteseam::LogIndex;
using graniteseam::Term;
using graniteseam::consensus::Announcement;
using graniteseam::consensus::AppendRequest;
using graniteseam::consensus::ConsensusOptions;
using graniteseam::consensus::Member;
using graniteseam::consensus::Membership;
using graniteseam::consensus::PeerMessage;
using graniteseam::consensus::RaftConsensus;
using graniteseam::consensus::RecoveredState;
using graniteseam::consensus::Snapshot;
using graniteseam::consensus::test::VirtualCluster;

namespace {

Member MemberAt(std::uint64_t id) {
  return {ControlId{id}, DiskIncarnation{id}, "10.0.0." + std::to_string(id) + ":1", {}};
}

Instant At(std::int64_t milliseconds) { return InstantFromMicros(milliseconds * 1000); }

/// Voter 2 of three, without a leader so far.
RaftConsensus SecondOfThree() {
  RecoveredState recovered;
  recovered.self = MemberAt(2);
  recovered.hard_state.term = Term{1};
  recovered.snapshot =
      Snapshot{LogIndex{1}, Term{1}, {{MemberAt(1), MemberAt(2), MemberAt(3)}, {}}, ""};
  return {ConsensusOptions{}, std::move(recovered), 1, At(0)};
}

/// A heartbeat of member 1.
PeerMessage Heartbeat() {
  AppendRequest request;
  request.term = Term{1};
  request.previous_index = LogIndex{1};
  request.previous_term = Term{1};
  return {MemberAt(1), MemberAt(2), request};
}

/// An announcement of process 9 to member 2.
PeerMessage Announced(bool founding = false, DiskIncarnation to = {}) {
  PeerMessage message{MemberAt(9), MemberAt(2), Announcement{founding}};
  message.to.disk = to;
  return message;
}

std::vector<PeerMessage> AnnouncementsOf(const graniteseam::consensus::Effects& effects) {
  std::vector<PeerMessage> announcements;
  std::copy_if(effects.messages.begin(), effects.messages.end(), std::back_inserter(announcements),
               [](const PeerMessage& message) {
                 return std::holds_alternative<Announcement>(message.payload);
               });
  return announcements;
}

std::vector<Member> Followers(VirtualCluster& cluster, std::size_t maximum) {
  std::vector<Member> followers;
  for (const std::uint64_t id : cluster.ids()) {
    if (id == cluster.Leader() || !cluster.Up(id) || followers.size() == maximum) continue;
    followers.push_back(cluster.MemberOf(id));
    followers.back().disk = {};
  }
  return followers;
}

bool LeaderKnows(VirtualCluster& cluster, std::uint64_t id) {
  const std::uint64_t leader = cluster.Leader();
  if (leader == 0) return false;
  const auto announced = cluster.Raft(leader).announced();
  return std::any_of(announced.begin(), announced.end(),
                     [&](const Member& member) { return member.id.value == id; });
}

}  // namespace

// A process whose seeds did not lead was never admitted: the seeds kept its announcement.
Test(announcement, a_process_whose_seeds_do_not_lead_becomes_a_learner) {
  VirtualCluster cluster(5, 1);
  cr_assert(cluster.Commit("before"));
  const std::vector<Member> seeds = Followers(cluster, 3);
  cluster.AddOutsider(6);
  cluster.Raft(6).SetSeeds(seeds);
  cr_assert(cluster.RunUntil([&] { return LeaderKnows(cluster, 6); }, std::chrono::seconds(5)));
  Membership next = cluster.Raft(cluster.Leader()).membership();
  next.learners.push_back(cluster.MemberOf(6));
  cr_assert_not(cluster.ChangeMembership(cluster.Leader(), next).has_value());
  cr_assert(cluster.RunUntil([&] { return cluster.AllAppliedEqual(cluster.ids()); }));
  cr_assert(cluster.violations().empty());
}

// The same while one seed after another is lost and the leader changes.
Test(announcement, one_seed_that_follows_is_sufficient_under_any_leader) {
  VirtualCluster cluster(5, 2);
  cr_assert(cluster.Commit("before"));
  const std::vector<Member> seeds = Followers(cluster, 1);
  cluster.Crash(cluster.Leader());
  cluster.AddOutsider(6);
  cluster.Raft(6).SetSeeds(seeds);
  cr_assert(cluster.RunUntil([&] { return LeaderKnows(cluster, 6); }));
  cr_assert(cluster.violations().empty());
}

// A founding announcement that was forwarded must not count as one addressed to the receiver.
Test(announcement, a_founder_without_its_disk_finds_the_group_and_founds_no_second_one) {
  for (std::uint64_t seed = 10; seed < 20; ++seed) {
    VirtualCluster cluster(5, seed, {}, {}, VirtualCluster::Founding::kDisksUnknown);
    cr_assert(cluster.Commit("before"));
    cluster.LoseDisk(1);
    cr_assert(cluster.RunUntil([&] { return cluster.Leader() != 0; }));
    const std::vector<Member> seeds = Followers(cluster, 2);
    cluster.RestartForFounding(1);
    cluster.Raft(1).SetSeeds(seeds);
    cr_assert(cluster.RunUntil([&] { return LeaderKnows(cluster, 1); }));
    cr_assert(cluster.Raft(1).membership().voters.empty());
    cr_assert(cluster.violations().empty());
  }
}

Test(announcement, a_follower_forwards_to_its_leader_and_keeps_the_sender) {
  RaftConsensus member = SecondOfThree();
  member.Step(Heartbeat(), At(1));
  const auto sent = AnnouncementsOf(member.Step(Announced(true), At(2)));
  cr_assert_eq(sent.size(), 1U);
  cr_assert(sent[0].from == MemberAt(9));
  cr_assert(sent[0].to == MemberAt(1));
  cr_assert_not(std::get<Announcement>(sent[0].payload).founding);
}

// Two members that each take the other for the leader would pass an announcement on for ever.
Test(announcement, one_addressed_to_a_disk_is_not_forwarded) {
  RaftConsensus member = SecondOfThree();
  member.Step(Heartbeat(), At(1));
  const auto message = Announced(false, MemberAt(2).disk);
  cr_assert(AnnouncementsOf(member.Step(message, At(2))).empty());
}

// A member removed while it was disconnected holds a membership of long ago.
Test(announcement, a_member_without_a_leader_forwards_nothing) {
  RaftConsensus member = SecondOfThree();
  cr_assert(AnnouncementsOf(member.Step(Announced(), At(1))).empty());
  member.Step(Heartbeat(), At(2));
  member.Tick(At(1'000));
  cr_assert(AnnouncementsOf(member.Step(Announced(), At(1'001))).empty());
}

Test(announcement, forwards_at_most_one_of_a_sender_per_announcement_interval) {
  RaftConsensus member = SecondOfThree();
  const std::int64_t interval = ConsensusOptions{}.election_timeout_minimum.count() / 1'000;
  std::size_t forwarded = 0;
  for (std::int64_t now = 1; now <= 4 * interval; ++now) {
    member.Step(Heartbeat(), At(now));
    forwarded += AnnouncementsOf(member.Step(Announced(), At(now))).size();
  }
  cr_assert_eq(forwarded, 4U);
}

Test(announcement, a_member_that_announces_itself_again_is_not_forwarded) {
  RaftConsensus member = SecondOfThree();
  member.Step(Heartbeat(), At(1));
  PeerMessage message = Announced();
  message.from = MemberAt(3);
  cr_assert(AnnouncementsOf(member.Step(message, At(2))).empty());
}

// A founder that was removed while it was disconnected named the disks of those that it announced
// itself to, so that they did not forward it.
Test(announcement, a_founder_that_was_removed_names_no_disk) {
  RecoveredState recovered;
  recovered.self = MemberAt(2);
  Member first = MemberAt(1);
  Member third = MemberAt(3);
  first.disk = third.disk = {};
  recovered.bootstrap = Membership{{first, recovered.self, third}, {}};
  RaftConsensus member({}, std::move(recovered), 1, At(0));
  PeerMessage founding{MemberAt(1), MemberAt(2), Announcement{true}};
  member.Step(founding, At(1));
  PeerMessage entry = Heartbeat();
  AppendRequest request;
  request.term = Term{1};
  const Membership membership{{MemberAt(1), MemberAt(2), MemberAt(3)}, {}};
  request.entries = {{Term{1}, LogIndex{1}, graniteseam::consensus::EntryKind::kMembership,
                      graniteseam::codec::Encode(membership)}};
  entry.payload = request;
  member.Step(entry, At(2));
  cr_assert_eq(member.membership().voters.size(), 3U);
  std::vector<PeerMessage> sent;
  for (std::int64_t now = 3; now < 10'000; now += 10) {
    for (const auto& message : AnnouncementsOf(member.Tick(At(now)))) sent.push_back(message);
  }
  cr_assert_not(sent.empty());
  for (const PeerMessage& message : sent) {
    cr_assert_eq(message.to.disk.value, 0U);
    cr_assert_not(std::get<Announcement>(message.payload).founding);
  }
}
