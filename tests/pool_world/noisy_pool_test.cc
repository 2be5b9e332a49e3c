/// @file
/// The choice of a server under the load that probes answer: servers that share their machines with
/// others, so that at any moment some take several times as long, and gateways that meet each
/// server every few seconds.
///
/// The figures of the pool are those of the users' sheets. What can be had is known from a model of
/// such a pool: 0.88 of all in time for draws by speed, 0.99 for two fresh words, 0.999 with all
/// known.

#include "simulation/pool_world/noisy_pool.h"

#include <criterion/criterion.h>

using namespace graniteseam;
using namespace graniteseam::simulation;

namespace {

constexpr Duration kLength{8'000'000};
constexpr std::uint64_t kSeeds = 3;

double PartInTime(const NoisyPool& pool) {
  double sum = 0;
  for (std::uint64_t seed = 1; seed <= kSeeds; ++seed) {
    sum += PlayPool(pool, kLength, seed).PartInTime();
  }
  return sum / kSeeds;
}

}  // namespace

Test(noisy_pool, probes_keep_nearly_all_in_time) {
  const double part = PartInTime({});
  cr_assert(part >= 0.975, "%.4f were in time", part);
}

Test(noisy_pool, probes_do_better_than_draws_by_speed) {
  NoisyPool blind;
  blind.probes_per_request = 0;
  const double without = PartInTime(blind);
  const double with = PartInTime({});
  cr_assert(with >= without + 0.05, "%.4f with probes, %.4f without", with, without);
}

Test(noisy_pool, long_requests_gain_as_well) {
  NoisyPool polls;  // Status polls: few, and their work is long and uneven.
  polls.servers = 87;
  polls.requests_per_second = 387;
  polls.work_ms = 400;
  polls.work_spread = 0.8;
  polls.target_ms = 1'200;
  const double with = PartInTime(polls);
  polls.probes_per_request = 0;
  const double without = PartInTime(polls);
  cr_assert(with >= 0.93 && with >= without + 0.04, "%.4f with probes, %.4f without", with,
            without);
}

Test(noisy_pool, servers_that_do_not_tell_of_their_work_are_never_probed) {
  NoisyPool silent;
  silent.tells_work = false;
  cr_assert(PlayPool(silent, kLength, 1).probes == 0);
}

Test(noisy_pool, overload_does_not_multiply_probes) {
  NoisyPool full;
  full.requests_per_second = 4'000;
  const PoolOutcome outcome = PlayPool(full, kLength, 1);
  const double each =
      static_cast<double>(outcome.probes) / 4'000 / std::chrono::duration<double>(kLength).count();
  cr_assert(each <= 9, "%.1f probes for a request", each);
}
