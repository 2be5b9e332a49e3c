#include "src/control/traffic_sessions.h"

#include <criterion/criterion.h>

#include <set>

using namespace graniteseam;
using namespace graniteseam::control;

namespace {

constexpr Instant kStart = InstantFromMicros(1'000'000'000);

/// Routers that all have the state as it was at the start.
struct Fixture {
  traffic::TrafficState state;
  TrafficSessions sessions{state, {1}, kStart};
  std::uint64_t index = 1;

  explicit Fixture(ConnectionId routers) {
    Change();
    for (ConnectionId router = 1; router <= routers; ++router) {
      traffic::TrafficPoll poll;
      poll.router = {"r-" + std::to_string(router)};
      sessions.Poll(router, poll, kStart);
    }
  }

  void Change() {
    traffic::InstanceReport report;
    report.id = {"i-" + std::to_string(++index)};
    report.service = {"s"};
    report.address = "10.0.0.1:" + std::to_string(index);
    report.sequence = 1;
    state.Report({report}, index);
  }
};

const traffic::TrafficUpdate& UpdateOf(const RouterSend& send) {
  return std::get<TrafficUpdate>(*send.message);
}

}  // namespace

Test(traffic_sessions, one_message_serves_all_routers_with_the_same_state) {
  Fixture fixture(300);
  fixture.Change();
  const auto sends = fixture.sessions.Push(kStart);
  cr_assert(sends.size() == 300);
  std::set<const ControlToRouter*> messages;
  for (const RouterSend& send : sends) messages.insert(send.message.get());
  cr_assert(messages.size() == 1);
}

Test(traffic_sessions, changes_that_come_faster_than_they_can_be_sent_go_out_as_one) {
  Fixture fixture(300);
  fixture.Change();
  cr_assert(fixture.sessions.Push(kStart).size() == 300);
  cr_assert(fixture.sessions.NextDue() == Instant::max(), "nothing is held back");
  for (int change = 0; change < 5; ++change) {
    fixture.Change();
    cr_assert(fixture.sessions.Push(kStart + Duration{1'000}).empty());
  }
  const Instant due = fixture.sessions.NextDue();
  cr_assert(due == kStart + Duration{30'000});
  const auto sends = fixture.sessions.Push(due);
  cr_assert(sends.size() == 300);
  cr_assert(UpdateOf(sends.front()).instances.size() == 5);
  cr_assert(fixture.sessions.NextDue() == Instant::max());
}

Test(traffic_sessions, few_routers_are_told_of_each_change_at_once) {
  Fixture fixture(10);
  fixture.Change();
  cr_assert(fixture.sessions.Push(kStart).size() == 10);
  fixture.Change();
  cr_assert(fixture.sessions.Push(kStart + Duration{1'000}).size() == 10);
}

Test(traffic_sessions, routers_that_start_together_get_one_message_and_an_answer_each) {
  Fixture fixture(0);
  std::set<const ControlToRouter*> states;
  for (ConnectionId router = 1; router <= 300; ++router) {
    traffic::TrafficPoll poll;
    poll.router = {"r-" + std::to_string(router)};
    poll.sequence = 40 + router;
    const auto sends = fixture.sessions.Poll(router, poll, kStart);
    cr_assert(sends.size() == 2);
    cr_assert(UpdateOf(sends[0]).base == 0 && UpdateOf(sends[0]).instances.size() == 1);
    states.insert(sends[0].message.get());
    cr_assert(UpdateOf(sends[1]).sequence == poll.sequence);
    cr_assert(UpdateOf(sends[1]).version == UpdateOf(sends[0]).version);
  }
  cr_assert(states.size() == 1);
}

Test(traffic_sessions, router_that_lacks_nothing_gets_the_answer_alone) {
  Fixture fixture(0);
  traffic::TrafficPoll poll;
  poll.router = {"r-1"};
  poll.version = fixture.index;
  cr_assert(fixture.sessions.Poll(1, poll, kStart).size() == 1);
}

Test(traffic_sessions, router_that_has_a_feed_gets_the_answer_alone) {
  Fixture fixture(0);
  traffic::TrafficPoll poll;
  poll.router = {"r-1"};
  poll.sequence = 3;
  poll.wants_state = false;
  const auto sends = fixture.sessions.Poll(1, poll, kStart, "10.0.0.2:7140");
  cr_assert_eq(sends.size(), 1U);
  cr_assert_eq(UpdateOf(sends[0]).feed, "10.0.0.2:7140");
  cr_assert(UpdateOf(sends[0]).instances.empty());
  fixture.Change();
  cr_assert(fixture.sessions.Push(kStart).empty());
}

// Routers that are behind by different changes took a message of their own each, made by a look at
// the whole state: with a thousand of them, and a state that changes all the time, more than the
// leader has.
Test(traffic_sessions, state_for_routers_without_a_feed_is_made_at_a_bounded_pace) {
  constexpr ConnectionId kRouters = 1'000;
  Fixture fixture(0);
  for (ConnectionId router = 1; router <= kRouters; ++router) fixture.Change();
  const std::uint64_t before = fixture.sessions.evaluations();
  std::size_t told = 0;
  for (ConnectionId router = 1; router <= kRouters; ++router) {
    traffic::TrafficPoll poll;
    poll.router = {"r-" + std::to_string(router)};
    poll.version = router;
    const Instant now = kStart + std::chrono::microseconds(500 * router);
    told += fixture.sessions.Poll(router, poll, now).size() - 1;
    fixture.Change();
  }
  // 20 at once and one each 5 ms of the half second; the census counts six times.
  cr_assert_leq(told, 20U + 101U);
  cr_assert_gt(told, 50U);
  cr_assert_leq(fixture.sessions.evaluations() - before, 121U + 7U * kRouters);
}

// Gateways were not told of members that never led: they were lost once those of their settings had
// been replaced.
Test(traffic_sessions, router_is_sent_the_members_once_and_again_when_they_changed) {
  Fixture fixture(0);
  const auto member = [](std::uint64_t id) {
    return consensus::Member{
        ControlId{id}, DiskIncarnation{id}, "10.0.0." + std::to_string(id) + ":7140", {}};
  };
  const auto told = [&](ConnectionId router) -> std::vector<std::string> {
    traffic::TrafficPoll poll;
    poll.router = {"r-" + std::to_string(router)};
    poll.version = fixture.index;
    for (const RouterSend& send : fixture.sessions.Poll(router, poll, kStart)) {
      if (const auto* members = std::get_if<GroupMembers>(&*send.message)) {
        return members->addresses;
      }
    }
    return {};
  };
  cr_assert(told(1).empty());
  consensus::Membership membership{{member(2), member(1)}, {member(3)}};
  consensus::PeerStatus learner{member(3), {}, false};
  fixture.sessions.SetMembers(membership, {learner});
  const std::vector<std::string> voters{"10.0.0.1:7140", "10.0.0.2:7140"};
  cr_assert(told(1) == voters);
  cr_assert(told(1).empty());
  cr_assert(told(2) == voters);
  learner.caught_up = true;
  fixture.sessions.SetMembers(membership, {learner});
  const std::vector<std::string> all{"10.0.0.1:7140", "10.0.0.2:7140", "10.0.0.3:7140"};
  cr_assert(told(1) == all);
  // A learner that lags for a moment, and then votes.
  learner.caught_up = false;
  fixture.sessions.SetMembers(membership, {learner});
  membership = {{member(1), member(2), member(3)}, {}};
  fixture.sessions.SetMembers(membership, {learner});
  cr_assert(told(1).empty());
  cr_assert(told(2) == all);
  fixture.sessions.Disconnect(1);
  cr_assert(told(1) == all);
}
