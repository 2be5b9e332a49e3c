/// @file
/// Rules for what may follow the end of an attempt.
#pragma once

#include <cstdint>
#include <optional>

#include "graniteseam/common/time.h"
#include "src/gateway/gateway_events.h"
#include "src/gateway/live_request.h"
#include "src/gateway/shared_retry_budget.h"

namespace graniteseam::gateway {

/// Whether the request ran, or may have run, in the attempt.
auto may_have_run(AttemptEnd end) -> bool;

/// Whether an answer's status states that the request has not run and never will.
auto promises_not_run(AttemptReport const& report) -> bool;

/// Whether an answer goes to the caller at once, without considering a retry.
auto is_final_answer(AttemptReport const& report) -> bool;

/// Whether an answer may go to the caller when the request is not retried. A status by which a
/// server would state that a request did not run may not: without the header that confirms it, the
/// status guarantees nothing.
auto may_be_relayed(AttemptReport const& report) -> bool;

/// Decides whether a request is retried after an attempt, and reserves the retry in the budget. A
/// retry that was reserved and sent no byte stays reserved.
/// Invariant: an unsafe request that may have run in the attempt is never retried.
/// @return nullopt when it is retried, else the reason why not.
auto retry_block_reason(LiveRequest& request, AttemptEnd end, SharedRetryBudget& budget,
                        std::uint32_t gateways, Instant now) -> std::optional<RefusalReason>;

}  // namespace graniteseam::gateway
