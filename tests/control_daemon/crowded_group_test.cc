/// @file
/// What was seen: on a fleet of six control processes, 100 routers and 330 instances with little
/// processor time, accepted changes were not in force at some routers for seconds, and the
/// configuration could not be read, though nothing had failed; the term rose by 75 in a minute.
/// How it came about: instances left beside changes, and the leader was late for its own lease. Who
/// found no leader asked all the others, so that the next lease lapsed sooner.
/// What caused it: work that grows with the fleet stood before what keeps a leader. Each event made
/// it decide about the whole fleet, rounds were bounded by events and not by time, hundreds of
/// orders and messages went out at once, and whoever met a process that does not lead came again.
/// What proved it: in this world, where work takes the time that was measured, the code before the
/// repair loses its leader 2 and 8 times in 22 s, and this one keeps it.

#include "tests/control_daemon/crowded_group.h"

#include <criterion/criterion.h>

using namespace graniteseam;
using namespace graniteseam::test;

namespace {

constexpr Duration kSecond{1'000'000};
/// The users' bounds: for an acknowledgement, and from there until a change is in force everywhere.
constexpr Duration kAcknowledgedWithin = 4 * kSecond;
constexpr Duration kInForceWithin{2'500'000};
/// Callers move on after a second without an answer: a read in calm time takes no second call.
constexpr Duration kReadWithin = kSecond;

/// Instances leave beside four changes, in calm time.
void PlayScaleIn(const CrowdOptions& options, double part) {
  CrowdedGroup group(options);
  const Instant start = group.now();
  group.RunUntil(start + 2 * kSecond);
  group.Change();
  group.RunUntil(start + 10 * kSecond);
  const auto changes_at_start = group.leader_changes();
  group.ScaleIn(part);
  for (int step = 0; step < 80; ++step) {
    if (step < 16 && step % 4 == 0) group.Change();
    group.Read();
    group.RunUntil(group.now() + kSecond / 4);
  }
  group.RunUntil(group.now() + 2 * kSecond);
  const auto seed = options.seed;
  for (const CrowdChange& change : group.changes()) {
    cr_expect(change.acknowledged && *change.acknowledged - change.sent <= kAcknowledgedWithin,
              "seed %lu: version %lu was not acknowledged in time", seed, change.version);
    if (!change.acknowledged) continue;
    cr_expect(change.in_force.size() == options.routers, "seed %lu: version %lu reached %zu", seed,
              change.version, change.in_force.size());
    for (const auto& [router, since] : change.in_force) {
      cr_expect(since - *change.acknowledged <= kInForceWithin,
                "seed %lu: version %lu came to router %u %ld ms after its acknowledgement", seed,
                change.version, router, (since - *change.acknowledged).count() / 1000);
    }
  }
  for (const Duration taken : group.Reads()) {
    cr_expect(taken <= kReadWithin, "seed %lu: a read took %ld ms", seed, taken.count() / 1000);
  }
  cr_expect(group.leader_changes() == changes_at_start, "seed %lu: %lu changes of leader", seed,
            group.leader_changes() - changes_at_start);
}

}  // namespace

Test(crowded_group, keeps_its_leader_while_instances_leave_beside_changes, .timeout = 120) {
  for (std::uint64_t seed = 1; seed <= 3; ++seed) {
    CrowdOptions options;
    options.seed = seed;
    options.processor = 0.1;
    PlayScaleIn(options, 0.3);
  }
}

Test(crowded_group, keeps_its_leader_under_900_instances_and_285_routers, .timeout = 120) {
  CrowdOptions options;
  options.controls = 15;
  options.routers = 285;
  options.keyed = 385;
  options.pooled = 516;
  options.processor = 0.2;
  PlayScaleIn(options, 0.14);
}
