/// @file
/// A stand-in for a server that registers itself: heartbeats, grants of keys under fences, requests
/// that are run or refused as the interface says. Records what it ran.
#pragma once

#include <boost/asio/steady_timer.hpp>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <vector>

#include "src/daemon/control/owner_calls.h"
#include "src/daemon/gateway/exchange_names.h"
#include "src/event_http/client_pool.h"
#include "src/event_http/server.h"
#include "src/runtime/event_loop.h"

namespace graniteseam::testbed {

struct WorkerOptions {
  std::string id;
  std::string service;
  std::string zone;
  bool keyed = false;
  std::vector<std::string> registries;  ///< "ip:port" of control processes.
  daemon::ExchangeNames names;
  daemon::OwnerCallNames owner_names;
  Duration work{5'000};
  Duration heartbeat{200'000};
};

/// One request that a worker ran.
struct WorkerRun {
  std::string worker;
  std::string attempt;
  std::optional<std::uint32_t> key;
  std::uint64_t fence = 0;
  Instant begun{};
  Instant ended{};
};

/// A span of keys that a worker held.
struct HeldSpan {
  std::uint32_t first = 0;
  std::uint32_t last = 0;
  std::uint64_t fence = 0;
  Instant until{};
};

/// Lifecycle: constructed running; Stop() or destruction ends it as a crash would. Thread safe.
class Worker {
 public:
  explicit Worker(WorkerOptions options);
  ~Worker();
  Worker(const Worker&) = delete;
  Worker& operator=(const Worker&) = delete;

  /// From the next heartbeat on it says that it drains.
  void Drain();
  /// Whether a heartbeat that said so was acknowledged.
  bool drain_acknowledged() const;
  void Stop();

  std::vector<WorkerRun> runs() const;
  /// Requests that arrived after the drain was acknowledged and `allowance` had passed.
  std::size_t arrivals_after_drain(Duration allowance) const;

 private:
  class Impl;
  std::shared_ptr<Impl> impl_;
};

}  // namespace graniteseam::testbed
