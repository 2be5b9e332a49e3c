/// @file
/// What a control process that does not lead answers to a gateway's poll.

#include <criterion/criterion.h>

#include "tests/control/heartbeat_fixture.h"

using namespace graniteseam;
using namespace graniteseam::control;
using namespace graniteseam::test;

namespace {

constexpr std::uint64_t kRouter = 7;

NotLeaderAnswer AnswerTo(ControlHarness& harness, std::size_t process) {
  traffic::TrafficPoll poll;
  poll.router = {"router"};
  poll.sequence = 1;
  harness.SendAsRouter(process, kRouter, poll);
  cr_assert(harness.RunUntil([&] { return !harness.router_inbox(kRouter).empty(); }, kSecond));
  const auto* const answer = std::get_if<NotLeaderAnswer>(&harness.router_inbox(kRouter).back());
  cr_assert(answer != nullptr);
  return *answer;
}

}  // namespace

// A gateway whose leader was slow to answer heard of no newer configuration from anybody else, and
// went on by an older one.
Test(follower_report, follower_reports_the_state_that_it_has) {
  RelayGroup fixture;
  ControlHarness& harness = fixture.harness;
  harness.RunFor(kSecond);
  const std::size_t follower = *harness.Leader() == 0 ? 1 : 0;
  const NotLeaderAnswer answer = AnswerTo(harness, follower);
  cr_assert_not(answer.leader_address.empty());
  cr_assert(answer.version > 0 && answer.configuration.value > 0);
}

// What a process that is cut off has may be older than what every gateway has.
Test(follower_report, process_that_knows_no_leader_reports_nothing) {
  RelayGroup fixture;
  ControlHarness& harness = fixture.harness;
  harness.RunFor(kSecond);
  const std::size_t follower = *harness.Leader() == 0 ? 1 : 0;
  harness.CutOff(follower, false);
  harness.RunFor(3 * kSecond);
  const NotLeaderAnswer answer = AnswerTo(harness, follower);
  cr_assert(answer.leader_address.empty());
  cr_assert(answer.version == 0 && answer.configuration.value == 0);
}
