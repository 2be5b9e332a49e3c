#include "src/control/load_balancer.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace graniteseam::control {

using placement::OwnershipState;

LoadBalancer::LoadBalancer(LoadBalancerOptions options, const ReplicatedState& state, Instant now)
    : options_(options),
      state_(state),
      tracker_(options.tracker),
      started_(now),
      due_(now + options.interval) {}

void LoadBalancer::Report(const std::vector<ShardLoad>& loads, Instant now) {
  for (const auto& load : loads) {
    // Ignores unknown shards: routers are trusted, but a shard that no service has would make the
    // tracker grow without bound.
    if (load.shard.index >= state_.shards().ShardCount(load.shard.service)) continue;
    tracker_.Record(load.shard, load.requests, now);
  }
}

std::vector<placement::PlannedMove> LoadBalancer::Decide(const HealthCheck& healthy, Instant now) {
  std::vector<placement::PlannedMove> moves;
  if (now < due_) return moves;
  due_ = now + options_.interval;
  tracker_.Advance(now);
  const auto* bundle = state_.bundles().InForce();
  if (bundle == nullptr) return moves;
  for (const auto& service : bundle->services) {
    if (service.kind != bundle::ServiceKind::kKeyed) continue;
    const std::size_t before = moves.size();
    PlanByLoad(service, healthy, now, moves);
    // Filling is skipped while load causes moves, since filling a server changes the load of
    // others.
    if (moves.size() == before) FillEmptyServers(service, healthy, now, moves);
  }
  return moves;
}

placement::PlacementInput LoadBalancer::InputOf(const bundle::Service& service,
                                                const HealthCheck& healthy) const {
  placement::PlacementInput input;
  input.service = service.name;
  input.weights = service.weights;
  input.last_load_shift = tracker_.LastShift(service.name);
  std::map<ServerId, std::uint32_t> positions;
  for (const auto& [id, record] : state_.servers().servers()) {
    if (record.service != service.name || !record.serving) continue;
    positions[id] = static_cast<std::uint32_t>(input.servers.size());
    const bool may_gain = record.AcceptsNewWork() && healthy(id);
    input.servers.push_back({id, record.zone, 1.0, may_gain});
  }
  // Grouped by server, so that each server is looked up once rather than for each shard.
  for (const auto& [id, position] : positions) {
    for (const auto& owned : state_.shards().OwnedBy(id)) {
      const auto estimate = tracker_.Estimate(owned.shard);
      const bool movable = owned.state == OwnershipState::kAssigned;
      input.shards.push_back(
          {owned.shard.index, position, estimate.requests_per_second, estimate.deviation, movable});
    }
  }
  return input;
}

void LoadBalancer::PlanByLoad(const bundle::Service& service, const HealthCheck& healthy,
                              Instant now, std::vector<placement::PlannedMove>& moves) {
  const auto input = InputOf(service, healthy);
  if (input.servers.empty()) return;
  auto& planner = planners_.try_emplace(service.name, options_.planner).first->second;
  for (const auto& move : planner.Plan(input, now).moves) {
    const auto shard = state_.shards().Find(move.shard);
    if (shard && shard->owner == move.from) moves.push_back({move.shard, shard->epoch, move.to});
  }
}

std::size_t LoadBalancer::MovesToFill(const ServerId& server, double mean, Instant now) const {
  const auto joined = joined_.find(server);
  const Instant since = joined == joined_.end() ? started_ : joined->second;
  if (now - since < options_.fill_delay) return 0;
  const std::size_t planned = state_.shards().PlannedCount(server);
  // Hysteresis: filling begins below half of the mean and continues up to the fill level.
  const bool filling = planned > state_.shards().OwnedCount(server);
  const double half = mean / 2;
  if (!filling && static_cast<double>(planned) >= half) return 0;
  const auto level = static_cast<std::size_t>(std::floor(mean * options_.fill_level));
  const std::size_t arriving = planned - std::min(planned, state_.shards().OwnedCount(server));
  if (level <= planned || arriving >= options_.fill_moves_maximum) return 0;
  return std::min(level - planned, options_.fill_moves_maximum - arriving);
}

void LoadBalancer::FillEmptyServers(const bundle::Service& service, const HealthCheck& healthy,
                                    Instant now, std::vector<placement::PlannedMove>& moves) {
  if (std::isinf(placement::MoveReluctance(service.weights))) return;
  ServersByCount servers;
  for (const auto& [id, record] : state_.servers().servers()) {
    if (record.service != service.name || !record.AcceptsNewWork() || !healthy(id)) continue;
    servers.emplace(state_.shards().PlannedCount(id), id);
  }
  if (servers.size() < 2) return;
  const double mean = static_cast<double>(state_.shards().ShardCount(service.name)) /
                      static_cast<double>(servers.size());
  const ServersByCount targets = servers;
  for (const auto& [count, target] : targets) {
    if (static_cast<double>(count) >= mean) return;
    for (std::size_t wanted = MovesToFill(target, mean, now); wanted > 0; --wanted) {
      auto move = TakeFromFullest(servers, target, mean, moves);
      if (!move) return;
      moves.push_back(std::move(*move));
    }
  }
}

std::optional<placement::PlannedMove> LoadBalancer::TakeFromFullest(
    ServersByCount& servers, const ServerId& target, double mean,
    const std::vector<placement::PlannedMove>& taken) const {
  while (!servers.empty()) {
    auto donor = servers.extract(std::prev(servers.end()));
    auto& [count, id] = donor.value();
    if (static_cast<double>(count) <= mean - 1 || id == target) return std::nullopt;
    for (const auto& owned : state_.shards().OwnedBy(id)) {
      const bool is_taken = std::any_of(
          taken.begin(), taken.end(), [&](const auto& move) { return move.shard == owned.shard; });
      if (owned.state != OwnershipState::kAssigned || is_taken) continue;
      --count;
      servers.insert(std::move(donor));
      return placement::PlannedMove{owned.shard, owned.epoch, target};
    }
    // A server without a movable shard is not considered again in this round.
  }
  return std::nullopt;
}

}  // namespace graniteseam::control
