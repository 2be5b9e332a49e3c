/// @file
/// A pool of servers and the gateways that share it, in virtual time: real decision makers, servers
/// with slots, queues, speeds and noise, and nothing of a network but its delay.
#pragma once

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <queue>
#include <random>
#include <string>
#include <vector>

#include "src/gateway/gateway_node.h"

namespace graniteseam::simulation {

/// A pool as the users' sheet gives it for stored transcripts: at any moment a fifth of its servers
/// take three times as long, and which ones changes each 0.4 s.
struct NoisyPool {
  std::uint32_t gateways = 76;
  std::uint32_t servers = 98;
  std::int64_t slots = 3;
  std::size_t queue = 12;
  std::vector<double> speeds{0.7, 0.7, 1.6};  ///< By which work takes longer, in turn.
  double noisy_part = 0.2;
  double noise = 3.0;
  Duration noise_stands{400'000};
  double requests_per_second = 1'092;
  double work_ms = 160;
  double work_spread = 0.5;  ///< Standard deviation of its logarithm.
  std::int64_t target_ms = 600;
  Duration one_way{1'500};
  bool tells_work = true;
  std::uint32_t probes_per_request = 3;
};

struct PoolOutcome {
  std::uint64_t requests = 0;
  std::uint64_t in_time = 0;
  std::uint64_t probes = 0;
  std::uint64_t most_probes_open = 0;  ///< At one moment, of all gateways.

  double PartInTime() const { return static_cast<double>(in_time) / static_cast<double>(requests); }
};

/// Plays `length` of traffic under one seed; the first second is not counted.
PoolOutcome PlayPool(const NoisyPool& pool, Duration length, std::uint64_t seed);

}  // namespace graniteseam::simulation
