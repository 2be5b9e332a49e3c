#include "src/protocol/leader_tracker.h"

#include <criterion/criterion.h>

#include <algorithm>

namespace control = graniteseam::control;
using graniteseam::Duration;
using graniteseam::Instant;
using graniteseam::InstantFromMicros;
using graniteseam::protocol::LeaderSend;
using graniteseam::protocol::LeaderTracker;

namespace {

constexpr Duration kLimit{100'000};

Instant At(std::int64_t milliseconds) { return InstantFromMicros(milliseconds * 1000); }

template <class Message>
Message WithSequence(std::uint64_t sequence) {
  Message message;
  message.sequence = sequence;
  return message;
}

constexpr auto* Renewal = WithSequence<control::RouterRenewal>;
constexpr auto* Journal = WithSequence<control::JournalRequest>;
constexpr auto* RenewalAnswer = WithSequence<control::RouterRenewalAnswer>;
constexpr auto* Poll = WithSequence<control::TrafficPoll>;
/// An answer to that poll; 0 for a pushed update.
constexpr auto* Update = WithSequence<control::TrafficUpdate>;

/// Three processes, all connected, the first one believed to lead.
LeaderTracker ThreeConnected() {
  LeaderTracker tracker({"a", "b", "c"}, kLimit);
  for (const char* address : {"a", "b", "c"}) tracker.OnConnected(address, At(0));
  return tracker;
}

}  // namespace

Test(leader_tracker, sends_to_the_first_and_holds_until_connected) {
  LeaderTracker tracker({"a", "b"}, kLimit);
  cr_assert(tracker.OnSend(Renewal(1), At(0)).empty());
  const auto sends = tracker.OnConnected("a", At(5));
  cr_assert(sends.size() == 1 && sends[0].address == "a");
}

Test(leader_tracker, follows_a_hint_also_to_a_process_not_in_the_settings) {
  LeaderTracker tracker = ThreeConnected();
  tracker.OnSend(Renewal(1), At(20));
  cr_assert(tracker.OnNotLeader("a", {1, "d"}, At(30)).empty());
  cr_assert(tracker.target() == "d");
  cr_assert(tracker.addresses().size() == 4);
  const auto sends = tracker.OnConnected("d", At(40));
  cr_assert(sends.size() == 1 && sends[0].address == "d");
}

Test(leader_tracker, asks_round_without_a_tight_loop_while_nobody_leads) {
  LeaderTracker tracker = ThreeConnected();
  tracker.OnSend(Journal(1), At(20));
  std::size_t sent = 0;
  for (std::int64_t now = 21; now < 121; ++now) {
    sent += tracker.OnNotLeader(tracker.target(), {1, ""}, At(now)).size();
    sent += tracker.Tick(At(now)).size();
  }
  cr_assert(sent >= 3 && sent <= 11, "%zu sends", sent);
}

Test(leader_tracker, turns_from_a_silent_leader_and_passes_over_hints_to_it) {
  LeaderTracker tracker = ThreeConnected();
  tracker.OnSend(Journal(1), At(20));
  cr_assert(tracker.Tick(At(100)).empty());
  auto sends = tracker.Tick(At(121));
  cr_assert(sends.size() == 1 && sends[0].address == "b");
  tracker.OnNotLeader("b", {1, "a"}, At(140));
  cr_assert(tracker.target() == "c");
}

Test(leader_tracker, keeps_a_leader_that_answers_something) {
  LeaderTracker tracker = ThreeConnected();
  tracker.OnSend(Journal(1), At(20));
  tracker.OnSend(Renewal(1), At(20));
  tracker.OnAnswered("a", RenewalAnswer(1), At(20));
  // The journal batch is only asked again, at the same process.
  const auto sends = tracker.Tick(At(130));
  cr_assert(tracker.target() == "a");
  cr_assert(sends.size() == 1);
  cr_assert(std::holds_alternative<control::JournalRequest>(sends[0].message));
}

Test(leader_tracker, turns_at_once_when_the_connection_breaks) {
  LeaderTracker tracker = ThreeConnected();
  tracker.OnSend(Journal(7), At(20));
  const auto sends = tracker.OnDisconnected("a", At(25));
  cr_assert(sends.size() == 1 && sends[0].address == "b");
}

Test(leader_tracker, sends_only_the_newest_renewal_again_and_forgets_old_messages) {
  LeaderTracker tracker({"a", "b"}, kLimit);
  tracker.OnSend(Renewal(1), At(0));
  tracker.OnSend(Renewal(2), At(50));
  auto sends = tracker.OnConnected("a", At(60));
  cr_assert(sends.size() == 1);
  cr_assert(std::get<control::RouterRenewal>(sends[0].message).sequence == 2);
  tracker.Tick(At(2000));
  cr_assert(tracker.OnDisconnected("a", At(2001)).empty());
  cr_assert(tracker.OnConnected("b", At(2002)).empty());
}

// A leader with a slow link was kept for as long as what it had sent before went on arriving: the
// gateway learned of changes seconds late, and asked nobody else.
Test(leader_tracker, turns_from_a_leader_from_which_only_old_messages_arrive) {
  LeaderTracker tracker = ThreeConnected();
  tracker.OnSend(Poll(1), At(20));
  tracker.OnAnswered("a", Update(1), At(30));
  tracker.OnSend(Poll(2), At(120));
  tracker.OnAnswered("a", Update(0), At(200));
  tracker.OnAnswered("a", control::TrafficHints{}, At(210));
  tracker.OnSend(Poll(3), At(215));
  tracker.OnAnswered("a", Update(1), At(221));
  cr_assert_not(tracker.Tick(At(231)).empty());
  cr_assert(tracker.target() == "b");
}

Test(leader_tracker, keeps_a_leader_that_answers_a_little_late) {
  LeaderTracker tracker = ThreeConnected();
  for (std::uint64_t poll = 1; poll < 20; ++poll) {
    const auto sent = static_cast<std::int64_t>(100 * poll);
    tracker.OnSend(Poll(poll), At(sent));
    if (poll > 1) tracker.OnAnswered("a", Update(poll - 1), At(sent + 50));
    cr_assert(tracker.Tick(At(sent + 99)).empty());
  }
  cr_assert(tracker.target() == "a");
}

Test(leader_tracker, does_not_send_again_what_was_answered) {
  LeaderTracker tracker = ThreeConnected();
  tracker.OnSend(Journal(1), At(20));
  tracker.OnAnswered("a", control::JournalAnswer{1, {}}, At(20));
  cr_assert(tracker.OnDisconnected("a", At(25)).empty());
}

/// Followers still name the leader that was lost, and a newer renewal takes the older one's place
/// before the limit: the router must not wait until that leader is back.
Test(leader_tracker, turns_from_a_lost_leader_that_followers_still_name) {
  LeaderTracker tracker = ThreeConnected();
  tracker.OnSend(Renewal(1), At(0));
  tracker.OnDisconnected("a", At(20));
  const std::string follower = tracker.target();
  tracker.OnNotLeader(follower, {1, "a"}, At(40));
  std::uint64_t sequence = 1;
  std::size_t sent = 0;
  for (std::int64_t ms = 40; ms <= 400; ms += 10) {
    if (ms % 50 == 0) sent += tracker.OnSend(Renewal(++sequence), At(ms)).size();
    sent += tracker.Tick(At(ms)).size();
  }
  cr_assert(tracker.target() != "a");
  cr_assert(sent > 0);
}

/// The same, where the target never was connected.
Test(leader_tracker, turns_from_a_process_that_never_connects_though_renewals_follow_each_other) {
  LeaderTracker tracker({"a", "b"}, kLimit);
  tracker.OnConnected("b", At(0));
  tracker.OnNotLeader("b", {1, "a"}, At(20));
  cr_assert(tracker.target() == "a");
  for (std::int64_t ms = 20; ms <= 200; ms += 10) {
    if (ms % 50 == 0) tracker.OnSend(Renewal(static_cast<std::uint64_t>(ms)), At(ms));
    tracker.Tick(At(ms));
  }
  cr_assert(tracker.target() == "b");
}

Test(leader_tracker, leader_that_connects_late_gets_its_time_to_answer) {
  LeaderTracker tracker({"a", "b"}, kLimit);
  tracker.OnConnected("b", At(0));
  tracker.OnNotLeader("b", {1, "a"}, At(20));
  tracker.OnSend(Renewal(1), At(25));
  cr_assert(tracker.OnConnected("a", At(120)).size() == 1);
  tracker.Tick(At(127));
  cr_assert(tracker.target() == "a");
}

/// Hundreds of routers ask round together: while nobody leads, each of them asks less and less.
Test(leader_tracker, asks_seldom_while_nobody_leads_for_long_and_soon_again_after_an_answer) {
  LeaderTracker tracker = ThreeConnected();
  std::size_t sent = tracker.OnSend(Renewal(1), At(20)).size();
  for (std::int64_t now = 21; now < 2'021; ++now) {
    sent += tracker.OnNotLeader(tracker.target(), {1, ""}, At(now)).size();
    sent += tracker.Tick(At(now)).size();
  }
  cr_assert(sent >= 8 && sent <= 16, "%zu sends in 2 s", sent);
  tracker.OnAnswered(tracker.target(), RenewalAnswer(1), At(2'400));
  sent = tracker.OnSend(Renewal(2), At(2'400)).size();
  for (std::int64_t now = 2'401; now < 2'501; ++now) {
    sent += tracker.OnNotLeader(tracker.target(), {2, ""}, At(now)).size();
    sent += tracker.Tick(At(now)).size();
  }
  cr_assert(sent >= 4, "%zu sends in 0.1 s", sent);
}

// A gateway whose configured control processes had all been replaced was lost for good: it had
// never been told of the others.
Test(leader_tracker,
     finds_the_group_at_members_told_earlier_once_all_it_was_configured_with_are_gone) {
  LeaderTracker tracker = ThreeConnected();
  tracker.OnAnswered("a", control::GroupMembers{{"a", "b", "c", "d", "e"}}, At(10));
  tracker.OnAnswered("a", control::GroupMembers{{"d", "e", "f"}}, At(20));
  for (const char* address : {"a", "b", "c"}) tracker.OnDisconnected(address, At(30));
  tracker.OnSend(Poll(1), At(30));
  for (std::int64_t now = 31; now < 500; now += 10) tracker.Tick(At(now));
  for (const char* member : {"d", "e", "f"}) {
    const auto& addresses = tracker.addresses();
    cr_assert(std::find(addresses.begin(), addresses.end(), member) != addresses.end());
  }
  const auto sends = tracker.OnConnected("e", At(500));
  cr_assert(tracker.target() == "e" || !tracker.Tick(At(1'000)).empty());
  cr_assert(tracker.target() == "e");
}

// A gateway whose connected control processes had all left the group, and answered without a
// leader, never turned to the members it had been told of.
Test(leader_tracker, adds_members_while_processes_that_are_connected_know_no_leader) {
  LeaderTracker tracker = ThreeConnected();
  tracker.OnAnswered("a", control::GroupMembers{{"a", "b", "c", "d", "e"}}, At(10));
  for (std::int64_t now = 20; now < 10'000; now += 20) {
    tracker.OnSend(Poll(static_cast<std::uint64_t>(now)), At(now));
    tracker.OnNotLeader(tracker.target(), {static_cast<std::uint64_t>(now), "", 0, {}}, At(now));
    tracker.Tick(At(now + 1));
  }
  for (const char* member : {"d", "e"}) {
    const auto& addresses = tracker.addresses();
    cr_assert(std::find(addresses.begin(), addresses.end(), member) != addresses.end());
  }
}

Test(leader_tracker, keeps_no_more_connections_than_addresses_in_the_settings) {
  LeaderTracker tracker = ThreeConnected();
  tracker.OnAnswered("a", control::GroupMembers{{"a", "b", "c", "d", "e", "f", "g"}}, At(10));
  for (std::int64_t now = 10; now < 10'000; now += 10) tracker.Tick(At(now));
  cr_assert_eq(tracker.addresses().size(), 3U);
  tracker.OnDisconnected("c", At(10'000));
  for (std::int64_t now = 10'000; now < 11'900; now += 10) tracker.Tick(At(now));
  cr_assert_eq(tracker.addresses().size(), 3U, "a process that restarts is waited for");
  for (std::int64_t now = 11'900; now < 12'100; now += 10) tracker.Tick(At(now));
  cr_assert_eq(tracker.addresses().size(), 4U);
  tracker.OnConnected(tracker.addresses().back(), At(12'100));
  for (std::int64_t now = 12'100; now < 30'000; now += 10) tracker.Tick(At(now));
  cr_assert_eq(tracker.addresses().size(), 4U);
}

Test(leader_tracker, routers_begin_with_different_members) {
  const auto added = [](std::size_t spread) {
    LeaderTracker tracker({"a", "b"}, kLimit, spread);
    tracker.OnConnected("b", At(0));
    tracker.OnAnswered("b", control::GroupMembers{{"c", "d", "e"}}, At(10));
    for (std::int64_t now = 10; now < 2'100; now += 10) tracker.Tick(At(now));
    cr_assert_eq(tracker.addresses().size(), 3U);
    return tracker.addresses().back();
  };
  cr_assert_eq(added(0), "c");
  cr_assert_eq(added(1), "d");
  cr_assert_eq(added(5), "e");
}

// The list of addresses only grew, by each process that had ever led.
Test(leader_tracker, drops_an_address_that_is_no_member_any_more_and_stays_unconnected) {
  LeaderTracker tracker = ThreeConnected();
  tracker.OnAnswered("a", control::GroupMembers{{"a", "b", "c", "e"}}, At(5));
  tracker.AddAddress("d");
  tracker.AddAddress("e");
  tracker.OnConnected("d", At(10));
  for (std::int64_t now = 10; now < 70'000; now += 10) tracker.Tick(At(now));
  cr_assert_eq(tracker.addresses().size(), 5U, "one is connected, the other a member");
  tracker.OnDisconnected("d", At(70'000));
  tracker.OnDisconnected("b", At(70'000));
  for (std::int64_t now = 70'000; now < 129'000; now += 10) tracker.Tick(At(now));
  cr_assert_eq(tracker.addresses().size(), 5U);
  for (std::int64_t now = 129'000; now < 131'000; now += 10) tracker.Tick(At(now));
  const std::vector<std::string> left{"a", "b", "c", "e"};
  cr_assert(tracker.addresses() == left);
}

Test(leader_tracker, keeps_its_target_when_an_address_before_it_is_dropped) {
  LeaderTracker tracker({"a"}, kLimit);
  for (const char* address : {"b", "c"}) tracker.AddAddress(address);
  tracker.OnConnected("c", At(10));
  cr_assert(tracker.target() == "c");
  for (std::int64_t now = 10; now < 61'000; now += 10) tracker.Tick(At(now));
  const std::vector<std::string> left{"a", "c"};
  cr_assert(tracker.addresses() == left);
  cr_assert(tracker.target() == "c");
  const auto sends = tracker.OnSend(Poll(1), At(61'000));
  cr_assert(sends.size() == 1 && sends[0].address == "c");
}

Test(leader_tracker, settings_that_changed_replace_the_addresses_of_the_earlier_ones) {
  LeaderTracker tracker({"a", "b"}, kLimit);
  tracker.SetConfigured({"c", "d"});
  cr_assert_eq(tracker.addresses().size(), 4U);
  tracker.OnConnected("c", At(10));
  for (std::int64_t now = 10; now < 61'000; now += 10) tracker.Tick(At(now));
  const std::vector<std::string> left{"c", "d"};
  cr_assert(tracker.addresses() == left);
}
