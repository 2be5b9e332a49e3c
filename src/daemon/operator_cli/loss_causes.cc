#include "src/daemon/operator_cli/loss_causes.h"

#include <algorithm>
#include <iterator>

namespace graniteseam::operator_cli {
namespace {

constexpr std::int64_t kFirstServerErrorStatus = 500;
constexpr std::int64_t kUsualPercent = 100;

/// The cause of a refusal, where its reason alone tells it.
struct ReasonCause {
  std::string_view reason;
  LossCause cause;
};

constexpr ReasonCause kReasonCauses[] = {
    {"hot_key", LossCause::kHotKey},
    {"no_owner", LossCause::kNoOwner},
    {"stale_owner", LossCause::kNoOwner},
    {"no_server", LossCause::kNoOwner},
    {"owner_fails", LossCause::kFailedAttempt},
    {"retry_budget", LossCause::kFailedAttempt},
    {"attempts_used", LossCause::kFailedAttempt},
    {"deadline", LossCause::kDeadline},
};

/// Whether its caller had used up the target latency before it came: it had no chance here.
auto came_too_late(RequestFacts const& request) -> bool {
  return request.target && request.age >= *request.target;
}

auto cause_of_refusal(RequestFacts const& request) -> LossCause {
  if (request.outcome == "overloaded") {
    if (came_too_late(request)) return LossCause::kReturnedAfterRejection;
    if (request.slot_rejected) return LossCause::kRejectedByCoordinator;
    return request.slot_asked ? LossCause::kSlotWait : LossCause::kOwnerWithoutRoom;
  }
  auto const* const found =
      std::find_if(std::begin(kReasonCauses), std::end(kReasonCauses),
                   [&](auto const& one) { return one.reason == request.outcome; });
  if (found == std::end(kReasonCauses)) return LossCause::kOther;
  // No other server took it after its attempt.
  if (found->cause == LossCause::kNoOwner && request.attempt_failed) {
    return LossCause::kFailedAttempt;
  }
  return found->cause;
}

/// Time from the first sending on; all of the time if it was never sent.
auto time_since_sent(RequestFacts const& request) -> std::int64_t {
  return request.answered_at - request.first_sent_at.value_or(0);
}

auto time_lost(RequestFacts const& request, LossCause cause) -> std::int64_t {
  switch (cause) {
    case LossCause::kReturnedAfterRejection:
      return request.age;
    case LossCause::kSlotWait:
    case LossCause::kRejectedByCoordinator:
      return request.slot_wait;
    case LossCause::kFailedAttempt:
      return time_since_sent(request);
    case LossCause::kHotKey:
    case LossCause::kNoOwner:
    case LossCause::kOwnerWithoutRoom:
      return request.answered_at - request.connection_wait;
    default:
      return request.answered_at;
  }
}

/// The part of the time at the server by which slow work prolonged it: all that happens there,
/// waits included, takes work_percent of its usual time.
auto time_of_slowness(RequestFacts const& request, std::int64_t at_server) -> std::int64_t {
  auto const percent = std::max(request.work_percent.value_or(kUsualPercent), kUsualPercent);
  return at_server - at_server * kUsualPercent / percent;
}

/// The part of the rest that exceeds the server's usual time.
auto time_in_queue(RequestFacts const& request, std::int64_t rest) -> std::int64_t {
  if (request.usual_latency) return rest - *request.usual_latency;
  return request.server_was_full ? rest : 0;
}

auto loss_of_late(RequestFacts const& request) -> Loss {
  if (came_too_late(request)) {
    return {LossKind::kLate, LossCause::kReturnedAfterRejection, request.age};
  }
  Loss loss{LossKind::kLate, LossCause::kOther, 0};
  auto const consider = [&](LossCause cause, std::int64_t lost) {
    if (lost > loss.lost) loss = {LossKind::kLate, cause, lost};
  };
  consider(LossCause::kConnectionWait, request.connection_wait);
  consider(LossCause::kReturnedAfterRejection, request.age);
  consider(LossCause::kSlotWait, request.slot_wait);
  if (!request.first_sent_at) return loss;
  auto const first = *request.first_sent_at;
  auto const last = request.last_sent_at.value_or(first);
  consider(LossCause::kOwnerWithoutRoom, first - request.connection_wait - request.slot_wait);
  consider(LossCause::kFailedAttempt, last - first);
  auto const at_server = request.answered_at - last;
  auto const slowness = time_of_slowness(request, at_server);
  consider(LossCause::kSlowServer, slowness);
  consider(LossCause::kServerQueue, time_in_queue(request, at_server - slowness));
  return loss;
}

}  // namespace

auto decide_loss(RequestFacts const& request) -> Loss {
  if (request.outcome == "relayed") {
    if (request.status >= kFirstServerErrorStatus) {
      return {LossKind::kFailed, LossCause::kFailedAttempt, time_since_sent(request)};
    }
    auto const late = request.target && request.answered_at + request.age > *request.target;
    return late ? loss_of_late(request) : Loss{};
  }
  if (request.outcome == "outcome_unknown") {
    auto const cause = request.gave_up ? LossCause::kDeadline : LossCause::kFailedAttempt;
    return {LossKind::kFailed, cause, time_lost(request, cause)};
  }
  auto const cause = cause_of_refusal(request);
  return {LossKind::kRefused, cause, time_lost(request, cause)};
}

auto name_of(LossCause cause) -> std::string_view {
  switch (cause) {
    case LossCause::kConnectionWait:
      return "waited on its connection";
    case LossCause::kOwnerWithoutRoom:
      return "waited for an owner without room";
    case LossCause::kSlotWait:
      return "waited for a slot";
    case LossCause::kRejectedByCoordinator:
      return "rejected by a coordinator";
    case LossCause::kHotKey:
      return "hot key";
    case LossCause::kServerQueue:
      return "waited in the server's queue";
    case LossCause::kSlowServer:
      return "slow or noisy server";
    case LossCause::kReturnedAfterRejection:
      return "came back after a rejection";
    case LossCause::kNoOwner:
      return "no owner";
    case LossCause::kFailedAttempt:
      return "failed attempt and retry";
    case LossCause::kDeadline:
      return "deadline";
    case LossCause::kOther:
      break;
  }
  return "other";
}

}  // namespace graniteseam::operator_cli
