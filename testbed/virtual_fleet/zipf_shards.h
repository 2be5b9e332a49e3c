/// @file
/// Load of shards when keys are used by Zipf's law and the hot keys change.
#pragma once

#include <cstdint>
#include <vector>

#include "testbed/virtual_fleet/random_source.h"

namespace graniteseam::testbed {

struct ZipfSettings {
  std::uint32_t keys = 100'000;
  double exponent = 1.0;
  double requests_per_second = 20'000;
};

/// Expected requests a second of each shard. Keys fall into shards by the shipped hash.
class ZipfShards {
 public:
  ZipfShards(const ZipfSettings& settings, std::uint32_t shard_count, std::uint64_t seed);

  /// Makes other keys the hot ones.
  void Shift();
  const std::vector<double>& loads() const { return loads_; }

 private:
  ZipfSettings settings_;
  RandomSource random_;
  std::vector<std::uint32_t> shard_of_key_;
  std::vector<std::uint32_t> key_of_rank_;
  std::vector<double> rate_of_rank_;
  std::vector<double> loads_;
};

}  // namespace graniteseam::testbed
