#include "simulation/simulator/world.h"

#include <cstdio>

namespace graniteseam::simulation {

std::string ToString(const NodeName& node) {
  static const char* const kNames[] = {"control-", "router-",   "server-",
                                       "caller-",  "operator-", "platform-"};
  return kNames[static_cast<std::size_t>(node.kind)] + std::to_string(node.number);
}

std::uint32_t World::ZoneOf(const NodeName& node) const {
  const auto found = zones_.find(node);
  return found == zones_.end() ? 0 : found->second;
}

bool World::Connected(const NodeName& from, const NodeName& to) const {
  if (cut_nodes_.contains(from) || cut_nodes_.contains(to)) return false;
  if (cut_links_.contains({from, to})) return false;
  const std::uint32_t from_zone = ZoneOf(from);
  const std::uint32_t to_zone = ZoneOf(to);
  if (from_zone == to_zone) return true;
  return !cut_zones_.contains(from_zone) && !cut_zones_.contains(to_zone);
}

Duration World::Delay() {
  if (mood.late > 0 && random.Chance(mood.late)) {
    Count("message late");
    return random.Between(mood.delay_maximum, mood.late_maximum);
  }
  return random.Between(mood.delay_minimum, mood.delay_maximum);
}

void World::Send(const NodeName& from, const NodeName& to, const std::function<void()>& deliver) {
  SendOnce(from, to, deliver);
  if (mood.duplication > 0 && Connected(from, to) && random.Chance(mood.duplication)) {
    Count("message duplicated");
    queue.After(Delay(), deliver);
  }
}

void World::SendOnce(const NodeName& from, const NodeName& to,
                     const std::function<void()>& deliver) {
  if (!Connected(from, to)) {
    Count("message cut");
    return;
  }
  if (mood.loss > 0 && random.Chance(mood.loss)) {
    Count("message lost");
    return;
  }
  queue.After(Delay(), deliver);
}

void World::Trace(const std::string& line) {
  constexpr std::uint64_t kPrime = 1099511628211ULL;
  for (const char character : line) {
    trace_hash_ = (trace_hash_ ^ static_cast<unsigned char>(character)) * kPrime;
  }
  trace_hash_ = (trace_hash_ ^ static_cast<std::uint64_t>(now())) * kPrime;
  if (trace_) std::printf("%12lld %s\n", static_cast<long long>(now()), line.c_str());
}

}  // namespace graniteseam::simulation
