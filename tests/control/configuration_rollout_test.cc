#include "src/control/configuration_rollout.h"

#include <criterion/criterion.h>

#include <algorithm>

using namespace graniteseam;
using namespace graniteseam::control;

namespace {

constexpr Instant kStart = InstantFromMicros(1'000'000'000);
constexpr Duration kMs{1'000};
constexpr std::uint64_t kSent = 20;

/// Two routers that have version 10.
struct Fixture {
  ConfigurationRollout rollout{kStart};

  Fixture() {
    rollout.RecordPoll({"r-1"}, 10, kStart);
    rollout.RecordPoll({"r-2"}, 10, kStart);
    rollout.RecordCommit(traffic::ConfigurationVersion{5}, kSent, kStart);
    static_cast<void>(rollout.TakeNotes());
  }

  std::vector<RolloutNote> Evaluate(Instant now) {
    rollout.Evaluate(now);
    return rollout.TakeNotes();
  }
};

std::size_t Count(const std::vector<RolloutNote>& notes, std::string_view what) {
  return static_cast<std::size_t>(std::count_if(
      notes.begin(), notes.end(), [&](const RolloutNote& note) { return note.what == what; }));
}

}  // namespace

Test(configuration_rollout, tells_when_the_last_router_has_a_change) {
  Fixture fixture;
  fixture.rollout.RecordPoll({"r-1"}, kSent, kStart + 100 * kMs);
  cr_assert(fixture.rollout.TakeNotes().empty());
  fixture.rollout.RecordPoll({"r-2"}, kSent + 3, kStart + 400 * kMs);
  const auto notes = fixture.rollout.TakeNotes();
  cr_assert(Count(notes, "configuration_in_force") == 1);
  cr_assert(notes.front().router == RouterId{"r-2"});
  cr_assert(fixture.rollout.NextDue() < Instant::max());
  cr_assert(fixture.Evaluate(kStart + 1'100 * kMs).empty());
  cr_assert(fixture.rollout.NextDue() == Instant::max(), "nothing is left to look for");
}

Test(configuration_rollout, tells_once_that_a_router_is_behind_and_once_that_it_caught_up) {
  Fixture fixture;
  fixture.rollout.RecordPoll({"r-1"}, kSent, kStart + 100 * kMs);
  cr_assert(fixture.Evaluate(kStart + 900 * kMs).empty());
  const auto behind = fixture.Evaluate(kStart + 1'000 * kMs);
  cr_assert(Count(behind, "router_behind") == 1);
  cr_assert(behind.front().router == RouterId{"r-2"});
  cr_assert(behind.front().inputs.starts_with("reported version 10, last poll 1000 ms"));
  cr_assert(fixture.Evaluate(kStart + 2'000 * kMs).empty());
  fixture.rollout.RecordPoll({"r-2"}, kSent, kStart + 2'500 * kMs);
  cr_assert(Count(fixture.rollout.TakeNotes(), "router_caught_up") == 1);
}

Test(configuration_rollout, router_that_is_not_heard_of_any_more_keeps_no_change_open) {
  Fixture fixture;
  fixture.rollout.RecordPoll({"r-1"}, kSent, kStart + 2'100 * kMs);
  cr_assert(Count(fixture.rollout.TakeNotes(), "configuration_in_force") == 1);
}

Test(configuration_rollout, follows_a_bounded_number_of_changes) {
  Fixture fixture;
  for (std::uint64_t change = 1; change <= 1'000; ++change) {
    fixture.rollout.RecordCommit(traffic::ConfigurationVersion{5 + change}, kSent + change, kStart);
  }
  static_cast<void>(fixture.rollout.TakeNotes());
  fixture.rollout.RecordPoll({"r-1"}, kSent + 1'000, kStart);
  fixture.rollout.RecordPoll({"r-2"}, kSent + 1'000, kStart);
  cr_assert(Count(fixture.rollout.TakeNotes(), "configuration_in_force") == 64);
}

namespace {

constexpr std::uint64_t kRequest = 7;

/// Two routers that were heard of, and a change whose acknowledgement is held.
struct HeldFixture : Fixture {
  HeldFixture() {
    HearBoth(10, 700 * kMs);
    Change(kRequest, kSent + 5, 700 * kMs);
  }

  void HearBoth(std::uint64_t version, Duration after) {
    rollout.RecordPoll({"r-1"}, version, kStart + after);
    rollout.RecordPoll({"r-2"}, version, kStart + after);
  }
  void Change(std::uint64_t request, std::uint64_t version, Duration after) {
    rollout.RecordCommit(traffic::ConfigurationVersion{version}, version, kStart + after);
    rollout.HoldAcknowledgement(request, version);
  }
  std::size_t DueAt(Duration after) { return rollout.TakeDue(kStart + after).size(); }
};

}  // namespace

Test(configuration_rollout, acknowledgement_leaves_when_every_router_has_the_change) {
  HeldFixture fixture;
  cr_assert(fixture.DueAt(710 * kMs) == 0);
  fixture.rollout.RecordPoll({"r-1"}, kSent + 5, kStart + 720 * kMs);
  cr_assert(fixture.DueAt(720 * kMs) == 0);
  fixture.rollout.RecordPoll({"r-2"}, kSent + 5, kStart + 730 * kMs);
  cr_assert(fixture.DueAt(730 * kMs) == 1);
  cr_assert(fixture.DueAt(2'000 * kMs) == 0, "it leaves once");
}

Test(configuration_rollout, acknowledgement_waits_for_a_router_for_a_bounded_time_and_only_once) {
  HeldFixture fixture;
  fixture.rollout.RecordPoll({"r-1"}, kSent + 5, kStart + 720 * kMs);
  for (int poll = 0; poll < 5; ++poll) {
    fixture.rollout.RecordPoll({"r-2"}, 10, kStart + (700 + 490 * poll) * kMs);
    cr_assert(fixture.DueAt((701 + 490 * poll) * kMs) == 0);
  }
  cr_assert(fixture.rollout.NextDue() <= kStart + 2'700 * kMs);
  cr_assert(fixture.DueAt(2'699 * kMs) == 0);
  cr_assert(fixture.DueAt(2'700 * kMs) == 1);
  // The one that missed it is not waited for again, though it is heard of.
  fixture.rollout.RecordPoll({"r-2"}, 10, kStart + 2'950 * kMs);
  fixture.Change(kRequest + 1, kSent + 6, 3'000 * kMs);
  fixture.rollout.RecordPoll({"r-1"}, kSent + 6, kStart + 3'010 * kMs);
  cr_assert(fixture.DueAt(3'010 * kMs) == 1);
  // It is again once it has caught up.
  fixture.rollout.RecordPoll({"r-2"}, kSent + 6, kStart + 3'100 * kMs);
  fixture.Change(kRequest + 2, kSent + 7, 3'200 * kMs);
  fixture.rollout.RecordPoll({"r-1"}, kSent + 7, kStart + 3'210 * kMs);
  cr_assert(fixture.DueAt(3'210 * kMs) == 0);
}

// Under a change each 0.33 s, a router that had missed one acknowledgement was never awaited again
// if it took longer than that: all later acknowledgements left while it was behind.
Test(configuration_rollout, router_that_is_always_a_little_behind_is_awaited_again) {
  HeldFixture fixture;
  fixture.rollout.RecordPoll({"r-1"}, kSent + 5, kStart + 720 * kMs);
  fixture.rollout.RecordPoll({"r-2"}, 10, kStart + 2'600 * kMs);
  cr_assert(fixture.DueAt(2'700 * kMs) == 1);
  std::size_t early = 0;
  for (std::uint64_t change = 0; change < 30; ++change) {
    const Duration at = (3'000 + 330 * static_cast<std::int64_t>(change)) * kMs;
    fixture.Change(kRequest + 1 + change, kSent + 10 + change, at);
    fixture.rollout.RecordPoll({"r-1"}, kSent + 10 + change, kStart + at + 10 * kMs);
    if (fixture.DueAt(at + 10 * kMs) > 0 && change > 3) ++early;
    if (change < 2) continue;
    // 0.66 s after the commit.
    fixture.rollout.RecordPoll({"r-2"}, kSent + 10 + change - 2, kStart + at + 20 * kMs);
    static_cast<void>(fixture.DueAt(at + 20 * kMs));
  }
  cr_assert_eq(early, 0U, "%zu of 26 left while the router was behind", early);
}

Test(configuration_rollout, acknowledgement_names_the_routers_that_lack_the_change) {
  HeldFixture fixture;
  fixture.rollout.RecordPoll({"r-1"}, kSent + 5, kStart + 720 * kMs);
  fixture.rollout.RecordPoll({"r-2"}, 10, kStart + 2'600 * kMs);
  static_cast<void>(fixture.rollout.TakeNotes());
  cr_assert(fixture.DueAt(2'700 * kMs) == 1);
  const auto notes = fixture.rollout.TakeNotes();
  const auto acknowledged = std::find_if(notes.begin(), notes.end(), [](const RolloutNote& note) {
    return note.what == "configuration_acknowledged";
  });
  cr_assert(acknowledged != notes.end());
  cr_assert(acknowledged->inputs ==
            "2000 ms after commit, 1 routers behind: r-2 awaited in vain, at version 10, last poll "
            "100 ms ago");
}

Test(configuration_rollout, router_that_is_silent_is_not_waited_for) {
  HeldFixture fixture;
  fixture.Change(kRequest + 1, kSent + 6, 2'000 * kMs);
  fixture.rollout.RecordPoll({"r-1"}, kSent + 6, kStart + 2'010 * kMs);
  cr_assert(fixture.DueAt(2'010 * kMs) == 2);
}

Test(configuration_rollout, change_that_is_sent_again_waits_no_longer_than_the_first) {
  HeldFixture fixture;
  fixture.rollout.HoldAcknowledgement(kRequest, kSent + 5);
  fixture.HearBoth(10, 2'000 * kMs);
  cr_assert(fixture.DueAt(2'699 * kMs) == 0);
  cr_assert(fixture.DueAt(2'700 * kMs) == 2);
  fixture.rollout.RecordPoll({"r-2"}, 10, kStart + 2'750 * kMs);
  fixture.rollout.HoldAcknowledgement(kRequest, kSent + 5);
  cr_assert(fixture.DueAt(2'800 * kMs) == 1);
}

Test(configuration_rollout, new_leader_waits_until_routers_have_found_it) {
  ConfigurationRollout rollout(kStart);
  rollout.HoldAcknowledgement(kRequest, kSent);
  cr_assert(rollout.TakeDue(kStart + 490 * kMs).empty());
  cr_assert(rollout.NextDue() == kStart + 500 * kMs);
  cr_assert(rollout.TakeDue(kStart + 500 * kMs).size() == 1);
}

Test(configuration_rollout, end_of_the_leadership_takes_all_that_is_held) {
  HeldFixture fixture;
  cr_assert(fixture.rollout.TakeHeld() == std::vector<std::uint64_t>{kRequest});
  cr_assert(fixture.DueAt(5'000 * kMs) == 0);
}

// Each poll looked at all routers while a change was not in force everywhere: two thousand polls a
// second of a thousand routers, and acknowledgements looked at all of them with every event.
Test(configuration_rollout, poll_does_not_look_at_all_routers) {
  constexpr int kRouters = 1'000;
  ConfigurationRollout rollout(kStart);
  const auto router = [](int number) { return RouterId{"r-" + std::to_string(number)}; };
  for (int number = 0; number < kRouters; ++number) rollout.RecordPoll(router(number), 10, kStart);
  rollout.RecordCommit(traffic::ConfigurationVersion{5}, kSent, kStart + 600 * kMs);
  rollout.HoldAcknowledgement(1, kSent);
  const std::uint64_t before = rollout.evaluations();
  std::size_t acknowledged = 0;
  for (int poll = 0; poll < 2 * kRouters; ++poll) {
    const Instant now = kStart + 600 * kMs + std::chrono::microseconds(100 * poll);
    // One is behind until the end.
    const bool has_it = poll % kRouters != 0 || poll >= kRouters;
    rollout.RecordPoll(router(poll % kRouters), has_it ? kSent : 10, now);
    acknowledged += rollout.TakeDue(now).size();
  }
  acknowledged += rollout.TakeDue(kStart + 850 * kMs).size();
  cr_assert_eq(acknowledged, 1U);
  // 200 ms with a look each millisecond at the most, and one for each that may be the last.
  cr_assert_leq(rollout.evaluations() - before, 210U * kRouters + 2U * kRouters);
}
