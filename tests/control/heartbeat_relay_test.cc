/// @file
/// Followers that take heartbeats for their leader.

#include <criterion/criterion.h>

#include <algorithm>

#include "tests/control/heartbeat_fixture.h"

using namespace graniteseam;
using namespace graniteseam::control;
using namespace graniteseam::test;

Test(heartbeat_relay, leader_hears_of_instances_that_beat_at_a_follower_only) {
  RelayGroup fixture;
  // Longer than the silence after which an instance would get nothing new.
  for (int beat = 0; beat < 10; ++beat) {
    for (auto const* name : {"i-1", "i-2"}) {
      auto const answer =
          fixture.harness.AskAt(fixture.follower(), report_of(fixture.harness, name, false));
      cr_assert(is_accepted(answer));
    }
    fixture.harness.RunFor(kSecond);
  }
  fixture.grants.clear();
  cr_assert(is_accepted(fixture.harness.Ask(report_of(fixture.harness, "i-2", true))));
  fixture.harness.RunFor(2 * kSecond);
  std::set<std::uint32_t> firsts;
  for (auto const& grant : fixture.grants) {
    if (grant.instance.value == "i-1") firsts.insert(grant.span.first);
  }
  cr_assert(firsts.size() >= 2, "i-1 got nothing of what i-2 had");
}

/// What a follower acknowledged is known to the next leader, though this one and the follower end
/// at the same moment: it was committed before.
Test(heartbeat_relay, change_is_acknowledged_once_it_is_committed) {
  for (std::uint64_t seed = 1; seed <= 10; ++seed) {
    HarnessOptions options;
    options.control_count = 5;
    options.seed = seed;
    ControlHarness harness(options);
    std::vector<RangeOrder> grants;
    harness.on_range_order = [&](std::size_t process, RangeOrder const& order) {
      if (order.kind == RangeOrder::Kind::kGrant) grants.push_back(order);
      harness.GiveRangeResult(process, {order.number, RangeOrderResult::Outcome::kDone, ""});
    };
    start_ranges(harness);
    auto const follower = follower_of(harness);
    cr_assert(is_accepted(harness.AskAt(follower, report_of(harness, "i-1", true))));
    harness.StopControl(follower);
    harness.StopControl(*harness.Leader());
    harness.RunFor(3 * kSecond);
    cr_assert(harness.Leader().has_value(), "seed %lu", seed);
    grants.clear();
    // Its keys went to the other one by then, and nothing comes back to it.
    harness.RunFor(5 * kSecond);
    cr_assert(!grants.empty());
    for (auto const& grant : grants) cr_assert(grant.instance.value == "i-2", "seed %lu", seed);
  }
}

Test(heartbeat_relay, change_that_no_quorum_takes_is_not_acknowledged) {
  RelayGroup fixture;
  auto const follower = fixture.follower();
  fixture.harness.CutOff(follower, false);
  auto const drains = report_of(fixture.harness, "i-1", true);
  cr_assert(!is_accepted(fixture.harness.AskAt(follower, drains)));
  auto const unknown = report_of(fixture.harness, "i-9", false);
  cr_assert(!is_accepted(fixture.harness.AskAt(follower, unknown)));
}

Test(heartbeat_relay, new_instance_that_beats_at_a_follower_gets_keys) {
  RelayGroup fixture;
  fixture.harness.Ask(report_of(fixture.harness, "i-2", true));
  auto const fresh = report_of(fixture.harness, "i-9", false);
  cr_assert(is_accepted(fixture.harness.AskAt(fixture.follower(), fresh)));
  fixture.harness.RunFor(2 * kSecond);
  auto const gets_keys = [](auto const& grant) { return grant.instance.value == "i-9"; };
  cr_assert(std::any_of(fixture.grants.begin(), fixture.grants.end(), gets_keys));
}

Test(heartbeat_relay, heartbeats_that_lease_keys_are_left_to_the_leader) {
  ControlHarness harness;
  start_ranges(harness, traffic::LeaseForm::kHeartbeat);
  for (int beat = 0; beat < 4; ++beat) {
    for (auto const* name : {"i-1", "i-2"})
      cr_assert(is_accepted(harness.Ask(report_of(harness, name, false))));
    harness.RunFor(kSecond);
  }
  auto const answer = harness.Ask(report_of(harness, "i-1", false));
  auto const* leases = std::get_if<KeyLeases>(&answer);
  cr_assert(leases != nullptr && !leases->spans.empty());
  auto const follower = follower_of(harness);
  cr_assert(!is_accepted(harness.AskAt(follower, report_of(harness, "i-1", false))));
}

Test(heartbeat_relay, follower_that_hears_of_no_leader_takes_nothing) {
  RelayGroup fixture;
  auto const cut = fixture.follower();
  fixture.harness.CutOff(cut, false);
  fixture.harness.RunFor(2 * kSecond);
  auto const beat = report_of(fixture.harness, "i-1", false);
  cr_assert(!is_accepted(fixture.harness.AskAt(cut, beat)));
}

/// An owner beats at a follower and ends at once; the follower tells its leader a while later. The
/// end falls on each tenth of the second in which renewals are due.
Test(heartbeat_relay, batch_that_comes_after_an_owners_end_does_not_keep_its_keys) {
  for (int phase = 0; phase < 10; ++phase) {
    ControlHarness harness;
    bool ended = false;
    std::size_t orders_to_it = 0;
    harness.on_range_order = [&](std::size_t process, RangeOrder const& order) {
      bool const lost = ended && order.instance.value == "i-1";
      if (lost) ++orders_to_it;
      auto const outcome =
          lost ? RangeOrderResult::Outcome::kNotDelivered : RangeOrderResult::Outcome::kDone;
      harness.GiveRangeResult(process, {order.number, outcome, ""});
    };
    start_ranges(harness);
    harness.RunFor(phase * kSecond / 10);
    auto const follower = follower_of(harness);
    cr_assert(is_accepted(harness.AskAt(follower, report_of(harness, "i-1", false))));
    ended = true;
    for (int beat = 0; beat < 20; ++beat) {
      harness.RunFor(kSecond);
      cr_assert(is_accepted(harness.AskAt(follower, report_of(harness, "i-2", false))));
    }
    orders_to_it = 0;
    harness.RunFor(5 * kSecond);
    cr_assert(orders_to_it == 0, "phase %d: its keys are still its own after 20 s", phase);
  }
}

/// Instances that were refused at once came again at once, and kept a group with little processor
/// time from electing.
Test(heartbeat_relay, heartbeats_wait_where_no_leader_is_known) {
  RelayGroup fixture;
  ControlHarness& harness = fixture.harness;
  auto const cut = fixture.follower();
  harness.CutOff(cut, false);
  harness.RunFor(2 * kSecond);
  harness.Submit(cut, report_of(harness, "i-1", false));
  harness.RunFor(kSecond / 2);
  cr_assert(harness.LastAnswer() == nullptr);
  harness.Reconnect(cut);
  cr_assert(harness.RunUntil([&] { return harness.LastAnswer() != nullptr; }, kSecond / 4));
  cr_assert(is_accepted(*harness.LastAnswer()));
}

Test(heartbeat_relay, heartbeats_that_waited_too_long_are_refused_before_their_senders_give_up) {
  RelayGroup fixture;
  ControlHarness& harness = fixture.harness;
  auto const cut = fixture.follower();
  harness.CutOff(cut, false);
  harness.RunFor(2 * kSecond);
  harness.Submit(cut, report_of(harness, "i-1", false));
  cr_assert(harness.RunUntil([&] { return harness.LastAnswer() != nullptr; }, kSecond));
  cr_assert(!is_accepted(*harness.LastAnswer()));
}

Test(heartbeat_relay, batch_that_can_not_be_read_is_told_and_takes_nothing_from_the_rest) {
  RelayGroup fixture;
  ControlNode& leader = fixture.harness.LeaderNode();
  consensus::PeerMessage message;
  message.to = leader.consensus().self();
  message.from = fixture.harness.node(fixture.follower()).consensus().self();
  message.payload = consensus::HeartbeatRelay{{"i-1"}, "no command"};
  const ControlEffects effects = leader.OnPeerMessage(message, fixture.harness.now());
  cr_assert_eq(effects.faults.size(), 1);
  cr_assert(effects.faults[0].kind == ErrorKind::kMalformedMessage);
  cr_assert(!effects.faults[0].remedy.empty());
}
