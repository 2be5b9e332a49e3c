/// @file
/// Drains of zones, and servers that start again under their names, against a control group in
/// virtual time: what becomes of the keys.

#include <criterion/criterion.h>

#include <algorithm>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "tests/control/ranged_group.h"

using namespace graniteseam;
using namespace graniteseam::control;
using graniteseam::test::ControlHarness;
using graniteseam::test::is_accepted;
using graniteseam::test::kRanged;
using graniteseam::test::start_ranges;

namespace {

constexpr Duration kSecond{1'000'000};
const ZoneName kEast{"east"};
const ZoneName kWest{"west"};

ReportInstance BeatOf(ControlHarness& harness, int number, std::int64_t born_ms = 0) {
  traffic::InstanceReport report;
  report.id = traffic::MakeInstanceId("i-" + std::to_string(number), born_ms);
  report.service = kRanged;
  report.address = "10.0.0." + std::to_string(number) + ":80";
  report.zone = number % 2 == 1 ? kEast : kWest;
  report.sequence = ToMicros(harness.now());
  return {report};
}

/// Ranges of keys owned by instances "i-1" up to "i-N", the odd ones in the east.
struct Fleet {
  ControlHarness harness;
  int instances;
  std::vector<RangeOrder> orders;           ///< All, as they were sent.
  std::map<std::string, std::string> held;  ///< "first-last" of the newest grant, and to whom.
  std::set<std::string> silent;             ///< Instances that leave orders without an answer.

  explicit Fleet(int count) : instances(count) {
    harness.on_range_order = [this](std::size_t process, const RangeOrder& order) {
      orders.push_back(order);
      if (silent.contains(order.instance.value)) return;
      harness.GiveRangeResult(process, {order.number, RangeOrderResult::Outcome::kDone, ""});
    };
    start_ranges(harness);
    Beat();
    Run(6 * kSecond);
  }

  void Beat() {
    for (int number = 1; number <= instances; ++number) {
      cr_assert(is_accepted(harness.Ask(BeatOf(harness, number))));
    }
  }
  /// Lets time pass, with heartbeats.
  void Run(Duration length) {
    for (const Instant end = harness.now() + length; harness.now() < end;) {
      harness.RunFor(kSecond / 2);
      if (harness.Leader()) Beat();
    }
  }
  /// Grants that were sent since `from`, by instance.
  std::map<std::string, int> GrantsSince(std::size_t from) const {
    std::map<std::string, int> grants;
    for (std::size_t at = from; at < orders.size(); ++at) {
      if (orders[at].kind == RangeOrder::Kind::kGrant) ++grants[orders[at].instance.value];
    }
    return grants;
  }
};

bool IsOfEast(const std::string& instance) { return (instance.back() - '0') % 2 == 1; }

}  // namespace

Test(zone_drain_orders, keys_of_a_drained_zone_move_to_others_by_release_within_its_time) {
  Fleet fleet(8);
  const std::size_t before = fleet.orders.size();
  cr_assert(is_accepted(fleet.harness.Ask(DrainZone{kEast, true})));
  fleet.Run(3 * kSecond);
  bool released = false;
  for (std::size_t at = before; at < fleet.orders.size(); ++at) {
    const RangeOrder& order = fleet.orders[at];
    released =
        released || (order.kind == RangeOrder::Kind::kRelease && IsOfEast(order.instance.value));
  }
  cr_assert(released);
  const std::size_t drained = fleet.orders.size();
  fleet.Run(4 * kSecond);
  for (const auto& [instance, count] : fleet.GrantsSince(drained)) {
    cr_assert(!IsOfEast(instance), "%s was granted keys %d times", instance.c_str(), count);
  }
  cr_assert(fleet.GrantsSince(drained).size() == 4);
  // Taken back, its instances get keys again.
  cr_assert(is_accepted(fleet.harness.Ask(DrainZone{kEast, false})));
  cr_assert(fleet.harness.LeaderNode().Fleet(fleet.harness.now()).drained_zones.empty());
}

Test(zone_drain_orders, drain_outlives_its_leader_and_a_loss_of_all_processes) {
  Fleet fleet(4);
  cr_assert(is_accepted(fleet.harness.Ask(DrainZone{kEast, true})));
  const std::size_t leader = *fleet.harness.Leader();
  fleet.harness.StopControl(leader);
  const auto replaced = [&] { return fleet.harness.Leader() && *fleet.harness.Leader() != leader; };
  cr_assert(fleet.harness.RunUntil(replaced, 5 * kSecond));
  fleet.harness.StartControl(leader);
  cr_assert(is_accepted(fleet.harness.Ask(DrainZone{kEast, true})), "sent again to the next one");
  for (std::size_t process = 0; process < 3; ++process) fleet.harness.StopControl(process);
  for (std::size_t process = 0; process < 3; ++process) fleet.harness.StartControl(process);
  const auto led = [&] { return fleet.harness.Leader().has_value(); };
  cr_assert(fleet.harness.RunUntil(led, 8 * kSecond));
  const auto drained = fleet.harness.LeaderNode().Fleet(fleet.harness.now()).drained_zones;
  cr_assert(drained == std::vector<ZoneName>{kEast});
}

Test(zone_drain_orders, drain_of_the_last_zone_is_refused_with_its_remedy) {
  Fleet fleet(4);
  cr_assert(is_accepted(fleet.harness.Ask(DrainZone{kEast, true})));
  const OperatorAnswer answer = fleet.harness.Ask(DrainZone{kWest, true});
  const auto* const error = std::get_if<Error>(&answer);
  cr_assert(error != nullptr && error->kind == ErrorKind::kFailedPrecondition);
  cr_assert(!error->remedy.empty());
}

Test(zone_drain_orders, keys_of_a_server_that_starts_again_are_granted_under_a_higher_fence) {
  Fleet fleet(2);
  std::uint64_t highest = 0;
  for (const RangeOrder& order : fleet.orders) highest = std::max(highest, order.fence.value);
  const std::size_t before = fleet.orders.size();
  // The next life is at the same address, and takes what is sent to its name for its own.
  cr_assert(is_accepted(fleet.harness.Ask(BeatOf(fleet.harness, 1, 1'000))));
  for (int round = 0; round < 12; ++round) {
    fleet.harness.RunFor(kSecond / 2);
    cr_assert(is_accepted(fleet.harness.Ask(BeatOf(fleet.harness, 1, 1'000))));
    cr_assert(is_accepted(fleet.harness.Ask(BeatOf(fleet.harness, 2))));
  }
  bool released = false;
  bool granted = false;
  for (std::size_t at = before; at < fleet.orders.size(); ++at) {
    const RangeOrder& order = fleet.orders[at];
    const bool of_name = traffic::ServerNameOf(order.instance) == "i-1";
    if (!of_name) continue;
    const bool release = order.kind == RangeOrder::Kind::kRelease;
    // Until it answered a release, nobody knows that late orders to its former life act no more.
    released = released || release;
    if (!released || release) continue;
    granted = granted || order.instance == traffic::MakeInstanceId("i-1", 1'000);
    cr_assert(order.instance != traffic::InstanceId{"i-1"}, "a grant to the former life");
    cr_assert(order.fence.value > highest);
  }
  cr_assert(released && granted);
}

Test(zone_drain_orders, keys_are_not_given_on_before_the_next_life_answered_the_release) {
  Fleet fleet(2);
  // Heard of for long: whoever else came to its address would be proof of its end.
  fleet.Run(11 * kSecond);
  const std::size_t before = fleet.orders.size();
  fleet.silent = {"i-1"};
  cr_assert(is_accepted(fleet.harness.Ask(BeatOf(fleet.harness, 1, 1'000))));
  fleet.harness.RunFor(kSecond);
  for (const auto& [instance, count] : fleet.GrantsSince(before)) {
    cr_assert(instance == "i-2", "%s was granted keys", instance.c_str());
  }
  std::size_t spans_of_second = 0;
  std::set<std::uint32_t> firsts;
  for (std::size_t at = before; at < fleet.orders.size(); ++at) {
    const RangeOrder& order = fleet.orders[at];
    if (order.kind == RangeOrder::Kind::kGrant && firsts.insert(order.span.first).second) {
      spans_of_second += order.span.size();
    }
  }
  cr_assert(spans_of_second < traffic::kLastKey, "keys went on while a late grant may act");
}
