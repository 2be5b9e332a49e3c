/// @file
/// One run: one seed, one scenario, bit for bit.
#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "simulation/simulator/scenarios.h"

namespace graniteseam::simulation {

struct RunOptions {
  std::uint64_t seed = 1;
  Duration length{60'000'000};  ///< Virtual; the last part is without faults.
  bool trace = false;
};

struct RunResult {
  std::uint64_t seed = 0;
  std::vector<std::string> violations;
  std::map<std::string, std::uint64_t> counts;
  std::uint64_t answered = 0;
  std::uint64_t checks = 0;
  std::uint64_t events = 0;
  std::uint64_t trace_hash = 0;
  /// The most of the bound on retries that any service used in any window; in the traffic world.
  double retry_bound_used = 0;
};

/// Runs a fleet under faults, then lets it recover and checks that it does.
RunResult RunScenario(const Scenario& scenario, const RunOptions& options);

}  // namespace graniteseam::simulation
