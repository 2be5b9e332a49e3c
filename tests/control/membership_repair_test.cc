#include "src/control/membership_repair.h"

#include <criterion/criterion.h>

#include <algorithm>

using namespace graniteseam;
using namespace graniteseam::control;
using consensus::Member;

namespace {

Member MakeMember(std::uint64_t id, std::uint64_t disk) {
  return {ControlId{id}, DiskIncarnation{disk}, "10.0.0." + std::to_string(id) + ":7", {"z"}};
}

const Member kA = MakeMember(1, 11);
const Member kB = MakeMember(2, 12);
const Member kC = MakeMember(3, 13);
const Member kEmptyC = MakeMember(3, 23);
const Member kD = MakeMember(4, 14);

consensus::PeerStatus Status(const Member& member, std::int64_t silence_ms, bool caught_up = true) {
  return {member, std::chrono::milliseconds(silence_ms), caught_up, false};
}

MembershipRepairOptions Enabled() {
  MembershipRepairOptions options;
  options.enabled = true;
  return options;
}

}  // namespace

Test(membership_keeper, whole_group_is_left_alone) {
  const MembershipView view{kA, {{kA, kB, kC}, {}}, {Status(kB, 50), Status(kC, 50)}, {}};
  cr_assert(!NextMembership(Enabled(), view));
}

Test(membership_keeper, member_without_its_disk_learns_then_its_old_self_goes_then_it_votes) {
  MembershipView view{kA, {{kA, kB, kC}, {}}, {Status(kB, 50), Status(kC, 2'000)}, {kEmptyC}};
  auto next = NextMembership(Enabled(), view);
  cr_assert(next && next->learners == std::vector<Member>{kEmptyC});

  view = {kA, *next, {Status(kB, 50), Status(kC, 2'000), Status(kEmptyC, 50, false)}, {}};
  cr_assert(!NextMembership(Enabled(), view), "it must not vote before it has caught up");

  view.others[2].caught_up = true;
  next = NextMembership(Enabled(), view);
  // At no time do both votes of one machine count: its next loss would be two.
  cr_assert(next && (next->voters == std::vector<Member>{kA, kB}));
  cr_assert(next->learners == std::vector<Member>{kEmptyC});

  view = {kA, *next, {Status(kB, 50), Status(kEmptyC, 50)}, {}};
  next = NextMembership(Enabled(), view);
  cr_assert(next && (next->voters == std::vector<Member>{kA, kB, kEmptyC}));
  cr_assert(next->learners.empty());

  view = {kA, *next, {Status(kB, 50), Status(kEmptyC, 50)}, {}};
  cr_assert(!NextMembership(Enabled(), view));
}

Test(membership_keeper, old_self_of_a_member_stays_while_it_answers_or_nobody_stands_for_it) {
  MembershipView view{
      kA, {{kA, kB, kC}, {kEmptyC}}, {Status(kB, 50), Status(kC, 500), Status(kEmptyC, 50)}, {}};
  cr_assert(!NextMembership(Enabled(), view), "it answered a moment ago");
  view.others = {Status(kB, 50), Status(kC, 2'000), Status(kEmptyC, 2'000)};
  cr_assert(!NextMembership(Enabled(), view), "the one with the new disk is silent too");
  view.others = {Status(kB, 50), Status(kC, 2'000), Status(kEmptyC, 50, false)};
  cr_assert(!NextMembership(Enabled(), view), "the one with the new disk has not caught up");
}

Test(membership_keeper, no_voter_goes_while_too_few_answer) {
  const MembershipView view{kA,
                            {{kA, kB, kC, kEmptyC}, {}},
                            {Status(kB, 5'000), Status(kC, 9'000), Status(kEmptyC, 50)},
                            {}};
  cr_assert(!NextMembership(Enabled(), view));
}

Test(membership_keeper, reserve_takes_the_place_of_a_voter_that_is_silent_for_long) {
  MembershipView view{
      kA, {{kA, kB, kC}, {kD}}, {Status(kB, 50), Status(kC, 3'000), Status(kD, 50)}, {}};
  cr_assert(!NextMembership(Enabled(), view), "a short silence is no loss");
  view.others[1].time_since_response = std::chrono::seconds(7);
  const auto next = NextMembership(Enabled(), view);
  cr_assert(next && next->voters.size() == 4);
}

Test(membership_keeper, further_machines_stay_in_reserve) {
  const MembershipView view{kA, {{kA, kB, kC}, {}}, {Status(kB, 50), Status(kC, 50)}, {kD}};
  const auto next = NextMembership(Enabled(), view);
  cr_assert(next && next->voters.size() == 3 && next->learners == std::vector<Member>{kD});
}

Test(membership_keeper, group_grows_to_the_voters_that_are_wanted) {
  const Member e = MakeMember(5, 15);
  MembershipRepairOptions options = Enabled();
  options.voters = 5;
  MembershipView view{kA,
                      {{kA, kB, kC}, {kD, e}},
                      {Status(kB, 50), Status(kC, 50), Status(kD, 50), Status(e, 50)},
                      {}};
  for (const std::size_t voters : {4, 5}) {
    const auto next = NextMembership(options, view);
    cr_assert(next && next->voters.size() == voters);
    view.membership = *next;
  }
  cr_assert(!NextMembership(options, view));
}

// Guards against a repair that rests with two lost voters, whose group ends with the next loss.
Test(membership_keeper, two_voters_lost_at_once_are_both_replaced) {
  const Member e = MakeMember(5, 15);
  const Member f = MakeMember(6, 16);
  const Member g = MakeMember(7, 17);
  MembershipRepairOptions options = Enabled();
  options.voters = 5;
  MembershipView view{kA,
                      {{kA, kB, kC, kD, e}, {f, g}},
                      {Status(kB, 50), Status(kC, 50), Status(kD, 7'000), Status(e, 7'000),
                       Status(f, 50), Status(g, 50)},
                      {}};
  constexpr int kStepsMaximum = 16;
  for (int step = 0; step < kStepsMaximum; ++step) {
    const auto next = NextMembership(options, view);
    if (!next) break;
    view.membership = *next;
  }
  cr_assert(view.membership.voters == (std::vector<Member>{kA, kB, kC, f, g}));
  cr_assert(view.membership.learners.empty());
}

// Guards against a repair that rests at an even number of voters, all answering: halves of them
// that are cut off from each other have no quorum on either side.
Test(membership_keeper, voter_beyond_the_wanted_number_becomes_a_learner) {
  const MembershipView view{
      kA, {{kA, kB, kC, kD}, {}}, {Status(kB, 50), Status(kC, 300), Status(kD, 50)}, {}};
  const auto next = NextMembership(Enabled(), view);
  cr_assert(next && next->voters == (std::vector<Member>{kA, kB, kD}));
  cr_assert(next->learners == std::vector<Member>{kC});
}

// Guards against the removal of a voter that may return while one that never will still counts.
Test(membership_keeper, voter_with_a_replaced_disk_goes_before_one_that_is_silent) {
  const Member e = MakeMember(5, 15);
  const Member f = MakeMember(6, 16);
  MembershipRepairOptions options = Enabled();
  options.voters = 5;
  const MembershipView view{kA,
                            {{kA, kB, kC, kD, e, f}, {kEmptyC}},
                            {Status(kB, 50), Status(kC, 2'000), Status(kD, 9'000), Status(e, 50),
                             Status(f, 50), Status(kEmptyC, 50, false)},
                            {}};
  const auto next = NextMembership(options, view);
  cr_assert(next && next->voters == (std::vector<Member>{kA, kB, kD, e, f}));
}

// Guards against a machine with two votes, one of which is lost with its former disk.
Test(membership_keeper, learner_waits_while_the_former_vote_of_its_machine_counts) {
  MembershipRepairOptions options = Enabled();
  options.voters = 5;
  const MembershipView view{
      kA, {{kA, kB, kC}, {kEmptyC}}, {Status(kB, 50), Status(kC, 500), Status(kEmptyC, 50)}, {}};
  cr_assert(!NextMembership(options, view));
}

// Guards against silent learners that take all places while other processes announce themselves.
Test(membership_keeper, learner_that_is_silent_longest_makes_room_for_an_announced_process) {
  constexpr std::uint64_t kFirst = 10;
  constexpr std::uint64_t kPlaces = 8;
  constexpr std::uint64_t kLongest = kFirst + 5;
  MembershipView view{kA, {{kA, kB, kC}, {}}, {Status(kB, 50), Status(kC, 50)}, {kD}};
  for (std::uint64_t id = kFirst; id < kFirst + kPlaces; ++id) {
    const Member learner = MakeMember(id, id);
    view.membership.learners.push_back(learner);
    view.others.push_back(Status(learner, id == kLongest ? 8'000 : 7'000));
  }
  auto next = NextMembership(Enabled(), view);
  cr_assert(next && next->learners.size() == kPlaces - 1);
  cr_assert(std::none_of(next->learners.begin(), next->learners.end(),
                         [&](const Member& learner) { return learner.id.value == kLongest; }));
  view.membership = *next;
  next = NextMembership(Enabled(), view);
  cr_assert(next && next->learners.back().IsSameMemberAs(kD));

  view.membership.learners.push_back(MakeMember(kLongest, kLongest));
  for (auto& status : view.others) status.time_since_response = std::chrono::milliseconds(50);
  cr_assert(!NextMembership(Enabled(), view), "learners that answer keep their places");
}

// Guards against a process that waits because one before it in the list can't be admitted yet.
Test(membership_keeper, each_announced_process_is_admitted) {
  const Member newer_d = MakeMember(4, 24);
  const Member e = MakeMember(5, 15);
  const Member f = MakeMember(6, 16);
  MembershipView view{kA, {{kA, kB, kC}, {kD}}, {}, {newer_d, e, f}};
  view.others = {Status(kB, 50), Status(kC, 50), Status(kD, 2'000)};
  for (int step = 0; step < 4; ++step) {
    const auto next = NextMembership(Enabled(), view);
    cr_assert(next);
    view.membership = *next;
    for (const Member& learner : next->learners) {
      std::erase_if(view.announced,
                    [&](const Member& member) { return member.IsSameMemberAs(learner); });
    }
  }
  cr_assert(view.announced.empty());
  cr_assert(view.membership.learners.size() == 3);
}

// Guards against a planned stop that leaves the group with a vote less.
Test(membership_keeper, learner_takes_the_vote_of_a_voter_that_is_leaving) {
  MembershipView view{
      kA, {{kA, kB, kC}, {kD}}, {Status(kB, 50), Status(kC, 50), Status(kD, 50, false)}, {}};
  view.others[1].leaving = true;
  cr_assert(!NextMembership(Enabled(), view), "no learner holds the log");

  view.others[2].caught_up = true;
  auto next = NextMembership(Enabled(), view);
  cr_assert(next && next->voters == (std::vector<Member>{kA, kB, kC, kD}));

  view.membership = *next;
  next = NextMembership(Enabled(), view);
  cr_assert(next && next->voters == (std::vector<Member>{kA, kB, kD}));
  cr_assert(next->learners == std::vector<Member>{kC});

  view.membership = *next;
  cr_assert(!NextMembership(Enabled(), view));
}

// Guards against the promotion of a learner that is about to stop.
Test(membership_keeper, learner_that_is_leaving_is_not_promoted) {
  MembershipView view{
      kA, {{kA, kB, kC}, {kD}}, {Status(kB, 50), Status(kC, 7'000), Status(kD, 50)}, {}};
  view.others[2].leaving = true;
  cr_assert(!NextMembership(Enabled(), view));
}

Test(membership_keeper, switched_off_it_does_nothing) {
  const MembershipView view{kA, {{kA, kB, kC}, {}}, {Status(kB, 50), Status(kC, 50)}, {kD}};
  cr_assert(!NextMembership({}, view));
}
