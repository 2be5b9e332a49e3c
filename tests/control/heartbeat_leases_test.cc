/// @file
/// Leases of keys by heartbeat: one owner, rising fences, handover, and no key without an owner for
/// longer than docs/design/leases-by-heartbeat.md says.

#include <criterion/criterion.h>

#include "tests/control/heartbeat_fixture.h"

using namespace graniteseam;
using namespace graniteseam::test;

namespace {

/// Random faults of one kind or of all, then calm in which all keys must find an owner again.
void RunFaults(const LeasedWorldFaults& faults, std::uint64_t seeds) {
  for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
    LeasedWorld world(seed, 5, {});
    MustHold(world.Run(5 * kSecond));
    world.set_faults(faults);
    const auto violation = world.Run(20 * kSecond);
    cr_assert(!violation, "seed %llu: %s", static_cast<unsigned long long>(seed),
              violation ? violation->c_str() : "");
    world.set_faults({});
    // A lease of 4 s, the pick-up by an instance that is gone too, and heartbeats.
    for (int step = 0; step < 100 && world.KeysHeld() < kAllKeys; ++step) {
      MustHold(world.Run(kSecond / 10));
    }
    cr_assert(world.KeysHeld() == kAllKeys, "seed %llu: %u keys are held",
              static_cast<unsigned long long>(seed), world.KeysHeld());
    cr_assert(world.refused() == 0, "a lease was refused for a higher fence");
  }
}

constexpr Instant kStart = InstantFromMicros(1'000'000'000);
const ServiceName kService{"s"};

/// The state that a new leader finds: "i-1" owns all keys.
traffic::TrafficState StateWithOwner() {
  traffic::TrafficState state;
  traffic::ConfigurationChange change;
  change.version = {1};
  change.whole = true;
  traffic::Service service;
  service.name = kService;
  service.keyed = true;
  service.lease_form = traffic::LeaseForm::kHeartbeat;
  change.services = {service};
  const auto applied = Attempt([&] { return state.Apply(change, 1); });
  cr_assert(ErrorOf(applied) == nullptr);
  const traffic::KeySpan all{0, traffic::kLastKey};
  state.Assign({{kService, all, {}, {"i-1"}, ""}}, 2);
  state.Confirm({{kService, all, {2}}}, 3);
  return state;
}

/// The same when the keys are being released.
traffic::TrafficState StateWithRelease() {
  traffic::TrafficState state = StateWithOwner();
  state.BeginReleases({{kService, {0, traffic::kLastKey}, {2}, {}}}, 4);
  return state;
}

/// Requests for keys all over the service.
traffic::TrafficPoll BusyPoll() {
  traffic::TrafficPoll poll;
  poll.loads = {{kService, {}}};
  for (std::uint32_t key = 0; key <= traffic::kLastKey; key += 512) {
    poll.loads[0].keys.push_back({key, 2});
  }
  return poll;
}

/// A heartbeat of an instance that holds nothing and tells of no release.
control::ReportInstance EmptyHeartbeat(const std::string& id, std::int64_t sequence) {
  control::ReportInstance heartbeat;
  heartbeat.report.id = {id};
  heartbeat.report.service = kService;
  heartbeat.report.address = "10.0.0." + id.substr(2) + ":80";
  heartbeat.report.sequence = sequence;
  return heartbeat;
}

}  // namespace

/// Both heartbeats of i-1 were sent before a former leader's answer gave it the keys, and come
/// late: they do not tell that it let go of them.
Test(heartbeat_leases, late_heartbeats_prove_no_release_to_a_new_leader) {
  traffic::TrafficState state = StateWithRelease();
  state.Report({EmptyHeartbeat("i-1", 1).report}, 5);
  state.Report({EmptyHeartbeat("i-2", 1).report}, 6);
  control::InstanceLiveness liveness(4 * kSecond, kStart);
  control::InstanceLimits limits;
  control::RangeController leader({}, state, liveness, limits, {}, kStart);
  const auto hear = [&](const std::string& id, std::int64_t sequence, Instant now) {
    liveness.RecordHeartbeat({id}, now);
    leader.TakeHeartbeat(EmptyHeartbeat(id, sequence), now);
  };
  hear("i-1", 2, kStart + kSecond / 10);
  hear("i-1", 3, kStart + 3 * kSecond / 2);
  hear("i-2", 2, kStart + 3 * kSecond / 2);
  cr_assert(leader.Decide(kStart + 2 * kSecond).empty());
  // Whatever a former leader gave is over.
  hear("i-2", 3, kStart + 5 * kSecond);
  cr_assert(!leader.Decide(kStart + 5 * kSecond).empty());
}

/// Whoever gives keys away then leaves them without an owner until the last lease is over.
Test(heartbeat_leases, new_leader_moves_no_load_before_it_can_know_of_a_release) {
  traffic::TrafficState state = StateWithOwner();
  for (const char* const id : {"i-1", "i-2"}) state.Report({EmptyHeartbeat(id, 1).report}, 5);
  control::InstanceLiveness liveness(4 * kSecond, kStart);
  control::InstanceLimits limits;
  control::RangeController leader({}, state, liveness, limits, {}, kStart);
  std::optional<Duration> first_move;
  for (int step = 0; step < 80 && !first_move; ++step) {
    const Duration since = step * kSecond / 10;
    for (const char* const id : {"i-1", "i-2"}) {
      control::ReportInstance heartbeat = EmptyHeartbeat(id, step + 2);
      if (*(id + 2) == '1') heartbeat.keys.held = {{{0, traffic::kLastKey}, {2}}};
      liveness.RecordHeartbeat({id}, kStart + since);
      leader.TakeHeartbeat(heartbeat, kStart + since);
    }
    leader.TakeLoads(BusyPoll(), kStart + since);
    if (!leader.Decide(kStart + since).empty()) first_move = since;
  }
  cr_assert(first_move.has_value(), "the load is moved in the end");
  cr_assert(*first_move > 4 * kSecond);
}

Test(heartbeat_leases, all_keys_are_held_soon_after_the_instances_came) {
  SettledWorld settled(1, 4);
  LeasedWorld& world = settled.world;
  cr_assert(world.KeysHeld() == kAllKeys);
  for (const auto* name : {"i-1", "i-2", "i-3", "i-4"}) {
    cr_assert(world.KeysHeldBy(name) == kAllKeys / 4);
  }
}

Test(heartbeat_leases, leases_are_renewed_by_each_answer) {
  SettledWorld settled(2, 3);
  LeasedWorld& world = settled.world;
  for (int i = 0; i < 100; ++i) {
    MustHold(world.Run(kSecond / 10));
    cr_assert(world.KeysHeld() == kAllKeys);
  }
}

Test(heartbeat_leases, draining_instance_hands_its_keys_over) {
  SettledWorld settled(3, 4);
  LeasedWorld& world = settled.world;
  world.Drain("i-2");
  // Its next heartbeat, the end of its work, and the heartbeats of those that follow.
  MustHold(world.Run(3 * kSecond));
  cr_assert(world.KeysHeldBy("i-2") == 0);
  cr_assert(world.KeysHeld() == kAllKeys);
  cr_assert(world.handovers() > 0);
}

Test(heartbeat_leases, crashed_owner_keeps_its_keys_until_its_lease_is_over) {
  SettledWorld settled(4, 4);
  LeasedWorld& world = settled.world;
  world.Crash("i-1");
  const auto owner = [&](std::uint32_t key) {
    return world.state().ranges().Find({"s"}, key)->owner.value;
  };
  std::uint32_t key = 0;
  while (owner(key) != "i-1") ++key;
  MustHold(world.Run(2 * kSecond));
  cr_assert(owner(key) == "i-1");
  MustHold(world.Run(3 * kSecond));
  cr_assert(world.KeysHeld() == kAllKeys);
}

Test(heartbeat_leases, new_leader_waits_for_what_the_last_one_may_have_given) {
  SettledWorld settled(5, 4);
  LeasedWorld& world = settled.world;
  world.Crash("i-3");
  world.ChangeLeader(kSecond / 2);
  MustHold(world.Run(3 * kSecond));
  cr_assert(world.KeysHeld() < kAllKeys);
  MustHold(world.Run(4 * kSecond));
  cr_assert(world.KeysHeld() == kAllKeys);
}

Test(heartbeat_leases, lost_and_late_messages_never_make_two_owners) {
  RunFaults(message_faults(), 150);
}

Test(heartbeat_leases, leaving_instances_and_leaders_never_make_two_owners) {
  LeasedWorldFaults faults;
  add_departures(faults);
  RunFaults(faults, 150);
}

Test(heartbeat_leases, slow_commits_never_make_two_owners) {
  LeasedWorldFaults faults;
  // Owners that are not heard of for the length of a lease come back while the log is slow to
  // commit who follows them.
  faults.heartbeat_lost = 0.7;
  faults.slow_commit = 0.5;
  faults.move = 1;
  RunFaults(faults, 150);
}

Test(heartbeat_leases, all_faults_together_never_make_two_owners) {
  LeasedWorldFaults faults = message_faults();
  add_departures(faults);
  faults.slow_commit = 0.2;
  RunFaults(faults, 400);
}

Test(heartbeat_leases, instances_replaced_at_their_address_never_make_two_owners) {
  LeasedWorldFaults faults = message_faults();
  faults.replace = 0.6;
  faults.leader_change = 0.2;
  RunFaults(faults, 300);
}

/// An instance lives for less time than its heartbeats take, and the next one at its address is
/// heard of first: what comes late from the former says nothing about the end of the latter.
Test(heartbeat_leases, late_first_heartbeat_of_a_forerunner_does_not_end_a_living_owner) {
  for (std::uint64_t seed = 1; seed <= 40; ++seed) {
    SettledWorld settled(seed, 3);
    LeasedWorld& world = settled.world;
    const std::string forerunner = world.Replace("i-1", {});
    world.DelayHeartbeats(forerunner, 3 * kSecond);
    // It takes no keys itself, so that they would go to others at once.
    world.Drain(forerunner);
    MustHold(world.Run(kSecond / 2));
    world.Replace(forerunner, {});
    MustHold(world.Run(12 * kSecond));
    cr_assert(world.KeysHeld() == kAllKeys, "seed %llu: %u keys are held",
              static_cast<unsigned long long>(seed), world.KeysHeld());
  }
}
