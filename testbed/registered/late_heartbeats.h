/// @file
/// Heartbeats that were held up on their way and arrive when their sender may be gone.
#pragma once

#include <string>
#include <vector>

#include "src/event_http/client_pool.h"
#include "src/runtime/event_loop.h"
#include "testbed/registered/worker.h"

namespace graniteseam::testbed {

/// Delivers heartbeats later, following redirects; what they are answered is nobody's any more.
/// Thread safe.
class LateHeartbeats {
 public:
  LateHeartbeats() : pool_(loop_.context(), {}) {}
  ~LateHeartbeats() { loop_.Stop(); }
  LateHeartbeats(LateHeartbeats const&) = delete;
  auto operator=(LateHeartbeats const&) -> LateHeartbeats& = delete;

  /// @param registry "ip:port" of a control process.
  auto Deliver(std::string const& registry, WorkerBeat const& beat, Duration after) -> void;

 private:
  auto Send(std::string const& registry, WorkerBeat const& beat, int redirects) -> void;

  runtime::EventLoop loop_;
  event_http::ClientPool pool_;
};

}  // namespace graniteseam::testbed
