/// @file
/// What it proves that an instance reported from another one's address.

#include "src/control/displacement.h"

#include <criterion/criterion.h>

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

Test(displacement, end_is_proven_once_no_heartbeat_of_a_forerunner_can_come) {
  const Displaced soon(kHeartbeatDelayMaximum);
  cr_assert(!HasProvablyEnded(soon.instances, soon.liveness, {"i-1"}));
  const Displaced later(kHeartbeatDelayMaximum + kSecond);
  cr_assert(HasProvablyEnded(later.instances, later.liveness, {"i-1"}));
  cr_assert(!HasProvablyEnded(later.instances, later.liveness, {"i-2"}));
  cr_assert(!HasProvablyEnded(later.instances, later.liveness, {"i-3"}));
}

Test(displacement, new_leader_that_never_heard_of_the_displaced_one_proves_nothing) {
  const Displaced displaced(kHeartbeatDelayMaximum + kSecond);
  const InstanceLiveness fresh(4 * kSecond, kStart + 20 * kSecond);
  cr_assert(!HasProvablyEnded(displaced.instances, fresh, {"i-1"}));
}

Test(displacement, instance_is_a_forerunner_when_the_displaced_one_goes_on_for_long) {
  Displaced displaced(kSecond);
  Instant now = kStart + kSecond + kHeartbeatDelayMaximum;
  displaced.Hear("i-1", 9, now);
  cr_assert(FindStaleAddressHolders(displaced.instances, displaced.liveness, now).empty());
  now += kSecond;
  displaced.Hear("i-1", 10, now);
  const auto forerunners = FindStaleAddressHolders(displaced.instances, displaced.liveness, now);
  cr_assert(forerunners.size() == 1 && forerunners[0].id.value == "i-2");
  cr_assert(forerunners[0].displaced.id.value == "i-1");
}

/// A follower that stood still tells of the displaced one only now; the other one goes on.
Test(displacement, instance_that_is_heard_of_itself_is_no_forerunner) {
  Displaced displaced(2 * kSecond);
  for (int s = 3; s <= 13; ++s) displaced.Hear("i-2", s, kStart + s * kSecond);
  const Instant now = kStart + 13 * kSecond;
  displaced.Hear("i-1", 9, now);
  cr_assert(FindStaleAddressHolders(displaced.instances, displaced.liveness, now).empty());
}

/// The late heartbeat of a process that ended before i-1 began displaces i-1, which lives, and
/// later is the only one that does.
Test(displacement, living_instance_gets_its_address_back_and_keys) {
  ControlHarness harness;
  bool second_ended = false;
  std::size_t grants = 0;
  harness.on_range_order = [&](std::size_t process, const RangeOrder& order) {
    const bool first = order.instance.value == "i-1";
    const bool lost = !first && second_ended;
    if (first && order.kind == RangeOrder::Kind::kGrant) ++grants;
    const auto outcome =
        lost ? RangeOrderResult::Outcome::kNotDelivered : RangeOrderResult::Outcome::kDone;
    harness.GiveRangeResult(process, {order.number, outcome, ""});
  };
  const auto beat_for_seconds = [&](int seconds) {
    for (int beat = 0; beat < seconds; ++beat) {
      cr_assert(is_accepted(harness.Ask(report_of(harness, "i-1", false))));
      if (!second_ended) cr_assert(is_accepted(harness.Ask(report_of(harness, "i-2", false))));
      harness.RunFor(kSecond);
    }
  };
  start_ranges(harness);
  auto forerunner = report_of(harness, "i-1", false);
  forerunner.report.id = {"i-9"};
  forerunner.report.service = {"other"};
  cr_assert(is_accepted(harness.Ask(forerunner)));
  beat_for_seconds(2);
  grants = 0;
  beat_for_seconds(7);
  cr_assert(grants == 0, "a displaced instance was granted keys");
  // Its heartbeats can not be late ones any more.
  beat_for_seconds(6);
  second_ended = true;
  beat_for_seconds(12);
  cr_assert(grants > 0, "nobody owns the keys");
}
