#include "testbed/virtual_fleet/zipf_shards.h"

#include <cmath>
#include <numeric>
#include <string>
#include <utility>

#include "graniteseam/routing/routing_table.h"

namespace graniteseam::testbed {

ZipfShards::ZipfShards(const ZipfSettings& settings, std::uint32_t shard_count, std::uint64_t seed)
    : settings_(settings),
      random_(seed),
      shard_of_key_(settings.keys),
      key_of_rank_(settings.keys),
      rate_of_rank_(settings.keys),
      loads_(shard_count) {
  for (std::uint32_t key = 0; key < settings.keys; ++key) {
    shard_of_key_[key] = routing::ShardOfKey("key-" + std::to_string(key), shard_count);
  }
  std::iota(key_of_rank_.begin(), key_of_rank_.end(), 0);
  for (std::uint32_t rank = 0; rank < settings.keys; ++rank) {
    rate_of_rank_[rank] = std::pow(rank + 1.0, -settings.exponent);
  }
  const double sum = std::accumulate(rate_of_rank_.begin(), rate_of_rank_.end(), 0.0);
  for (double& rate : rate_of_rank_) rate *= settings.requests_per_second / sum;
  Shift();
}

void ZipfShards::Shift() {
  for (std::size_t last = key_of_rank_.size() - 1; last > 0; --last) {
    std::swap(key_of_rank_[last], key_of_rank_[random_.Index(last + 1)]);
  }
  std::fill(loads_.begin(), loads_.end(), 0.0);
  for (std::size_t rank = 0; rank < key_of_rank_.size(); ++rank) {
    loads_[shard_of_key_[key_of_rank_[rank]]] += rate_of_rank_[rank];
  }
}

}  // namespace graniteseam::testbed
