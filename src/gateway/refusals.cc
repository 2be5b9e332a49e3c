#include "src/gateway/refusals.h"

#include <algorithm>
#include <optional>

#include "graniteseam/traffic/suspect.h"
#include "src/gateway/hold_limits.h"

namespace graniteseam::gateway {
namespace {

constexpr int kBadRequest = 400;
constexpr int kUnauthorised = 401;
constexpr int kNotFound = 404;
constexpr int kTooManyRequests = 429;
constexpr int kUnavailable = 503;

/// Retry-After is the caller's remaining time divided by this. A sooner retry would mostly find the
/// same state; callers with little time may retry only once.
constexpr int kRetryAfterPartOfTimeLeft = 4;
constexpr Duration kRetryAfterMinimum{20'000};
constexpr Duration kRetryAfterMaximum{1'000'000};

auto status_of(RefusalReason reason) -> int {
  switch (reason) {
    case RefusalReason::kNoRoute:
      return kNotFound;
    case RefusalReason::kBadKey:
      return kBadRequest;
    case RefusalReason::kNoApiKey:
    case RefusalReason::kUnknownApiKey:
      return kUnauthorised;
    case RefusalReason::kQuota:
      return kTooManyRequests;
    default:
      return kUnavailable;
  }
}

/// Whether the reason lies in this gateway, so that another one may serve the request now.
auto is_only_here(RefusalReason reason) -> bool {
  return reason == RefusalReason::kStaleOwner || reason == RefusalReason::kOutdated ||
         reason == RefusalReason::kPartitioned || reason == RefusalReason::kStopping;
}

auto declines_hop(RefusalReason reason) -> bool {
  return reason == RefusalReason::kOutdated || reason == RefusalReason::kPartitioned ||
         reason == RefusalReason::kNoConfiguration || reason == RefusalReason::kUnconfirmed ||
         reason == RefusalReason::kStopping;
}

auto retry_after(LiveRequest const& request, RefusalReason reason, Instant now) -> Duration {
  if (is_only_here(reason)) return kRetryAfterMinimum;
  // An earlier retry would be refused again.
  if (reason == RefusalReason::kQuarantined) return traffic::kSuspectRetention;
  // The server has room but fails some requests: another attempt may succeed, and still be in time.
  auto const ends_retries =
      reason == RefusalReason::kAttemptsUsed || reason == RefusalReason::kBudget;
  if (ends_retries && request.refused_with_slot && is_in_time(request, now))
    return kRetryAfterMinimum;
  if (request.return_after) return std::max(*request.return_after, kRetryAfterMinimum);
  if (reason == RefusalReason::kResting && request.server_back_off_until > now) {
    return std::clamp<Duration>(request.server_back_off_until - now, kRetryAfterMinimum,
                                kRetryAfterMaximum);
  }
  auto const left = request.arrived.time_left - (now - request.received);
  return std::clamp<Duration>(left / kRetryAfterPartOfTimeLeft, kRetryAfterMinimum,
                              kRetryAfterMaximum);
}

}  // namespace

auto refusal_without_run(LiveRequest const& request, NotRunProof not_run, RefusalReason reason,
                         Instant now) -> Refuse {
  Refuse refusal(request.arrived.number, not_run, status_of(reason), reason);
  refusal.declines_hop = request.arrived.hop && declines_hop(reason);
  if (refusal.status == kUnavailable) refusal.retry_after = retry_after(request, reason, now);
  return refusal;
}

auto refusal_by_quota(LiveRequest const& request, NotRunProof not_run, Duration retry_after)
    -> Refuse {
  Refuse refusal(request.arrived.number, not_run, kTooManyRequests, RefusalReason::kQuota);
  refusal.retry_after = retry_after;
  return refusal;
}

auto refusal_of_unknown_outcome(LiveRequest const& request) -> Refuse {
  return {request.arrived.number, UnknownOutcomeStatus::kBadGateway};
}

auto refusal_at_deadline(LiveRequest const& request) -> Refuse {
  return {request.arrived.number, UnknownOutcomeStatus::kGatewayTimeout};
}

}  // namespace graniteseam::gateway
