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

}  // namespace

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
