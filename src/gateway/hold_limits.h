/// @file
/// How long a gateway holds requests that it can't send yet.
#pragma once

#include "graniteseam/common/time.h"
#include "src/gateway/live_request.h"

namespace graniteseam::gateway {

/// Whether a request may still be answered within its target.
auto is_in_time(LiveRequest const& request, Instant now) -> bool;

/// For a request that any server of its service may run, or whose caller had better ask another
/// gateway soon: what is refused early may still be served in time when its caller comes back.
auto short_hold(LiveRequest const& request) -> Duration;

/// For a request that only the owner of its key can run: nobody else can do better, and a caller
/// that comes back finds the same. Counted from `hold_from`, never less than short_hold().
auto owner_hold(LiveRequest const& request) -> Duration;

/// Until when a request may wait for the gateway's first configuration. A gateway that has just
/// started will know its routes in a moment, and its neighbours may have started with it: a caller
/// that is refused finds no better one.
auto configuration_wait_end(LiveRequest const& request) -> Instant;

/// Until when a request may wait for the leader's word on its tenant's quota, which takes a message
/// there and back.
auto token_wait_end(LiveRequest const& request) -> Instant;

/// Until when a request may wait for a token of its owner's limit.
auto limit_wait_end(LiveRequest const& request) -> Instant;

/// When to act on a request that is held for `limit` since `hold_from`, at its deadline at the
/// latest.
/// @return Instant{} when its time to wait is over.
auto hold_timer(LiveRequest const& request, Duration limit, Instant now) -> Instant;

/// When to look again at owners that have no room. All requests that wait for one look at the same
/// instants, so that one look serves them.
auto next_owner_check(Instant now) -> Instant;

}  // namespace graniteseam::gateway
