#include "src/control/range_controller.h"

#include <algorithm>
#include <ratio>
#include <utility>

namespace graniteseam::control {
namespace {

using traffic::InstanceState;
using traffic::KeyRange;
using traffic::RangePhase;

/// Interval of decisions without an event: liveness and load balance change with time.
constexpr Duration kDecisionInterval{100'000};
/// Minimum pause after a pass over the fleet for each range and instance that it evaluated, so that
/// events in between are decided together. An evaluation takes half a microsecond of a core, so
/// decisions take at most a twentieth of a core, however many events require them. Without the
/// pause, the second in which 126 of 901 instances left took 1.8 s of a core in the
/// deciding thread; with it, a pass follows 22 ms after the previous one, or 1 ms with 33
/// instances.
constexpr Duration kPausePerItem{10};
/// Number of orders sent at once (or this fraction of all ranges, 1/16, if that is more), and the
/// pause until the next ones. An order and its answer take 0.2 ms of a core: orders for hundreds of
/// ranges, as a new leader sends, leave most of the core to other work, and all are sent within 16
/// pauses.
constexpr std::size_t kOrdersAtOnce = 16;
constexpr Duration kOrdersPause{12'000};
/// Minimum retention of the heartbeat record of an instance that is gone.
constexpr Duration kHeartbeatStatusRetention{60'000'000};
/// An instance that is heard of this long after another process answered at its address is asked
/// again: that answer may have been wrong. A heartbeat that is later than this costs one order.
constexpr Duration kReplacementReviewAfter{10'000'000};
/// Load admitted for a hot key, relative to its owner's capacity: slightly above 1, so that the
/// owner stays fully used although requests arrive unevenly.
constexpr double kTargetUtilization = 1.1;
/// Maximum instances among which the keys of a lost instance are divided.
constexpr std::size_t kSuccessorsMaximum = 3;
/// Returns a part of a time span by number, to stagger work: neighbouring numbers get distant
/// parts, and many numbers are spread evenly.
Duration StaggeredPart(Duration span, std::size_t number) {
  constexpr std::size_t kParts = 16;
  constexpr std::size_t kStep = 7;  // Coprime to kParts.
  return span * static_cast<std::int64_t>(1 + number * kStep % kParts) / kParts;
}

bool Contains(const std::vector<RangeCandidate>& candidates, const traffic::InstanceId& id) {
  return std::any_of(candidates.begin(), candidates.end(),
                     [&](const RangeCandidate& one) { return one.id == id; });
}

}  // namespace

RangeController::RangeController(RangeOptions options, const traffic::TrafficState& state,
                                 const InstanceLiveness& liveness, const InstanceLimits& limits,
                                 OrderNumber last_used, Instant now)
    : options_(options),
      inherited_until_(EndOfGrant(options.lease_length, now)),
      state_(state),
      liveness_(liveness),
      limits_(limits),
      last_number_(last_used) {
  // Former leaders may have granted leases up to the end of their leader leases, which ended before
  // this election.
  UpdateLeaseForms(now);
  for (const auto& [service, ranges] : state_.ranges().services()) {
    const bool by_heartbeat = LeasedByHeartbeat(service);
    const Duration length = by_heartbeat ? options_.lease_length : options_.hold;
    const Instant given = by_heartbeat ? now : now + options_.order_send_timeout;
    for (const auto& [first, range] : ranges) {
      if (range.phase == RangePhase::kUnowned) continue;
      NoteGrant(range.owner, service, range.span, EndOfGrant(length, given));
    }
  }
  SyncRanges(now);
}

Instant RangeController::EndOfGrant(Duration length, Instant received) const {
  const auto stretched = static_cast<std::int64_t>(static_cast<double>(length.count()) *
                                                   (1.0 + options_.clock_drift_bound));
  return received + Duration(stretched) + options_.transit_slack;
}

void RangeController::NoteGrant(const traffic::InstanceId& instance, const ServiceName& service,
                                const traffic::KeySpan& span, Instant end) {
  auto& ends = grant_ends_[instance];
  for (GrantEnd& known : ends) {
    if (known.service != service || !(known.span == span)) continue;
    known.end = std::max(known.end, end);
    return;
  }
  ends.push_back({service, span, end});
}

Instant RangeController::GrantEndOf(const KeyRange& range) const {
  Instant end{};
  const auto found = grant_ends_.find(range.owner);
  if (found == grant_ends_.end()) return end;
  for (const GrantEnd& known : found->second) {
    const bool overlaps = known.service == range.service && known.span.Overlaps(range.span);
    if (overlaps) end = std::max(end, known.end);
  }
  return end;
}

bool RangeController::GrantUnderWay(const KeyRange& range) const {
  return std::any_of(open_.begin(), open_.end(), [&](const auto& entry) {
    const OpenOrder& open = entry.second;
    // Compares the keys, because the range may have another fence or other ends than when the grant
    // was sent.
    return open.order.kind == RangeOrder::Kind::kGrant && open.order.instance == range.owner &&
           open.service == range.service && open.order.span.Overlaps(range.span);
  });
}

/// Keeps the records of unchanged ranges. A range that was split or merged starts with a new record
/// and an early order, which is harmless.
void RangeController::SyncRanges(Instant now) {
  AddEvaluations(range_status_.size());
  std::map<RangeKey, RangeStatus> synced;
  for (const auto& [service, ranges] : state_.ranges().services()) {
    for (const auto& [first, range] : ranges) {
      const auto known = range_status_.find({service, first});
      const bool same = known != range_status_.end() && known->second.fence == range.fence &&
                        known->second.last == range.span.last;
      if (same) {
        synced.emplace(known->first, std::move(known->second));
      } else {
        RangeStatus& status = synced[{service, first}];
        status.fence = range.fence;
        status.last = range.span.last;
        status.since = now;
        // A piece of a range with a valid grant need not be renewed before its time. A new leader
        // spreads the renewals of all ranges over that time.
        const bool serving = range.phase == RangePhase::kServing;
        const Duration within = options_.renewal_interval / 4;
        status.next_order = serving ? now + StaggeredPart(within, synced.size()) : now;
        const RangeStatus* const whole = PreviousStatus({service, first}, range.fence);
        status.refused = whole != nullptr && whole->refused;
        status.leased = whole != nullptr && whole->leased;
      }
    }
  }
  range_status_ = std::move(synced);
  synced_version_ = state_.ranges().changed_at();
  for (auto& [instance, ends] : grant_ends_) {
    std::erase_if(ends, [&](const GrantEnd& known) { return known.end < now; });
  }
  std::erase_if(grant_ends_, [](const auto& entry) { return entry.second.empty(); });
  std::erase_if(replaced_,
                [&](const auto& entry) { return state_.instances().Find(entry.first) == nullptr; });
  std::erase_if(heartbeat_status_, [&](const auto& entry) {
    const traffic::Instance* const instance = state_.instances().Find(entry.first);
    const bool gone = instance == nullptr || instance->IsGone();
    // A record that is created again by a late heartbeat must not prove a release.
    const bool may_hold = grant_ends_.contains(entry.first);
    return gone && !may_hold && now - entry.second.last_heartbeat > kHeartbeatStatusRetention;
  });
}

const RangeController::RangeStatus* RangeController::PreviousStatus(const RangeKey& key,
                                                                    traffic::Fence fence) const {
  const auto after = range_status_.upper_bound(key);
  if (after == range_status_.begin()) return nullptr;
  const auto& [whole, status] = *std::prev(after);
  const bool held = whole.service == key.service && key.first <= status.last;
  return held && status.fence == fence ? &status : nullptr;
}

RangeController::RangeStatus* RangeController::StatusOf(const OpenOrder& open) {
  const auto found = range_status_.find({open.service, open.order.span.first});
  if (found == range_status_.end() || found->second.open_order != open.order.number) return nullptr;
  return &found->second;
}

void RangeController::TakeResult(const RangeOrderResult& result, Instant now) {
  const auto found = open_.find(result.number);
  if (found == open_.end()) return;
  const OpenOrder open = std::move(found->second);
  open_.erase(found);
  const bool grant = open.order.kind == RangeOrder::Kind::kGrant;
  const bool done = result.outcome == RangeOrderResult::Outcome::kDone;
  const bool refused = result.outcome == RangeOrderResult::Outcome::kRefused;
  const bool may_hold = done || result.outcome == RangeOrderResult::Outcome::kUnknown;
  if (grant && may_hold) {
    NoteGrant(open.order.instance, open.service, open.order.span, EndOfGrant(options_.hold, now));
  }
  const bool other = result.outcome == RangeOrderResult::Outcome::kOtherInstance;
  if (other) replaced_[open.order.instance] = now;
  if (done || refused) {
    failing_since_.erase(open.order.instance);
  } else {
    failing_since_.emplace(open.order.instance, now);
  }
  RangeStatus* const status = StatusOf(open);
  // A successful renewal, by far the most common result, requires no decision.
  const bool plain_renewal = grant && done && status != nullptr && status->confirmed;
  if (!plain_renewal) decide_due_ = orders_due_ = now;
  if (status == nullptr) return;
  status->open_order.reset();
  if (!done) {
    status->next_order = now + options_.retry_interval;
    status->refused = status->refused || (refused && grant);
  } else if (grant) {
    // Spreads the renewals of ranges that were granted or inherited together: 385 renewals at the
    // same time take a fifth of a second with a third of a core, as long as a leader lease.
    const Duration first = options_.renewal_interval / 2;
    status->next_order =
        now + (status->confirmed ? options_.renewal_interval
                                 : first + StaggeredPart(first, result.number.value));
    status->confirmed = true;
    orders_due_ = std::min(orders_due_, status->next_order);
  } else {
    status->released = true;
    status->handover = result.handover;
  }
}

void RangeController::TakeLoads(const traffic::TrafficPoll& poll, Instant now) {
  balancer_.TakeLoads(poll.loads, now);
  for (const traffic::InstanceSpeed& speed : poll.speeds) speeds_.Take(speed, now);
}

std::optional<double> RangeController::CapacityOf(const KeyRange& range) const {
  const traffic::Instance* const owner = state_.instances().Find(range.owner);
  const auto mean_us = speeds_.MeanMicros(range.owner);
  if (owner == nullptr || !mean_us || *mean_us <= 0) return std::nullopt;
  const auto slots = static_cast<double>(std::max<std::int64_t>(1, owner->report.slots));
  return slots * std::micro::den / *mean_us;
}

std::vector<traffic::HotKey> RangeController::HotKeys() const {
  std::vector<traffic::HotKey> hot;
  for (const auto& [service, ranges] : state_.ranges().services()) {
    for (const auto& [key, rate] : balancer_.HotKeys(service)) {
      const KeyRange* const range = state_.ranges().Find(service, key);
      // Requests for a key that is moving wait for its next owner.
      if (range == nullptr || range->phase != RangePhase::kServing) continue;
      const auto capacity = CapacityOf(*range);
      if (!capacity || rate <= *capacity * kTargetUtilization) continue;
      hot.push_back({service, key, *capacity * kTargetUtilization / rate});
    }
  }
  return hot;
}

void RangeController::RecordHotKeySent(const traffic::HotKey& hot) {
  const KeyRange* const range = state_.ranges().Find(hot.service, hot.key);
  if (range == nullptr) return;
  const bool over = hot.admitted >= 1;
  Note("hot_key", *range, {hot.key, hot.key},
       over ? "over" : "admitted " + std::to_string(hot.admitted) + " of its requests");
}

bool RangeController::CanReassign(const KeyRange& range, const RangeStatus& status,
                                  Instant now) const {
  if (range.phase == RangePhase::kUnowned || status.released) return true;
  if (HasEnded(range.owner)) return true;
  if (status.open_order || now <= GrantEndOf(range) || GrantUnderWay(range)) return false;
  // An owner that got no answer for the length of a lease holds nothing.
  if (LeasedByHeartbeat(range.service)) return !AwaitsFirstLease(range, status, now);
  // An owner that only missed renewals receives its keys again with the next one.
  return !range.Owned() || status.refused || Unresponsive(range.owner, now);
}

void RangeController::Note(std::string_view what, const KeyRange& range,
                           const traffic::KeySpan& span, std::string inputs) {
  notes_.push_back({what, range.service, span, range.fence, range.owner, std::move(inputs)});
}

std::string RangeController::ReassignmentReason(const KeyRange& range,
                                                const RangeStatus& status) const {
  if (range.phase == RangePhase::kUnowned) return "the keys have no owner";
  if (status.released) return status.handover.empty() ? "released" : "released with a handover";
  if (status.refused) return "the owner refused the fence";
  if (replaced_.contains(range.owner)) return "another process answered at its address";
  return "the last lease expired";
}

bool RangeController::HasEnded(const traffic::InstanceId& instance) const {
  const auto replaced = replaced_.find(instance);
  return replaced != replaced_.end() &&
         !liveness_.HasHeartbeatSince(instance, replaced->second + kReplacementReviewAfter);
}

std::vector<CommandBody> RangeController::Decide(Instant now) {
  if (now < NextDecision()) return {};
  const std::uint64_t evaluations_before = evaluations_;
  decided_version_ = state_.version();
  AddEvaluations(range_status_.size());
  UpdateLeaseForms(now);
  if (synced_version_ != state_.ranges().changed_at()) SyncRanges(now);
  views_.clear();
  std::vector<CommandBody> commands;
  DecideConfirmations(commands);
  DecideReleases(now, commands);
  DecideAssignments(now, commands);
  decide_due_ = now + kDecisionInterval;
  decide_not_before_ = now + PauseAfter(evaluations_ - evaluations_before);
  return commands;
}

Duration RangeController::PauseAfter(std::uint64_t evaluations) {
  return static_cast<std::int64_t>(evaluations) * kPausePerItem;
}

Instant RangeController::NextDecision() const {
  const bool changed = decided_version_ != state_.version();
  return std::max(decide_not_before_, changed ? Instant{} : decide_due_);
}

void RangeController::DecideConfirmations(std::vector<CommandBody>& commands) const {
  ConfirmRangesCommand command;
  for (const auto& [key, status] : range_status_) {
    const KeyRange* range = state_.ranges().Find(key.service, key.first);
    if (range == nullptr || range->phase != RangePhase::kGranting || !status.confirmed) continue;
    command.confirmations.push_back({key.service, range->span, range->fence});
  }
  if (!command.confirmations.empty()) commands.emplace_back(std::move(command));
}

const RangeController::ServiceView& RangeController::ViewOf(const ServiceName& service,
                                                            Instant now) {
  const auto [known, fresh] = views_.try_emplace(service);
  if (fresh) {
    known->second.avoided = AvoidedInstances(service, now);
    known->second.candidates = CandidatesFor(service, known->second.avoided, now);
  }
  return known->second;
}

bool RangeController::Unresponsive(const traffic::InstanceId& instance, Instant now) const {
  const auto failing = failing_since_.find(instance);
  if (failing == failing_since_.end()) return false;
  // One heartbeat received since then may have been sent before the instance ended.
  const bool reachable = liveness_.HasHeartbeatSince(instance, failing->second) &&
                         !liveness_.IsUnreachable(instance, now);
  return now - failing->second > options_.unresponsive_after && !reachable;
}

bool RangeController::Settled(const ServiceName& service,
                              const std::vector<RangeCandidate>& candidates, Instant now) {
  Settling& settling = settling_[service];
  if (settling.candidates != candidates.size()) settling = {candidates.size(), now};
  return now - settling.since >= options_.settling;
}

void RangeController::DecideAssignments(Instant now, std::vector<CommandBody>& commands) {
  AssignRangesCommand command;
  for (const auto& [service, ranges] : state_.ranges().services()) {
    const auto& candidates = ViewOf(service, now).candidates;
    if (candidates.empty()) continue;
    auto loads = balancer_.OwnerLoads(service, ranges);
    AddEvaluations(ranges.size());
    for (const auto& [first, range] : ranges) {
      RangeStatus& status = range_status_.at({service, first});
      // An owner that refused an order may hold a part of the range by an older grant: only that
      // owner may receive the keys again at once.
      const bool back_to_owner = status.refused && Contains(candidates, range.owner);
      if (!back_to_owner && !CanReassign(range, status, now)) continue;
      // The keys have never been assigned: wait until the servers have registered.
      if (range.fence.value == 0 && !Settled(service, candidates, now)) continue;
      const bool may_cut = RangeBalancer::MayCut(ranges, candidates);
      auto parts = NextOwners(range, status, candidates, may_cut ? kSuccessorsMaximum : 1, loads);
      status.reassigned = !parts.empty();
      for (const traffic::RangeAssignment& part : parts) {
        Note("assign", range, part.span,
             ReassignmentReason(range, status) + ", next " + part.owner.value);
      }
      std::move(parts.begin(), parts.end(), std::back_inserter(command.assignments));
    }
  }
  if (!command.assignments.empty()) commands.emplace_back(std::move(command));
}

std::vector<traffic::RangeAssignment> RangeController::NextOwners(
    const KeyRange& range, const RangeStatus& status, const std::vector<RangeCandidate>& candidates,
    std::size_t successors_maximum, RangeBalancer::LoadByOwner& loads) const {
  const traffic::InstanceId& wanted = status.refused ? range.owner : range.successor;
  if (Contains(candidates, wanted))
    return {{range.service, range.span, range.fence, wanted, status.handover}};
  AddEvaluations(candidates.size());
  const bool first_time = range.fence.value == 0;
  auto parts = balancer_.Divide(
      range, loads,
      first_time ? candidates : RangeBalancer::LeastLoaded(loads, candidates, successors_maximum));
  for (traffic::RangeAssignment& part : parts) part.handover = status.handover;
  return parts;
}

std::vector<RangeOrder> RangeController::Orders(Instant now) {
  if (now < NextOrderDue()) return {};
  ordered_version_ = state_.version();
  UpdateLeaseForms(now);
  if (synced_version_ != state_.ranges().changed_at()) SyncRanges(now);
  orders_due_ = now + kDecisionInterval;
  AddEvaluations(range_status_.size());
  const std::size_t at_once = std::max(kOrdersAtOnce, range_status_.size() / kOrdersAtOnce);
  std::vector<RangeOrder> orders;
  for (auto& [key, status] : range_status_) {
    const KeyRange* range = state_.ranges().Find(key.service, key.first);
    if (range == nullptr || status.open_order) continue;
    if (now < status.next_order) {
      orders_due_ = std::min(orders_due_, status.next_order);
      continue;
    }
    if (orders.size() >= at_once) {
      orders_due_ = now;
      break;
    }
    std::optional<RangeOrder> order = NextOrder(*range, status, now);
    if (!order) continue;
    status.open_order = order->number;
    open_[order->number] = {*order, key.service};
    orders.push_back(std::move(*order));
  }
  const Duration pause = orders.size() >= at_once ? kOrdersPause : Duration::zero();
  orders_not_before_ = now + std::max(PauseAfter(range_status_.size()), pause);
  return orders;
}

std::optional<RangeOrder> RangeController::NextOrder(const KeyRange& range, RangeStatus& status,
                                                     Instant now) {
  if (LeasedByHeartbeat(range.service) || InFormTransition(range.service, now)) return std::nullopt;
  if (status.reassigned) return std::nullopt;
  const traffic::Instance* owner = state_.instances().Find(range.owner);
  const bool ended = owner == nullptr || HasEnded(range.owner);
  if (range.phase == RangePhase::kUnowned || ended || status.released) return std::nullopt;
  // A displaced owner receives no grant. It receives a release order once the release is decided:
  // the answer, from it or from another process, shows whether it still runs.
  if (range.Owned() && owner->state == InstanceState::kDisplaced) return std::nullopt;
  RangeOrder order;
  order.instance = range.owner;
  order.address = owner->report.address;
  order.span = range.span;
  order.fence = range.fence;
  if (range.phase == RangePhase::kReleasing) {
    order.kind = RangeOrder::Kind::kRelease;
    order.limit = options_.release_limit;
  } else {
    // An order under the same fence would be refused again: the range waits for its next
    // assignment.
    if (status.refused) return std::nullopt;
    // Each grant that may have arrived extends the time for which the owner may hold the range, so
    // an unresponsive owner receives none.
    if (Unresponsive(range.owner, now)) return std::nullopt;
    order.hold = options_.hold;
    order.handover = range.handover;
    order.limit = options_.grant_limit;
  }
  order.not_after = now + options_.order_send_timeout;
  order.number = last_number_ = last_number_.Next();
  return order;
}

Instant RangeController::NextDue() const {
  if (state_.ranges().services().empty()) return Instant::max();
  return std::min(NextDecision(), NextOrderDue());
}

Instant RangeController::NextOrderDue() const {
  if (state_.ranges().services().empty()) return Instant::max();
  const bool changed = ordered_version_ != state_.version();
  return std::max(orders_not_before_, changed ? Instant{} : orders_due_);
}

}  // namespace graniteseam::control
