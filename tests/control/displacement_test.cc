/// @file
/// Displacements of live instances by late heartbeats, and their reversal.

#include "src/control/displacement.h"

#include <criterion/criterion.h>

#include <map>
#include <vector>

#include "tests/control/ranged_group.h"

using namespace graniteseam;
using namespace graniteseam::control;
using graniteseam::test::ControlHarness;
using graniteseam::test::is_accepted;
using graniteseam::test::kRanged;
using graniteseam::test::report_of;
using graniteseam::test::start_ranges;

namespace {

constexpr Instant kStart = InstantFromMicros(1'000'000'000);
constexpr Duration kSecond{1'000'000};

/// Two instances at one address: "i-1" is displaced by "i-2".
struct Displaced {
  traffic::InstanceTable instances;
  InstanceLiveness liveness{4 * kSecond, kStart};

  explicit Displaced(Duration between) {
    Hear("i-1", 1, kStart);
    Hear("i-2", 1, kStart + between);
  }

  std::vector<ReversibleDisplacement> Reversible(Instant now) const {
    return FindReversibleDisplacements(instances, liveness, now);
  }

  void Hear(const std::string& id, std::int64_t sequence, Instant at) {
    traffic::InstanceReport report;
    report.id = {id};
    report.service = kRanged;
    report.address = "10.0.0.1:80";
    report.sequence = sequence;
    liveness.RecordHeartbeat(report.id, at);
    instances.Report(report, static_cast<std::uint64_t>(ToMicros(at)));
  }
};

}  // namespace

Test(displacement, is_reversible_when_only_the_displaced_instance_is_heard_of) {
  Displaced displaced(kSecond);
  displaced.Hear("i-1", 8, kStart + 4 * kSecond);
  displaced.Hear("i-1", 9, kStart + 5 * kSecond);
  Instant now = kStart + 5 * kSecond;
  cr_assert(displaced.Reversible(now).empty(), "the successor was heard of 4 s ago");
  now += kSecond;
  const auto found = displaced.Reversible(now);
  cr_assert(found.size() == 1 && found[0].successor.value == "i-2");
  cr_assert(found[0].displaced.value == "i-1");
}

/// Guards against a heartbeat that was sent before the successor started, and copies of it.
Test(displacement, is_not_reversible_by_one_late_heartbeat) {
  Displaced displaced(kSecond);
  const Instant now = kStart + 30 * kSecond;
  displaced.Hear("i-1", 9, now);
  displaced.Hear("i-1", 9, now + Duration{1'000});
  cr_assert(displaced.Reversible(now + kSecond).empty());
}

/// A follower that stood still tells of the displaced one only now; the other one goes on.
Test(displacement, is_not_reversible_while_the_successor_is_heard_of) {
  Displaced displaced(2 * kSecond);
  for (int s = 3; s <= 13; ++s) displaced.Hear("i-2", s, kStart + s * kSecond);
  displaced.Hear("i-1", 9, kStart + 12 * kSecond);
  displaced.Hear("i-1", 10, kStart + 13 * kSecond);
  cr_assert(displaced.Reversible(kStart + 13 * kSecond).empty());
}

/// Guards against a live instance that is out of service for good after one wrong reversal.
Test(displacement, can_be_reversed_again_and_again) {
  Displaced displaced(kSecond);
  Instant now = kStart + kSecond;
  std::uint64_t log_index = 1'000'000'000'000;
  for (int round = 0; round < 4; ++round) {
    const std::string heard = round % 2 == 0 ? "i-1" : "i-2";
    for (int s = 0; s < 6; ++s) {
      now += kSecond;
      displaced.Hear(heard, 100 + 10 * round + s, now);
    }
    const auto found = displaced.Reversible(now);
    cr_assert(found.size() == 1 && found[0].displaced.value == heard);
    cr_assert(displaced.instances.ReverseDisplacement(found[0].displaced, found[0].successor,
                                                      ++log_index));
    cr_assert(displaced.instances.FindByAddress("10.0.0.1:80")->report.id.value == heard);
    cr_assert(displaced.instances.Find({heard})->AcceptsNewWork());
    cr_assert(displaced.instances.Find(found[0].successor)->state ==
              traffic::InstanceState::kDisplaced);
  }
}

Test(displacement, is_not_reversed_when_a_third_instance_has_the_address) {
  Displaced displaced(kSecond);
  displaced.Hear("i-3", 1, kStart + 2 * kSecond);
  cr_assert(!displaced.instances.ReverseDisplacement({"i-1"}, {"i-2"}, 1'000'000'000'000));
  cr_assert(displaced.instances.FindByAddress("10.0.0.1:80")->report.id.value == "i-3");
}

/// Guards against OWNER: the first heartbeat of a process that ended before i-1 started arrives 25
/// s late, at another control process, and i-1's keys were given to i-2 while i-1 held them.
Test(displacement, living_owner_holds_its_keys_until_it_has_released_them) {
  ControlHarness harness;
  std::map<std::uint32_t, Instant> held_until;  // By first key: the end of i-1's lease.
  std::size_t taken_early = 0;
  bool displaced = false;
  harness.on_range_order = [&](std::size_t process, const RangeOrder& order) {
    const bool grant = order.kind == RangeOrder::Kind::kGrant;
    const bool first = order.instance.value == "i-1";
    if (first && grant) held_until[order.span.first] = harness.now() + order.hold;
    // From then on i-1 is cut off from control.
    if (first && displaced) {
      return harness.GiveRangeResult(process,
                                     {order.number, RangeOrderResult::Outcome::kNotDelivered, ""});
    }
    if (!first && grant) {
      for (const auto& [key, until] : held_until) {
        if (order.span.Contains({key, key}) && harness.now() < until) ++taken_early;
      }
    }
    harness.GiveRangeResult(process, {order.number, RangeOrderResult::Outcome::kDone, ""});
  };
  start_ranges(harness);
  for (int second = 0; second < 25; ++second) {
    report_instances(harness);
    harness.RunFor(kSecond);
  }
  cr_assert(!held_until.empty());
  auto former = report_of(harness, "i-1", false);
  former.report.id = {"i-0"};
  former.report.sequence = 1;
  displaced = true;
  const std::size_t follower = (*harness.Leader() + 1) % 3;
  harness.Submit(follower, former);
  harness.RunFor(5 * kSecond);
  cr_assert(taken_early == 0, "%zu ranges have two owners", taken_early);
}

/// The late heartbeat of a process that ended before i-1 began displaces i-1, which lives, and
/// is the only one of the two that goes on.
Test(displacement, living_instance_gets_its_address_back_and_keys) {
  ControlHarness harness;
  std::size_t grants = 0;
  harness.on_range_order = [&](std::size_t process, const RangeOrder& order) {
    const bool first = order.instance.value == "i-1";
    if (first && order.kind == RangeOrder::Kind::kGrant) ++grants;
    harness.GiveRangeResult(process, {order.number, RangeOrderResult::Outcome::kDone, ""});
  };
  const auto report_for_seconds = [&](int seconds) {
    for (int second = 0; second < seconds; ++second) {
      report_instances(harness);
      harness.RunFor(kSecond);
    }
  };
  start_ranges(harness);
  auto former = report_of(harness, "i-1", false);
  former.report.id = {"i-9"};
  former.report.service = {"other"};
  cr_assert(is_accepted(harness.Ask(former)));
  report_for_seconds(1);
  grants = 0;
  report_for_seconds(2);
  cr_assert(grants == 0, "a displaced instance was granted keys");
  report_for_seconds(9);
  cr_assert(grants > 0, "the instance is still displaced");
}
