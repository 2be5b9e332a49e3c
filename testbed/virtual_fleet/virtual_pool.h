/// @file
/// The servers of one pooled service and the network between them and the routers, in virtual time.
#pragma once

#include <memory>
#include <vector>

#include "graniteseam/common/ids.h"
#include "testbed/virtual_fleet/event_queue.h"
#include "testbed/virtual_fleet/virtual_server.h"

namespace graniteseam::testbed {

struct PoolSettings {
  ServiceName service{"pool"};
  std::uint32_t servers = 14;
  ServerSettings server;
  Duration network_delay{500};  ///< One way, router to server.
};

/// Not thread safe. The queue must outlive the pool.
class VirtualPool {
 public:
  VirtualPool(EventQueue& events, const PoolSettings& settings, std::uint64_t seed);

  /// Sends an attempt to a server. The handler is called exactly once: with the reply, or with
  /// kTimeout at `give_up_at`.
  void Attempt(std::size_t server, Instant deadline, Instant give_up_at,
               VirtualServer::ReplyHandler handler);

  std::size_t size() const { return servers_.size(); }
  VirtualServer& server(std::size_t index) { return *servers_[index]; }
  const VirtualServer& server(std::size_t index) const { return *servers_[index]; }
  ServerId IdOf(std::size_t index) const;
  std::size_t IndexOf(const ServerId& id) const;
  const PoolSettings& settings() const { return settings_; }
  /// Requests a second that all servers together can answer.
  double CapacityPerSecond() const;
  std::uint64_t TakenTotal() const;
  std::uint64_t AnsweredTotal() const;

 private:
  EventQueue& events_;
  PoolSettings settings_;
  std::vector<std::unique_ptr<VirtualServer>> servers_;
};

}  // namespace graniteseam::testbed
