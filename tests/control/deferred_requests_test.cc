/// @file
/// A leader whose lease lapses for a moment: whoever asks it waits with it, instead of being sent
/// round the group.

#include <criterion/criterion.h>

#include "tests/control/heartbeat_fixture.h"

using namespace graniteseam;
using namespace graniteseam::control;
using namespace graniteseam::test;

namespace {

constexpr std::uint64_t kRouter = 7;

/// Cuts the leader from its peers until its lease is over, but not until it steps down.
std::size_t LapseLease(ControlHarness& harness) {
  const std::size_t leader = *harness.Leader();
  harness.CutOff(leader, false);
  cr_assert(
      harness.RunUntil([&] { return !harness.node(leader).Leading(harness.now()); }, kSecond));
  return leader;
}

bool Answered(ControlHarness& harness) {
  return harness.RunUntil([&] { return harness.LastAnswer() != nullptr; }, 3 * kSecond);
}

}  // namespace

Test(deferred_requests, read_waits_for_the_lease_to_come_back) {
  RelayGroup fixture;
  ControlHarness& harness = fixture.harness;
  const std::size_t leader = LapseLease(harness);
  harness.Submit(leader, ReadConfiguration{});
  harness.Reconnect(leader);
  cr_assert(Answered(harness));
  const auto* view = std::get_if<ConfigurationView>(harness.LastAnswer());
  cr_assert(view != nullptr && view->configuration.version.value > 0);
  cr_assert(harness.Leader() == leader);
}

Test(deferred_requests, poll_waits_for_the_lease_to_come_back) {
  RelayGroup fixture;
  ControlHarness& harness = fixture.harness;
  const std::size_t leader = LapseLease(harness);
  traffic::TrafficPoll poll;
  poll.router = {"router"};
  poll.sequence = 1;
  harness.SendAsRouter(leader, kRouter, poll);
  harness.Reconnect(leader);
  cr_assert(harness.RunUntil([&] { return !harness.router_inbox(kRouter).empty(); }, kSecond));
  for (const auto& message : harness.router_inbox(kRouter)) {
    cr_assert(!std::holds_alternative<NotLeaderAnswer>(message));
  }
}

/// Nothing is answered from a state that the group may have moved on from.
Test(deferred_requests, leader_that_steps_down_tells_those_that_wait) {
  RelayGroup fixture;
  ControlHarness& harness = fixture.harness;
  const std::size_t leader = LapseLease(harness);
  harness.Submit(leader, ReadConfiguration{});
  cr_assert(Answered(harness));
  const auto* error = std::get_if<Error>(harness.LastAnswer());
  cr_assert(error != nullptr && error->kind == ErrorKind::kNotLeader);
}
