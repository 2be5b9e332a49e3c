// How a member brings the state to the routers that take it from there.
#include "src/control/state_feed.h"

#include <criterion/criterion.h>

#include <set>

using namespace graniteseam;
using namespace graniteseam::control;

namespace {

constexpr Instant kStart = InstantFromMicros(1'000'000'000);
constexpr Duration kMs{1'000};

const traffic::TrafficUpdate& UpdateOf(const ControlToRouter& message) {
  return std::get<TrafficUpdate>(message);
}

struct Fixture {
  traffic::TrafficState state;
  StateFeed feed{state, {false, true}};
  std::uint64_t index = 0;

  Fixture() {
    traffic::ConfigurationChange change;
    change.version = {1};
    change.whole = true;
    change.digest = "d";
    traffic::Service service;
    service.name = {"s"};
    service.keyed = true;
    change.services = {service};
    cr_assert(ErrorOf(Attempt([&] { return state.Apply(change, ++index); })) == nullptr);
    const traffic::KeySpan all{0, traffic::kLastKey};
    state.Assign({{{"s"}, all, traffic::Fence{0}, {"i-1"}, ""}}, ++index);
    state.BeginReleases({{{"s"}, all, traffic::Fence{index}, {"i-2"}}}, index + 1);
    ++index;
  }

  /// A change that routers must know at once.
  void Change() {
    traffic::InstanceReport report;
    ++index;
    report.id = {"i-" + std::to_string(index)};
    report.service = {"s"};
    report.address = "10.0.0.1:" + std::to_string(index);
    report.sequence = 1;
    state.Report({report}, index);
  }

  /// One that has time: who is to own keys that are on their way.
  void ChangeWithTime() {
    const std::uint64_t urgent = state.urgent_version();
    const traffic::KeyRange* const range = state.ranges().Find({"s"}, 0);
    state.Assign({{{"s"}, range->span, range->fence, {"i-2"}, ""}}, ++index);
    cr_assert(state.urgent_version() == urgent && state.version() == index);
  }
};

}  // namespace

Test(state_feed, router_is_brought_what_it_lacks_and_then_each_change) {
  Fixture fixture;
  const auto whole = fixture.feed.Subscribe(1, 0);
  cr_assert(whole && UpdateOf(*whole).base == 0 && UpdateOf(*whole).version == fixture.index);
  cr_assert(!fixture.feed.Subscribe(2, fixture.index), "it lacks nothing");
  fixture.Change();
  const auto sends = fixture.feed.Push(kStart);
  cr_assert_eq(sends.size(), 2U);
  cr_assert(sends[0].message == sends[1].message);
  cr_assert_eq(UpdateOf(*sends[0].message).instances.size(), 1U);
  fixture.feed.Disconnect(1);
  fixture.Change();
  cr_assert_eq(fixture.feed.Push(kStart + 100 * kMs).size(), 1U);
}

Test(state_feed, router_with_a_newer_state_is_brought_nothing_older) {
  Fixture fixture;
  cr_assert(!fixture.feed.Subscribe(1, fixture.index + 10));
}

Test(state_feed, changes_that_have_time_come_too_and_wait_for_others) {
  Fixture fixture;
  fixture.feed.Subscribe(1, fixture.index);
  fixture.Change();
  cr_assert_eq(fixture.feed.Push(kStart).size(), 1U);
  fixture.ChangeWithTime();
  cr_assert(fixture.feed.Push(kStart + 10 * kMs).empty());
  const Instant due = fixture.feed.NextDue();
  cr_assert(due == kStart + 250 * kMs);
  cr_assert_eq(fixture.feed.Push(due).size(), 1U);
  cr_assert(fixture.feed.NextDue() == Instant::max());
}

// A whole state for each of a thousand routers was what a control process of a large fleet ended
// of; here one message serves all, and changes are made into messages at a bounded pace.
Test(state_feed, cost_does_not_grow_with_the_routers_that_take_the_state) {
  Fixture fixture;
  for (int i = 0; i < 5'000; ++i) fixture.Change();
  std::set<const ControlToRouter*> messages;
  for (ConnectionId router = 1; router <= 1'000; ++router) {
    messages.insert(fixture.feed.Subscribe(router, 0).get());
  }
  cr_assert_eq(messages.size(), 1U);
  std::size_t pushes = 0;
  for (Instant now = kStart; now < kStart + 1'000 * kMs; now += kMs) {
    fixture.Change();
    const auto sends = fixture.feed.Push(now);
    for (const RouterSend& send : sends) messages.insert(send.message.get());
    pushes += sends.empty() ? 0 : 1;
  }
  // A thousand messages each 100 ms.
  cr_assert_leq(pushes, 11U);
  cr_assert_leq(fixture.feed.updates_made(), 12U);
}
