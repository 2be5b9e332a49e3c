#include "src/gateway/retry_rules.h"

namespace graniteseam::gateway {
namespace {

/// Failed connections after which a request is ended.
constexpr std::uint32_t kUnsentMaximum = 3;

}  // namespace

auto promises_not_run(AttemptReport const& report) -> bool {
  auto const status = report.status;
  auto const promises = status == 408 || status == 421 || status == 429 || status == 503;
  return report.end == AttemptEnd::kAnswered && promises;
}

auto may_have_run(AttemptEnd end) -> bool {
  return end != AttemptEnd::kNotSent && end != AttemptEnd::kNotExecuted;
}

auto is_final_answer(AttemptReport const& report) -> bool {
  return may_be_relayed(report) && report.status < kFirstFailureStatus;
}

auto may_be_relayed(AttemptReport const& report) -> bool {
  return report.end == AttemptEnd::kAnswered && !promises_not_run(report);
}

auto retry_block_reason(LiveRequest& request, AttemptEnd end, SharedRetryBudget& budget,
                        std::uint32_t gateways, Instant now) -> std::optional<RefusalReason> {
  auto const ran = may_have_run(end);
  if (ran && !traffic::MayRepeat(request.kind)) return RefusalReason::kOutcomeUnknown;
  // For a request that may have run in this attempt, the caller gets no other reason.
  auto const reason_or_unknown = [ran](RefusalReason reason) {
    return ran ? RefusalReason::kOutcomeUnknown : reason;
  };
  if (now >= request.give_up) return reason_or_unknown(RefusalReason::kDeadline);
  if (end == AttemptEnd::kNotSent) {
    if (request.unsent < kUnsentMaximum) return std::nullopt;
    return RefusalReason::kAttemptsUsed;
  }
  if (request.attempts >= request.attempts_maximum)
    return reason_or_unknown(RefusalReason::kAttemptsUsed);
  if (!budget.Reserve(gateways, now)) return reason_or_unknown(RefusalReason::kBudget);
  // An abandoned attempt may have been a retry.
  if (request.retry_reserved) budget.Spend(now);
  request.retry_reserved = true;
  return std::nullopt;
}

}  // namespace graniteseam::gateway
