/// @file
/// Computes how long a gateway holds requests that it cannot send yet.
#pragma once

#include "graniteseam/common/time.h"
#include "src/gateway/live_request.h"

namespace graniteseam::gateway {

/// Whether a request may still be answered within its target latency.
auto is_in_time(LiveRequest const& request, Instant now) -> bool;

/// Time until the answer to a request loses its full value; negative when it has.
auto target_left(LiveRequest const& request, Instant now) -> Duration;

/// How long a request may wait for a slot at its key's owner: as long as it can be in time, or for
/// a part of the time that its caller has left, so that one refused in the end can return.
auto slot_hold(LiveRequest const& request, Instant now) -> Duration;

/// Hold time of a request that any server of its service may run, or whose caller should soon try
/// another gateway: a request refused early may still be served in time when its caller retries.
auto short_hold(LiveRequest const& request) -> Duration;

/// Hold time of a request that only the owner of its key can run: no other server can run it, and a
/// retry by the caller would find the same state. Counted from `hold_from`, at least short_hold().
auto owner_hold(LiveRequest const& request) -> Duration;

/// The instant until which a request may wait for the gateway's first configuration. A gateway that
/// has just started receives its routes shortly, and other gateways may have started at the same
/// time, so a refused caller would find no better one.
auto configuration_wait_end(LiveRequest const& request) -> Instant;

/// The instant until which a request may wait for the leader's answer on its tenant's quota, which
/// takes one round trip.
auto token_wait_end(LiveRequest const& request) -> Instant;

/// The instant until which a request may wait for a token under its owner's rate limit.
auto limit_wait_end(LiveRequest const& request) -> Instant;

/// When to act on a request that may be held for `limit` after `hold_from`, at the latest at its
/// deadline.
/// @return Instant{} when its hold time is over.
auto hold_timer(LiveRequest const& request, Duration limit, Instant now) -> Instant;

/// When to check owners without room again. All waiting requests share the same instants, so that
/// one check serves them all.
auto next_owner_check(Instant now) -> Instant;

}  // namespace graniteseam::gateway
