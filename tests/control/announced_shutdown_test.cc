/// @file
/// Owners of keys that announce their shutdown to routers alone.

#include <criterion/criterion.h>

#include <set>
#include <string>

#include "tests/control/ranged_group.h"

using namespace graniteseam;
using namespace graniteseam::control;
using graniteseam::test::ControlHarness;
using graniteseam::test::report_instances;
using graniteseam::test::start_ranges;

namespace {

constexpr Duration kSecond{1'000'000};
constexpr std::uint64_t kRouter = 7;

traffic::TrafficPoll PollWithLeaving(const std::string& instance) {
  traffic::TrafficPoll poll;
  poll.router = {"router"};
  poll.sequence = 1;
  poll.leaving = {{instance}};
  return poll;
}

}  // namespace

// Routers refused the requests for its keys until it ended, since control moved keys by heartbeats
// alone.
Test(announced_shutdown, owner_that_routers_report_as_leaving_loses_its_keys) {
  ControlHarness harness;
  std::set<std::string> granted;
  bool released = false;
  harness.on_range_order = [&](std::size_t process, const RangeOrder& order) {
    if (order.kind == RangeOrder::Kind::kGrant) granted.insert(order.instance.value);
    if (order.kind == RangeOrder::Kind::kRelease && order.instance.value == "i-1") released = true;
    harness.GiveRangeResult(process, {order.number, RangeOrderResult::Outcome::kDone, ""});
  };
  start_ranges(harness);
  cr_assert(granted.contains("i-1"));
  const std::size_t leader = *harness.Leader();
  harness.SendAsRouter(leader, kRouter, PollWithLeaving("i-1"));
  cr_assert(harness.RunUntil([&] { return released; }, kSecond));
  harness.RunFor(kSecond);
  granted.clear();
  // Its heartbeats go on to say that it is ready.
  for (int i = 0; i < 6; ++i) {
    report_instances(harness);
    harness.RunFor(kSecond);
  }
  cr_assert(granted == std::set<std::string>{"i-2"});
}

Test(announced_shutdown, unknown_instance_is_not_listed_by_such_a_report) {
  ControlHarness harness;
  std::set<std::string> granted;
  harness.on_range_order = [&](std::size_t process, const RangeOrder& order) {
    if (order.kind == RangeOrder::Kind::kGrant) granted.insert(order.instance.value);
    harness.GiveRangeResult(process, {order.number, RangeOrderResult::Outcome::kDone, ""});
  };
  start_ranges(harness);
  harness.SendAsRouter(*harness.Leader(), kRouter, PollWithLeaving("i-9"));
  harness.RunFor(3 * kSecond);
  const std::set<std::string> known{"i-1", "i-2"};
  cr_assert(granted == known);
}
