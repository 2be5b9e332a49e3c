// Slots that requests ask for at the coordinators of their keys' owners.
#include <algorithm>
#include <string>
#include <utility>

#include "graniteseam/common/duration_text.h"
#include "src/gateway/gateway_node.h"
#include "src/gateway/hold_limits.h"

namespace graniteseam::gateway {
namespace {

using coordination::SlotResult;

static_assert(traffic::kCoordinatedTargetMinimum == 8 * coordination::answer_limit);

}  // namespace

bool GatewayNode::IsCoordinatedService(const ServiceName& service) const {
  // Keys that are leased by heartbeat move a heartbeat late, so that moves cannot answer a burst.
  return !options_.coordination_address.empty() && traffic_.is_leased_by_heartbeat(service) &&
         traffic_.routes().LongestTarget(service) >= traffic::kCoordinatedTargetMinimum;
}

bool GatewayNode::IsCoordinated(const LiveRequest& request, const Backend& owner,
                                Instant now) const {
  if (!IsCoordinatedService(request.service) || coordinators_.size() == 0) return false;
  // Its requests are bound by tokens of the leader.
  const BackendTable& backends = traffic_.backends();
  if (backends.NeedsToken(owner, now) || BackendTable::IsWarmingUp(owner, now)) return false;
  // A slot could not be used: the owner backs off, or must be probed first.
  return !backends.SendBlockReason(owner, now).has_value();
}

std::optional<GatewayNode::Step> GatewayNode::TrySlot(LiveRequest& request, const Backend& owner,
                                                      Instant now) {
  SlotHold& slot = request.slot;
  const traffic::InstanceId& id = owner.instance.report.id;
  const bool coordinated = IsCoordinated(request, owner, now);
  if (!coordinated || slot.server != id) WithdrawSlot(request);
  if (!coordinated) return std::nullopt;
  if (slot.granted) return Send(request, owner, now);
  if (slot.number != 0) {
    if (now < slot.hold_end) {
      requests_.set_timer(request, std::min(slot.hold_end, request.give_up));
      return Step::kWaits;
    }
    WithdrawSlot(request);
    request.waits_for = RefusalReason::kOverloaded;
    requests_.set_timer(request, {});
    return Step::kWaits;
  }
  if (slot.unanswered && slot.server == id) return std::nullopt;
  const traffic::GatewayPeer* const coordinator =
      coordinators_.coordinator_of(id, owner.instance.report.zone);
  if (coordinator == nullptr || !slots_.may_ask(coordinator->id, now)) return std::nullopt;
  return AskForSlot(request, owner, *coordinator, now);
}

GatewayNode::Step GatewayNode::AskForSlot(LiveRequest& request, const Backend& owner,
                                          const traffic::GatewayPeer& coordinator, Instant now) {
  const Duration hold = slot_hold(request, now);
  coordination::SlotRequest ask;
  ask.service = request.service;
  ask.instance = owner.instance.report.id;
  ask.slots = static_cast<std::uint32_t>(std::max<std::int64_t>(1, owner.instance.report.slots));
  ask.priority = request.priority;
  ask.target_left_us = target_left(request, now).count();
  ask.time_left_us = (request.give_up - now).count();
  ask.hold_us = hold.count();
  ask.returned = request.age > Duration{};
  SlotHold& slot = request.slot;
  slot = {};
  slot.number = slots_.ask(coordinator, std::move(ask), now);
  slot.server = owner.instance.report.id;
  // The coordinator ends the wait; this end is for one whose answer is lost.
  slot.hold_end = now + hold + coordination::answer_limit;
  slot_requests_[slot.number] = request.arrived.number;
  request.waits_for = RefusalReason::kOverloaded;
  Note(request.arrived.number, "slot_asked", slot.server,
       "coordinator " + coordinator.id.value + ", target left " + InMs(target_left(request, now)) +
           ", age " + InMs(request.age) + ", hold " + InMs(hold));
  requests_.set_timer(request, std::min(slot.hold_end, request.give_up));
  return Step::kWaits;
}

void GatewayNode::EndSlot(LiveRequest& request, const coordination::SlotRelease& release) {
  if (request.slot.number == 0) return;
  coordination::SlotRelease ended = release;
  ended.number = request.slot.number;
  const bool unused = ended.outcome == coordination::SlotOutcome::kUnused;
  if (request.slot.granted && unused) ++effects_.slot_grants_unused;
  slots_.end(ended);
  slot_requests_.erase(ended.number);
  request.slot = {};
}

void GatewayNode::ReleaseSlot(LiveRequest& request, const AttemptReport& report, Duration taken) {
  request.refused_with_slot =
      request.slot.granted && report.end == AttemptEnd::kNotExecuted && !report.not_owner;
  coordination::SlotRelease release;
  switch (report.end) {
    case AttemptEnd::kAnswered:
      release.outcome = coordination::SlotOutcome::kServed;
      if (report.status < kFirstFailureStatus) release.served_us = taken.count();
      break;
    case AttemptEnd::kNotExecuted:
    case AttemptEnd::kNotSent:
      release.outcome = coordination::SlotOutcome::kNotRun;
      break;
    case AttemptEnd::kLost:
    case AttemptEnd::kUnusable:
      release.outcome = coordination::SlotOutcome::kLost;
      break;
  }
  // An answer that may be another instance's tells nothing of this server's load.
  if (report.load && !report.not_owner) {
    release.has_load = true;
    release.running = report.load->running;
    release.waiting = report.load->waiting;
    release.slots = report.load->slots;
  }
  EndSlot(request, release);
}

GatewayEffects GatewayNode::OnSlotBatch(std::string_view from, const coordination::SlotBatch& batch,
                                        Instant now) {
  if (!batch.requests.empty() || !batch.releases.empty()) {
    DeliverSlots(coordinator_.on_batch(from, batch, now), now);
  }
  ApplySlotResults(slots_.on_batch(batch, now), now);
  return Finish(now);
}

void GatewayNode::SendSlotMessages(Instant now) { DeliverSlots(slots_.take_sends(), now); }

void GatewayNode::DeliverSlots(std::vector<coordination::SlotSend> sends, Instant now) {
  for (coordination::SlotSend& send : sends) {
    if (send.address != options_.coordination_address) {
      effects_.actions.emplace_back(SendSlots{std::move(send)});
      continue;
    }
    // This gateway coordinates the server itself.
    const auto answers = coordinator_.on_batch(send.address, send.batch, now);
    ApplySlotResults(slots_.on_batch(send.batch, now), now);
    DeliverSlots(answers, now);
  }
  for (std::string& address : slots_.take_silent()) {
    effects_.actions.emplace_back(ResetPeer{std::move(address)});
  }
  // Results may have led to further messages.
  auto more = slots_.take_sends();
  if (!more.empty()) DeliverSlots(std::move(more), now);
}

void GatewayNode::ApplySlotResults(const std::vector<SlotResult>& results, Instant now) {
  for (const SlotResult& result : results) ApplySlotResult(result, now);
}

void GatewayNode::ApplySlotResult(const SlotResult& result, Instant now) {
  const auto found = slot_requests_.find(result.number);
  if (found == slot_requests_.end()) return;
  LiveRequest& request = requests_.at(found->second);
  const RequestNumber number = request.arrived.number;
  effects_.slot_results.push_back(result);
  const std::string queue =
      ", queue " + std::to_string(result.queued) + ", after " + InMs(result.waited);
  switch (result.kind) {
    case SlotResult::Kind::kQueued:
      request.slot.queued = true;
      Note(number, "slot_queued", request.slot.server, "start in " + InMs(result.start_in) + queue);
      return;
    case SlotResult::Kind::kGranted:
      Note(number, "slot_granted", request.slot.server,
           "start error " + InMs(result.start_error) + queue);
      request.slot.granted = true;
      break;
    case SlotResult::Kind::kUnanswered:
      Note(number, "slot_timeout", request.slot.server, queue.substr(2));
      slot_requests_.erase(found);
      request.slot.number = 0;
      request.slot.unanswered = true;
      // The server had no room for it within its time to wait.
      if (request.slot.queued && now >= request.slot.hold_end) {
        return End(request, RefusalReason::kOverloaded, now);
      }
      break;
    case SlotResult::Kind::kRejected:
      Note(number, "slot_rejected", request.slot.server,
           "return after " + InMs(result.retry_after) + queue);
      slot_requests_.erase(found);
      request.slot = {};
      request.return_after = result.retry_after;
      return End(request, RefusalReason::kOverloaded, now);
  }
  // Timers stop while a machine is suspended: the grant may be read before they fire.
  if (now >= request.give_up) return GiveUp(request, now);
  if (TryNext(request, now) == Step::kSent) return;
  // What blocks it may last longer than the server should be kept idle.
  if (request.slot.granted) WithdrawSlot(request);
  if (request.timer == Instant{}) End(request, request.waits_for, now);
}

}  // namespace graniteseam::gateway
