/// @file
/// Per-request state of RequestFlow.
#pragma once

#include <memory>
#include <optional>
#include <vector>

#include "src/routing/request_flow.h"

namespace graniteseam::routing {

/// One attempt in flight.
struct RequestFlow::Flight {
  AttemptNumber number = 0;
  ServerId server;
  Epoch epoch;
  Instant sent_at{};
};

/// One request that has not been answered yet.
struct RequestFlow::Live {
  enum class Phase {
    kNew,
    kQueued,    ///< In the limiter's queue.
    kHeld,      ///< Waits for a usable owner or the end of a back-off; holds no slot.
    kClaiming,  ///< Waits for the journal; holds a slot and a reservation.
    kSending,   ///< Has attempts in flight; holds a slot.
  };

  Live(const CallerRequest& request, std::shared_ptr<ServiceRouter> service_router,
       RequestTraits traits, const RetryOptions& options, Instant now, Instant deadline)
      : caller(request),
        service(std::move(service_router)),
        state(traits, options, now, deadline) {}

  CallerRequest caller;
  std::shared_ptr<ServiceRouter> service;
  RequestState state;
  Phase phase = Phase::kNew;
  std::uint32_t shard = 0;
  admission::Lane lane = 0;          ///< In which it is queued.
  bool has_group_slot = false;       ///< Whether it holds a slot of the group's limit.
  std::optional<ServerId> reserved;  ///< Server with a reserved slot for the next attempt.
  std::optional<std::uint64_t> claim;
  bool claimed = false;
  std::vector<Flight> flights;
  std::vector<ServerId> avoided;  ///< Servers that failed this request.
  Epoch failed_epoch;             ///< Epoch at which the shard's owner could not serve it.
  std::optional<Instant> timer;
};

}  // namespace graniteseam::routing
