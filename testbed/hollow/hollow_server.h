/// @file
/// A server that holds leases and runs nothing: the shipped FencedOwner behind a real HTTP port.
#pragma once

#include <httplib.h>

#include <cstdint>
#include <memory>
#include <mutex>
#include <string>
#include <thread>

#include "graniteseam/lease/fenced_owner.h"
#include "src/runtime/socket_address.h"
#include "testbed/hollow/event_log.h"

namespace graniteseam::testbed {

/// Counters of one server since its process began.
struct HollowServerStats {
  std::uint64_t exchanges = 0;
  std::uint64_t bytes = 0;   ///< Of requests and answers, heads and bodies.
  std::uint64_t lapses = 0;  ///< Lease messages that came after the lease had ended.
  std::size_t shards = 0;
};

/// Lifecycle: Start(), then Kill() and Start() any number of times; each start is a new incarnation
/// on the same port. Thread safe.
class HollowServer {
 public:
  HollowServer(ServerId id, EventLog& events);
  ~HollowServer();
  HollowServer(const HollowServer&) = delete;
  HollowServer& operator=(const HollowServer&) = delete;

  Result<void> Start();
  /// Goes away without a word.
  /// @return the shards that it held.
  std::vector<lease::ShardGrant> Kill();

  const ServerId& id() const { return id_; }
  const runtime::SocketAddress& address() const { return address_; }
  HollowServerStats Stats() const;

 private:
  void Answer(const httplib::Request& request, httplib::Response& response);
  lease::LeaseAnswer Take(const lease::LeaseRequest& request);

  const ServerId id_;
  EventLog& events_;
  runtime::SocketAddress address_{"127.0.0.1", 0};
  std::unique_ptr<httplib::Server> server_;
  std::thread thread_;
  mutable std::mutex mutex_;  ///< Guards what follows.
  std::unique_ptr<lease::FencedOwner> owner_;
  Term last_term_;
  HollowServerStats stats_;
};

}  // namespace graniteseam::testbed
