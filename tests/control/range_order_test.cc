/// @file
/// Orders to instances that own keys, while the leader lease lapses and leaderships follow each
/// other in one process.

#include <criterion/criterion.h>

#include "tests/control/ranged_group.h"

using namespace graniteseam;
using namespace graniteseam::control;
using graniteseam::test::ControlHarness;
using graniteseam::test::report_instances;
using graniteseam::test::report_of;
using graniteseam::test::start_ranges;

namespace {

constexpr Duration kSecond{1'000'000};

struct GivenOrder {
  std::size_t process = 0;
  RangeOrder order;
};

}  // namespace

Test(range_order, result_that_comes_without_the_leader_lease_is_not_lost) {
  ControlHarness harness;
  std::vector<GivenOrder> held;
  bool hold = false;
  harness.on_range_order = [&](std::size_t process, const RangeOrder& order) {
    if (hold) {
      held.push_back({process, order});
    } else {
      harness.GiveRangeResult(process, {order.number, RangeOrderResult::Outcome::kDone, ""});
    }
  };
  start_ranges(harness);
  const std::size_t leader = *harness.Leader();
  hold = true;
  cr_assert(harness.RunUntil([&] { return held.size() >= 2; }, 3 * kSecond));
  const Term term = harness.node(leader).consensus().term();
  for (std::size_t other = 0; other < 3; ++other) {
    if (other != leader) harness.PauseControl(other);
  }
  const auto lapsed = [&] { return !harness.node(leader).Leading(harness.now()); };
  cr_assert(harness.RunUntil(lapsed, kSecond));
  for (const GivenOrder& one : held) {
    harness.GiveRangeResult(one.process, {one.order.number, RangeOrderResult::Outcome::kDone, ""});
  }
  held.clear();
  for (std::size_t other = 0; other < 3; ++other) harness.ResumeControl(other);
  harness.RunFor(3 * kSecond);
  cr_assert(harness.Leader() == leader);
  cr_assert(harness.node(leader).consensus().term() == term, "another leadership began");
  cr_assert(held.size() >= 2, "%zu ranges were renewed again", held.size());
}

Test(range_order, numbers_are_not_used_again_by_a_later_leadership_of_the_same_process) {
  ControlHarness harness;
  std::map<std::pair<std::size_t, std::uint64_t>, int> uses;
  std::map<std::size_t, int> leaderships;
  harness.on_range_order = [&](std::size_t process, const RangeOrder& order) {
    ++uses[{process, order.number.value}];
    harness.GiveRangeResult(process, {order.number, RangeOrderResult::Outcome::kDone, ""});
  };
  start_ranges(harness);
  for (int round = 0; round < 6; ++round) {
    const std::size_t leader = *harness.Leader();
    ++leaderships[leader];
    harness.CutOff(leader, false);
    const auto replaced = [&] { return harness.Leader() && *harness.Leader() != leader; };
    cr_assert(harness.RunUntil(replaced, 5 * kSecond));
    harness.Reconnect(leader);
    report_instances(harness);
    harness.RunFor(2 * kSecond);
  }
  int most = 0;
  for (const auto& [process, count] : leaderships) most = std::max(most, count);
  cr_assert(most >= 2, "no process led twice");
  for (const auto& [use, count] : uses) {
    cr_assert(count == 1, "process %zu used number %lu %d times", use.first, use.second, count);
  }
}

Test(range_order, node_does_not_wake_for_decisions_while_proposed_ones_wait_for_their_commit) {
  ControlHarness harness;
  harness.on_range_order = [&](std::size_t process, const RangeOrder& order) {
    harness.GiveRangeResult(process, {order.number, RangeOrderResult::Outcome::kDone, ""});
  };
  start_ranges(harness);
  const std::size_t leader = *harness.Leader();
  for (std::size_t other = 0; other < 3; ++other) {
    if (other != leader) harness.PauseControl(other);
  }
  // Its keys must go: the release is proposed and can't be committed.
  harness.Submit(leader, report_of(harness, "i-1", true));
  harness.RunFor(Duration{50'000});
  ControlNode& node = harness.node(leader);
  cr_assert(node.Leading(harness.now()));
  cr_assert(node.NextTick() > harness.now());
}

Test(range_order, order_is_sent_soon_or_not_at_all) {
  ControlHarness harness;
  std::size_t orders = 0;
  harness.on_range_order = [&](std::size_t process, const RangeOrder& order) {
    ++orders;
    cr_assert(order.not_after == harness.now() + RangeOptions{}.order_send_timeout);
    harness.GiveRangeResult(process, {order.number, RangeOrderResult::Outcome::kDone, ""});
  };
  start_ranges(harness);
  harness.RunFor(3 * kSecond);
  cr_assert(orders > 4);
}
