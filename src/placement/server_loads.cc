#include "src/placement/server_loads.h"

#include <algorithm>
#include <cmath>

namespace graniteseam::placement {

ServerLoads::ServerLoads(const PlacementInput& input, double trigger, double target,
                         const PlannerOptions& options)
    : input_(input), target_(target), options_(options), servers_(input.servers.size()) {
  double total_load = 0;
  for (std::uint32_t position = 0; position < input.shards.size(); ++position) {
    const PlannedShard& shard = input.shards[position];
    total_load += shard.load;
    if (!shard.movable) continue;
    Server& owner = servers_[shard.owner];
    owner.load += shard.load;
    owner.variance += shard.deviation * shard.deviation;
    owner.shards.push_back(position);
  }
  double total_capacity = 0;
  for (std::size_t number = 0; number < servers_.size(); ++number) {
    Server& server = servers_[number];
    server.capacity = input.servers[number].capacity;
    server.may_gain = input.servers[number].may_gain;
    if (server.may_gain || server.load > 0) total_capacity += server.capacity;
  }
  mean_ = total_capacity > 0 ? total_load / total_capacity : 0;
  if (mean_ <= 0) return;
  for (ServerNumber number = 0; number < servers_.size(); ++number) {
    const Server& server = servers_[number];
    // Overload within the noise is ignored, since moves based on it may increase the imbalance.
    const bool overloaded = Ratio(server) > trigger && Ratio(server) - 1 > Noise(server);
    if (overloaded) sources_.emplace(Ratio(server), number);
    if (server.may_gain) rooms_.emplace(Room(server), number);
  }
}

/// The noise of a server's load, as a ratio. The error of the mean is neglected, since it is
/// smaller by the square root of the number of servers.
double ServerLoads::Noise(const Server& server) const {
  return options_.noise_deviations * std::sqrt(server.variance) / (server.capacity * mean_);
}

double ServerLoads::Imbalance() const {
  double highest = 0;
  if (mean_ <= 0) return 1.0;
  for (const Server& server : servers_) highest = std::max(highest, Ratio(server));
  return highest;
}

bool ServerLoads::TakeNextMove(MoveChoice& choice) {
  while (!sources_.empty()) {
    const ServerNumber from = sources_.begin()->second;
    if (FindMove(from, choice)) {
      Apply(choice);
      return true;
    }
    sources_.erase(sources_.begin());  // No further move relieves this server.
  }
  return false;
}

bool ServerLoads::FindMove(ServerNumber from, MoveChoice& choice) {
  Server& source = servers_[from];
  SortShards(source);
  const auto roomiest = std::find_if(rooms_.begin(), rooms_.end(),
                                     [&](const auto& room) { return room.second != from; });
  if (roomiest == rooms_.end() || source.shards.empty()) return false;
  const Server& target = servers_[roomiest->second];
  std::size_t position = source.shards.size() - 1;
  if (!IsHotShardMove(source, target) && !FindMoveWithinTarget(source, target, position) &&
      !FindBalancingMove(source, target, position)) {
    return false;
  }
  choice = {source.shards[position], from, roomiest->second};
  source.shards.erase(source.shards.begin() + static_cast<std::ptrdiff_t>(position));
  return true;
}

void ServerLoads::SortShards(Server& server) {
  if (server.sorted) return;
  server.sorted = true;
  std::stable_sort(
      server.shards.begin(), server.shards.end(),
      [&](std::uint32_t left, std::uint32_t right) { return Load(left) < Load(right); });
}

/// Whether to move the heaviest shard, which alone exceeds the target server's target ratio, to
/// that server because it is nearly empty. This takes one move instead of one for each of its
/// neighbours.
bool ServerLoads::IsHotShardMove(const Server& source, const Server& target) const {
  const double unit = target.capacity * mean_;
  const double hottest = Load(source.shards.back());
  const double neighbours = source.load - hottest;
  return hottest > target_ * unit && target.load <= options_.hot_shard_target_load_maximum * unit &&
         neighbours > target.load + options_.gain_minimum * unit;
}

/// Finds the smallest shard whose move alone brings the source down to the target ratio, if the
/// target server has room for it, otherwise the largest one that fits. This needs the fewest moves.
bool ServerLoads::FindMoveWithinTarget(const Server& source, const Server& target,
                                       std::size_t& position) {
  const auto first_above = [&](double load, bool or_equal) {
    return std::partition_point(source.shards.begin(), source.shards.end(), [&](auto shard) {
      return or_equal ? Load(shard) < load : Load(shard) <= load;
    });
  };
  const double excess = -Room(source);
  const double room = Room(target);
  const auto enough = first_above(excess, /*or_equal=*/true);
  if (enough != source.shards.end() && Load(*enough) <= room) {
    position = static_cast<std::size_t>(enough - source.shards.begin());
    return true;
  }
  const auto too_much = first_above(room, /*or_equal=*/false);
  if (too_much == source.shards.begin()) return false;
  position = static_cast<std::size_t>(too_much - source.shards.begin()) - 1;
  return Load(source.shards[position]) > 0;
}

/// For when no server has enough room: finds the shard whose move best evens out the two servers,
/// if the gain is at least the minimum.
bool ServerLoads::FindBalancingMove(const Server& source, const Server& target,
                                    std::size_t& position) {
  const auto higher_after = [&](std::size_t candidate) {
    const double load = Load(source.shards[candidate]);
    return std::max((source.load - load) / (source.capacity * mean_),
                    (target.load + load) / (target.capacity * mean_));
  };
  // The higher ratio of the two decreases with the shard's load up to `even` and then increases, so
  // only the shards next to `even` are candidates.
  double best = Ratio(source) - options_.gain_minimum;
  bool found = false;
  const double even = (source.load * target.capacity - target.load * source.capacity) /
                      (source.capacity + target.capacity);
  const auto first_heavier =
      std::partition_point(source.shards.begin(), source.shards.end(),
                           [&](std::uint32_t shard) { return Load(shard) < even; });
  const auto middle = static_cast<std::size_t>(first_heavier - source.shards.begin());
  for (const std::size_t candidate : {middle - 1, middle}) {
    if (candidate >= source.shards.size() || higher_after(candidate) > best) continue;
    best = higher_after(candidate);
    position = candidate;
    found = true;
  }
  return found;
}

void ServerLoads::Apply(const MoveChoice& choice) {
  const PlannedShard& shard = input_.shards[choice.shard];
  const double variance = shard.deviation * shard.deviation;
  ChangeLoad(choice.from, -shard.load, -variance);
  ChangeLoad(choice.to, shard.load, variance);
}

void ServerLoads::ChangeLoad(ServerNumber number, double load, double variance) {
  Server& server = servers_[number];
  const bool is_source = sources_.erase({Ratio(server), number}) > 0;
  if (server.may_gain) rooms_.erase({Room(server), number});
  server.load += load;
  server.variance += variance;
  if (is_source && Room(server) < 0) sources_.emplace(Ratio(server), number);
  if (server.may_gain) rooms_.emplace(Room(server), number);
}

}  // namespace graniteseam::placement
