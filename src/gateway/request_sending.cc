// Choice of a server for waiting requests, and their waits.
#include <algorithm>
#include <cmath>
#include <utility>

#include "src/gateway/gateway_node.h"
#include "src/gateway/hold_limits.h"

namespace graniteseam::gateway {
namespace {

/// The part of the limit of a key's owner that all gateways together send on their own tokens while
/// no leader grants any: enough to detect that the limit has ended.
constexpr double kOwnPartWithoutLeader = 0.2;

}  // namespace

void GatewayNode::ServeWaiting(const ServiceName& service, Instant now) {
  const bool keyed = traffic_.is_keyed(service);
  std::vector<WaitingPlace> places = requests_.queue_of(service);
  // Requests that can still be answered within their targets go first: a request that is already
  // late loses nothing more by a little extra delay.
  if (keyed) {
    std::stable_partition(places.begin(), places.end(), [&](const WaitingPlace& place) {
      return is_in_time(requests_.at(place.number), now);
    });
  }
  for (const WaitingPlace& place : places) {
    LiveRequest& request = requests_.at(place.number);
    // Timers stop while a machine is suspended: the event that wakes it may arrive before they
    // fire.
    if (now >= request.give_up) {
      GiveUp(request, now);
      continue;
    }
    if (TryNext(request, now) != Step::kWaits) continue;
    if (request.timer == Instant{}) {
      End(request, request.waits_for, now);
    } else if (!keyed && request.not_before <= now) {
      return HoldBehind(place, places, now);
    }
  }
}

void GatewayNode::ServeAllWaiting(Instant now) {
  for (const ServiceName& service : requests_.queued_services()) ServeWaiting(service, now);
}

void GatewayNode::HoldBehind(const WaitingPlace& place, const std::vector<WaitingPlace>& places,
                             Instant now) {
  const RefusalReason reason = requests_.at(place.number).waits_for;
  for (const WaitingPlace& behind : places) {
    if (!(place < behind)) continue;
    LiveRequest& later = requests_.at(behind.number);
    if (later.timer != Instant{}) continue;
    Wait(later, reason, short_hold(later), now);
    if (later.timer == Instant{}) End(later, reason, now);
  }
}

GatewayNode::Step GatewayNode::TryNext(LiveRequest& request, Instant now) {
  if (Forward(request, now)) return Step::kSent;
  // The newer configuration arrives here soon.
  if (IsBehindPeers() && !request.arrived.hop) {
    return Wait(request, RefusalReason::kOutdated, short_hold(request), now);
  }
  if (now < request.not_before) {
    requests_.set_timer(request, std::min(request.not_before, request.give_up));
    return Step::kWaits;
  }
  if (traffic_.is_keyed(request.service)) return TryOwner(request, now);
  // The service may have had keys when the request asked for a slot.
  WithdrawSlot(request);
  return TryPool(request, now);
}

GatewayNode::Step GatewayNode::TryOwner(LiveRequest& request, Instant now) {
  const BackendTable& backends = traffic_.backends();
  const traffic::KeyRange* range = traffic_.keys().Find(request.service, *request.arrived.key);
  const Backend* owner = range != nullptr && range->phase == traffic::RangePhase::kServing
                             ? backends.Find(range->owner)
                             : nullptr;
  if (owner == nullptr || backends.DrainAllowanceElapsed(*owner, now)) {
    WithdrawSlot(request);
    return WaitForOwner(request, RefusalReason::kNoOwner, now);
  }
  if (traffic_.keys().IsOwnerStale(*range, now)) {
    WithdrawSlot(request);
    // This gateway's map is out of date: the caller should soon try another gateway.
    return Wait(request, RefusalReason::kStaleOwner, short_hold(request), now);
  }
  if (now < owner->paused_until) {
    WithdrawSlot(request);
    return WaitForOwner(request, RefusalReason::kOwnerFails, now);
  }
  if (const auto step = TrySlot(request, *owner, now)) return *step;
  const bool room = is_in_time(request, now) ? backends.HasRoom(*owner, request.target_latency, now)
                                             : backends.HasFreeSlot(*owner, now);
  if (!room) return WaitForOwner(request, RefusalReason::kOverloaded, now);
  if (backends.NeedsProbe(*owner, now)) return ProbeOwner(request, *owner, now);
  return Send(request, *owner, now);
}

GatewayNode::Step GatewayNode::ProbeOwner(LiveRequest& request, const Backend& owner, Instant now) {
  const Step step = WaitForOwner(request, RefusalReason::kOwnerFails, now);
  if (request.timer != Instant{}) Probe(request, {&owner}, now);
  return step;
}

GatewayNode::Step GatewayNode::TryPool(LiveRequest& request, Instant now) {
  if (!request.probes.asked.empty()) {
    if (SendToProbed(request, now)) return Step::kSent;
  } else if (BeginProbes(request, now)) {
    return Step::kWaits;
  }
  BackendTable& backends = traffic_.backends();
  const Backend* backend =
      backends.Choose(request.service, request.tried, request.target_latency, now);
  // With no other server left, one that was already tried may succeed now.
  if (backend == nullptr)
    backend = backends.Choose(request.service, {}, request.target_latency, now);
  if (backend == nullptr) {
    const Step step = Wait(request, RefusalReason::kNoServer, short_hold(request), now);
    // Others than those that were probed may answer.
    const bool probes_again = backends.StateMayBeOutdated(now) && request.timer != Instant{};
    if (probes_again && now < request.probes.back_off_until) {
      request.not_before = request.probes.back_off_until;
      requests_.set_timer(request, std::min(request.timer, request.not_before));
    }
    return step;
  }
  if (!backends.HasRoom(*backend, request.target_latency, now)) {
    return Wait(request, RefusalReason::kOverloaded, short_hold(request), now);
  }
  return Send(request, *backend, now);
}

bool GatewayNode::BeginProbes(LiveRequest& request, Instant now) {
  const bool applies =
      probes_.applies(request.service, now) || traffic_.backends().StateMayBeOutdated(now);
  if (now < request.probes.back_off_until || !applies) return false;
  if (traffic_.health_path(request.service).empty()) return false;
  const BackendTable::Backends servers = traffic_.backends().DrawForProbes(
      request.service, request.tried, probes_.options().per_request, now);
  if (servers.empty()) return false;
  Probe(request, servers, now);
  return true;
}

void GatewayNode::Probe(LiveRequest& request, const BackendTable::Backends& servers, Instant now) {
  const ProbeOptions& options = probes_.options();
  const std::string path = traffic_.health_path(request.service);
  ProbeRound& round = request.probes;
  ++round.number;
  round.loads_received = 0;
  round.asked.clear();
  for (const Backend* const backend : servers) {
    const traffic::InstanceReport& instance = backend->instance.report;
    round.asked.push_back(instance.id);
    effects_.actions.emplace_back(ProbeInstance{request.arrived.number, round.number, instance.id,
                                                instance.address, path, options.wait});
  }
  round.open = static_cast<std::uint32_t>(round.asked.size());
  request.not_before = now + options.wait;
  requests_.set_timer(request, std::min(request.not_before, request.give_up));
}

bool GatewayNode::SendToProbed(LiveRequest& request, Instant now) {
  const std::vector<traffic::InstanceId> asked = std::exchange(request.probes.asked, {});
  request.probes.open = 0;
  Note(request.arrived.number, "probed", {},
       std::to_string(request.probes.loads_received) + " of " + std::to_string(asked.size()) +
           " reported their load");
  const Backend* const backend =
      traffic_.backends().FastestProbed(asked, request.target_latency, now);
  if (backend == nullptr) {
    request.probes.back_off_until = now + probes_.options().rest;
    return false;
  }
  return Send(request, *backend, now) == Step::kSent;
}

GatewayNode::Step GatewayNode::Send(LiveRequest& request, const Backend& backend, Instant now) {
  if (const auto block_reason = traffic_.backends().SendBlockReason(backend, now)) {
    const bool keyed = traffic_.is_keyed(request.service);
    if (!keyed) return Wait(request, *block_reason, short_hold(request), now);
    if (*block_reason == RefusalReason::kResting) return WaitForBackOff(request, backend, now);
    if (*block_reason != RefusalReason::kLimited) return WaitForOwner(request, *block_reason, now);
    if (WaitForToken(request, backend, now) == Step::kWaits) return Step::kWaits;
  }
  BeginAttempt(request, backend, now);
  return Step::kSent;
}

GatewayNode::Step GatewayNode::WaitForBackOff(LiveRequest& request, const Backend& owner,
                                              Instant now) {
  const traffic::InstanceId& id = owner.instance.report.id;
  request.waits_for = RefusalReason::kResting;
  request.server_back_off_until = traffic_.backends().pressure().back_off_until(id);
  const bool ends_soon = !BacksOffPastHold(request, id) && now < request.server_back_off_until;
  requests_.set_timer(request, ends_soon ? request.server_back_off_until : Instant{});
  return Step::kWaits;
}

bool GatewayNode::BacksOffPastHold(const LiveRequest& request,
                                   const traffic::InstanceId& owner) const {
  const Instant hold_end = std::min(request.hold_from + owner_hold(request), request.give_up);
  return traffic_.backends().pressure().back_off_until(owner) >= hold_end;
}

GatewayNode::Step GatewayNode::WaitForToken(LiveRequest& request, const Backend& owner,
                                            Instant now) {
  const traffic::InstanceId& id = owner.instance.report.id;
  const BackPressureTable& pressure = traffic_.backends().pressure();
  if (request.token_wait_since == Instant{}) request.token_wait_since = now;
  request.waits_for = RefusalReason::kLimited;
  const Instant end = limit_wait_end(request);
  const bool leader_timed_out = now >= end;
  if (leader_timed_out && pressure.has_own_token(id, kOwnPartWithoutLeader, now)) {
    return Step::kSent;
  }
  if (leader_timed_out || pressure.is_exhausted(id, now)) {
    requests_.set_timer(request, {});
    return Step::kWaits;
  }
  requests_.set_timer(request, end);
  limit_queue_.add(id, request.arrived.number);
  AskForTokens(now);
  return Step::kWaits;
}

void GatewayNode::BeginAttempt(LiveRequest& request, const Backend& backend, Instant now) {
  requests_.dequeue(request);
  limit_queue_.remove(request.arrived.number);
  request.token_wait_since = {};
  request.slot.unanswered = false;
  const traffic::InstanceId id = backend.instance.report.id;
  Note(request.arrived.number, "send", id, traffic_.backends().Describe(backend, now));
  const bool warms_up = BackendTable::IsWarmingUp(backend, now);
  if (warms_up) {
    const std::string role = traffic_.is_keyed(request.service) ? "owner, " : "pool, ";
    Note({}, "send_while_warming_up", id, role + traffic_.backends().DescribeWarmUp(backend, now));
  }
  ++request.attempts;
  request.tried.push_back(id);
  SendAttempt send;
  send.request = request.arrived.number;
  send.attempt = request.record.begin(id, now);
  send.instance = id;
  send.address = backend.instance.report.address;
  send.time_left = request.give_up - now;
  send.server_warms_up = warms_up;
  send.tenant = request.tenant;
  send.hides_api_key = traffic_.tenants().keys_required();
  effects_.actions.emplace_back(std::move(send));
  traffic_.backends().OnSent(id, now);
  const auto expected = Duration(std::llround(backend.latency_us));
  reachability_.note_sent(request.arrived.number, id, expected, now);
  requests_.set_timer(request, request.give_up);
}

GatewayNode::Step GatewayNode::Wait(LiveRequest& request, RefusalReason reason, Duration limit,
                                    Instant now) {
  request.waits_for = reason;
  requests_.set_timer(request, hold_timer(request, limit, now));
  return Step::kWaits;
}

GatewayNode::Step GatewayNode::WaitForOwner(LiveRequest& request, RefusalReason reason,
                                            Instant now) {
  const Step step = Wait(request, reason, owner_hold(request), now);
  if (request.timer == Instant{}) return step;
  requests_.set_timer(request, std::min(request.timer, next_owner_check(now)));
  return step;
}

}  // namespace graniteseam::gateway
