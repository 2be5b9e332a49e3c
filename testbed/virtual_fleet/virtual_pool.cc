#include "testbed/virtual_fleet/virtual_pool.h"

#include <numeric>
#include <string>
#include <utility>

namespace graniteseam::testbed {

VirtualPool::VirtualPool(EventQueue& events, const PoolSettings& settings, std::uint64_t seed)
    : events_(events), settings_(settings) {
  for (std::uint32_t index = 0; index < settings.servers; ++index) {
    servers_.push_back(std::make_unique<VirtualServer>(events, settings.server, seed + index));
  }
}

void VirtualPool::Attempt(std::size_t server, Instant deadline, Instant give_up_at,
                          VirtualServer::ReplyHandler handler) {
  const auto ended = std::make_shared<bool>(false);
  const auto end = [ended, handler = std::move(handler)](ServerReply reply) {
    if (std::exchange(*ended, true)) return;
    handler(reply);
  };
  events_.At(give_up_at, [end] { end(ServerReply::kTimeout); });
  events_.After(settings_.network_delay, [this, server, deadline, end] {
    servers_[server]->Take(deadline, [this, end](ServerReply reply) {
      events_.After(settings_.network_delay, [end, reply] { end(reply); });
    });
  });
}

ServerId VirtualPool::IdOf(std::size_t index) const {
  return ServerId{settings_.service.value + "-" + std::to_string(index)};
}

std::size_t VirtualPool::IndexOf(const ServerId& id) const {
  return std::stoul(id.value.substr(settings_.service.value.size() + 1));
}

double VirtualPool::CapacityPerSecond() const {
  const std::chrono::duration<double> work = settings_.server.mean_work;
  return settings_.servers * settings_.server.slots / work.count();
}

std::uint64_t VirtualPool::TakenTotal() const {
  return std::accumulate(servers_.begin(), servers_.end(), std::uint64_t{0},
                         [](auto sum, const auto& server) { return sum + server->taken(); });
}

std::uint64_t VirtualPool::AnsweredTotal() const {
  return std::accumulate(servers_.begin(), servers_.end(), std::uint64_t{0},
                         [](auto sum, const auto& server) { return sum + server->answered(); });
}

}  // namespace graniteseam::testbed
