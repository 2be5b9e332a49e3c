/// @file
/// Builds the gateway's own answers to requests.
#pragma once

#include "graniteseam/common/time.h"
#include "src/gateway/gateway_events.h"
#include "src/gateway/live_request.h"

namespace graniteseam::gateway {

/// The answer to a request that has not run and never will. Status 503 includes a retry time.
auto refusal_without_run(LiveRequest const& request, NotRunProof not_run, RefusalReason reason,
                         Instant now) -> Refuse;

/// The answer to a request whose tenant's quota is used up.
/// @param retry_after when the quota may have room again.
auto refusal_by_quota(LiveRequest const& request, NotRunProof not_run, Duration retry_after)
    -> Refuse;

/// The answer to a request that may have run and will not be retried.
auto refusal_of_unknown_outcome(LiveRequest const& request) -> Refuse;

/// The answer to a request that may have run, at its deadline.
auto refusal_at_deadline(LiveRequest const& request) -> Refuse;

}  // namespace graniteseam::gateway
