// graniteseam-pool-world: what share of a noisy pool's requests is in time, by how many servers are
// asked for their load before each. Prints a table; takes no arguments.
#include <cstdio>

#include "simulation/pool_world/noisy_pool.h"

namespace {

using graniteseam::Duration;
using graniteseam::simulation::NoisyPool;
using graniteseam::simulation::PlayPool;

constexpr Duration kLength{20'000'000};
constexpr std::uint64_t kSeeds = 5;

NoisyPool Lookups() { return {}; }

NoisyPool LookupsWithAThirdOfTheServersGone() {
  NoisyPool pool;
  pool.servers = pool.servers * 2 / 3;
  return pool;
}

NoisyPool StatusPolls() {
  NoisyPool pool;
  pool.servers = 87;
  pool.requests_per_second = 387;
  pool.work_ms = 400;
  pool.work_spread = 0.8;
  pool.target_ms = 1'200;
  return pool;
}

void PrintRow(const char* name, NoisyPool pool) {
  std::printf("%-40s", name);
  for (const std::uint32_t probes : {0U, 1U, 2U, 3U, 5U}) {
    pool.probes_per_request = probes;
    double part = 0;
    for (std::uint64_t seed = 1; seed <= kSeeds; ++seed) {
      part += PlayPool(pool, kLength, seed).PartInTime() / kSeeds;
    }
    std::printf("  %.4f", part);
  }
  std::printf("\n");
}

}  // namespace

int main() {
  std::printf("%-40s  %6s  %6s  %6s  %6s  %6s\n", "part in time; probes a request:", "0", "1", "2",
              "3", "5");
  PrintRow("lookups", Lookups());
  PrintRow("lookups, a third of the servers gone", LookupsWithAThirdOfTheServersGone());
  PrintRow("status polls", StatusPolls());
  return 0;
}
