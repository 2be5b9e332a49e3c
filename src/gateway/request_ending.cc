// The end of an attempt and of a request: answer, retry or refusal.
#include <algorithm>
#include <string>

#include "graniteseam/common/duration_text.h"
#include "src/gateway/gateway_node.h"
#include "src/gateway/hold_limits.h"
#include "src/gateway/refusals.h"
#include "src/gateway/retry_rules.h"

namespace graniteseam::gateway {
namespace {

/// Interval between two tries for a key whose owner refused it.
constexpr Duration kOwnerRetry{30'000};
/// How long an owner that replied that it does not own the range gets no request for it.
constexpr Duration kStaleOwnerPeriod{400'000};
/// A caller that takes nothing of its answer is not waited for longer, whatever its deadline.
constexpr Duration kDeliveryMaximum{60'000'000};

std::string AfterMs(Duration taken) { return ", after " + InMs(taken); }

}  // namespace

void GatewayNode::HandleAttemptEnd(LiveRequest& request, const AttemptReport& report, Instant now) {
  const OpenAttempt ended = request.record.end(report.end);
  ReleaseSlot(request, report, now - ended.sent_at);
  if (report.end == AttemptEnd::kNotSent) {
    --request.attempts;
    ++request.unsent;
  } else {
    SpendRetry(request, now);
  }
  RecordForCrashTracking(request, report, ended, now);
  if (is_final_answer(report)) return Relay(request);
  Note(request.arrived.number, "attempt_failed", ended.instance,
       "end " + std::string(EndName(report.end)) + ", status " + std::to_string(report.status) +
           (report.new_connection ? ", connection new" : ", connection kept") +
           AfterMs(now - ended.sent_at) + DescribeCause(report));
  RetryOrEnd(request, report, now);
}

void GatewayNode::RecordForCrashTracking(const LiveRequest& request, const AttemptReport& report,
                                         const OpenAttempt& ended, Instant now) {
  const traffic::RequestDigest digest = request.arrived.digest;
  const bool answered =
      report.end == AttemptEnd::kAnswered || report.end == AttemptEnd::kNotExecuted;
  if (answered && !report.not_owner) crashes_.note_alive(ended.instance, ended.sent_at);
  if (report.end == AttemptEnd::kLost) {
    crashes_.note_lost(digest, ended.instance, ended.sent_at, now);
  } else if (is_final_answer(report)) {
    crashes_.note_answered(digest, now);
  }
}

void GatewayNode::RetryOrEnd(LiveRequest& request, const AttemptReport& report, Instant now) {
  const bool keyed = traffic_.is_keyed(request.service);
  const traffic::KeyRange* const range =
      keyed ? traffic_.keys().Find(request.service, *request.arrived.key) : nullptr;
  if (report.not_owner && range != nullptr)
    traffic_.keys().MarkOwnerStale(*range, now + kStaleOwnerPeriod);
  if (crashes_.is_quarantined(request.arrived.digest)) {
    return End(request, RefusalReason::kQuarantined, now);
  }
  // The key has no other server, and a retry that cannot be sent must not use up the budget.
  if (range != nullptr && BacksOffPastHold(request, range->owner)) {
    if (may_be_relayed(report)) return Relay(request);
    request.server_back_off_until = traffic_.backends().pressure().back_off_until(range->owner);
    return End(request, RefusalReason::kResting, now);
  }
  const auto block_reason = RetryBlockReason(request, report.end, now);
  if (!block_reason) return Requeue(request, now);
  if (may_be_relayed(report)) return Relay(request);
  End(request, *block_reason, now);
}

void GatewayNode::Requeue(LiveRequest& request, Instant now) {
  // The owner refused the key: it has lost the key, and the next owner is not known here yet.
  const bool again_at_owner = traffic_.is_keyed(request.service);
  request.not_before = again_at_owner ? now + kOwnerRetry : now;
  requests_.enqueue(request);
  request.hold_from = now;
  Wait(request, RefusalReason::kNoServer, short_hold(request), now);
}

void GatewayNode::Relay(LiveRequest& request) {
  const bool bulk = request.kind == traffic::RouteKind::kDownload;
  RelayAnswer relay{request.arrived.number, bulk};
  relay.deliver_by = request.received + std::min(request.arrived.time_left, kDeliveryMaximum);
  if (request.arrived.hop) relay.hop = HopReport{request.tried.back(), configuration()};
  effects_.actions.emplace_back(std::move(relay));
  Remove(request);
}

void GatewayNode::GiveUp(LiveRequest& request, Instant now) {
  if (request.record.not_run()) return End(request, ReasonAtDeadline(request), now);
  const auto& open = request.record.open();
  if (open) SpendRetry(request, now);
  Note(request.arrived.number, "give_up", open ? open->instance : traffic::InstanceId{},
       "deadline or timeout" + DescribeDelay());
  effects_.actions.emplace_back(refusal_at_deadline(request));
  Remove(request);
}

RefusalReason GatewayNode::ReasonAtDeadline(const LiveRequest& request) const {
  if (requests_.is_unrouted(request)) return RefusalReason::kNoConfiguration;
  const bool waits_for_token = token_queue_.contains(request.arrived.number);
  return waits_for_token ? RefusalReason::kQuotaUnknown : RefusalReason::kDeadline;
}

void GatewayNode::End(LiveRequest& request, RefusalReason reason, Instant now) {
  const auto not_run = request.record.not_run();
  Note(request.arrived.number, not_run ? "refuse" : "end_unknown", {},
       std::string(ReasonName(reason)) + ", attempts " + request.record.describe() + ", version " +
           std::to_string(version()) + ", confirmed " + InMs(now - confirmed_at_) + " ago" +
           AfterMs(now - request.received));
  effects_.actions.emplace_back(not_run ? refusal_without_run(request, *not_run, reason, now)
                                        : refusal_of_unknown_outcome(request));
  Remove(request);
}

GatewayEffects GatewayNode::EndAll(Instant now) {
  for (const RequestNumber number : requests_.numbers()) {
    LiveRequest& request = requests_.at(number);
    if (request.record.open()) SpendRetry(request, now);
    End(request, RefusalReason::kStopping, now);
  }
  return Finish(now);
}

void GatewayNode::Remove(LiveRequest& request) {
  Summarise(request);
  token_queue_.remove(request.tenant, request.arrived.number);
  limit_queue_.remove(request.arrived.number);
  const auto& open = request.record.open();
  if (request.charged_to_quota && request.attempts == 0 && !open) {
    quotas_.give_back(request.tenant);
  }
  if (request.retry_reserved) BudgetOf(request.service).Release();
  coordination::SlotRelease release;
  if (open) release.outcome = coordination::SlotOutcome::kLost;
  EndSlot(request, release);
  if (request.peer) peers_.note_end(*request.peer);
  if (open) {
    if (!request.peer) {
      traffic_.backends().OnAbandoned(open->instance);
      reachability_.note_abandoned(request.arrived.number);
    }
    effects_.actions.emplace_back(AbandonAttempt{request.arrived.number, open->number});
  }
  requests_.erase(request);
}

void GatewayNode::Summarise(const LiveRequest& request) {
  RequestSummary& summary = effects_.ended.emplace_back();
  summary.request = request.arrived.number;
  summary.target_latency = request.target_latency;
  summary.routing = request.routing;
  summary.age = request.age;
  if (request.tried.empty()) return;
  const Backend* const server = traffic_.backends().Find(request.tried.back());
  if (server != nullptr) summary.work_percent = server->work_percent;
}

}  // namespace graniteseam::gateway
