/// @file
/// What RequestFlow remembers of one live request.
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

struct RequestFlow::Live {
  enum class Phase {
    kNew,
    kQueued,    ///< In the limiter's queue.
    kHeld,      ///< Waits for a usable owner or for a back-off to end; holds no place.
    kClaiming,  ///< Waits for the journal; holds a place and a reservation.
    kSending,   ///< Has attempts in flight; holds a place.
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
  admission::Lane lane = 0;          ///< Where it is queued.
  bool has_place = false;            ///< In the group's limit.
  std::optional<ServerId> reserved;  ///< Server at which a place is kept for the next attempt.
  std::optional<std::uint64_t> claim;
  bool claimed = false;
  std::vector<Flight> flights;
  std::vector<ServerId> avoided;  ///< Servers that failed this request.
  Epoch failed_epoch;             ///< At which the shard's owner could not serve it.
  std::optional<Instant> timer;
};

}  // namespace graniteseam::routing
