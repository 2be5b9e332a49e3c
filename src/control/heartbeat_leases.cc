/// @file
/// The range controller's leases by heartbeat. An owner learns which keys it holds only from the
/// answers to its heartbeats, and reports released keys in its heartbeats; see
/// docs/design/leases-by-heartbeat.md.
///
/// Invariant: a lease counts from the sending of the heartbeat, so on the owner's clock it has
/// expired once its length, extended by the clock drift, has passed since the heartbeat arrived
/// here. Lost, delayed or reordered answers can only shorten it.

#include <algorithm>
#include <utility>

#include "src/control/range_controller.h"

namespace graniteseam::control {
namespace {

using traffic::KeyRange;
using traffic::KeySpan;
using traffic::RangePhase;

/// Number of heartbeats without a leased range after which the owner is assumed to refuse its
/// fence. One answer may have been lost, and one heartbeat may have been sent before the answer
/// arrived.
constexpr int kHeartbeatsWithoutRangeMaximum = 4;
/// Instances that release keys send heartbeats every 100 ms; only intervals longer than several of
/// these count as regular.
constexpr Duration kHeartbeatIntervalMinimum{300'000};

/// The parts of `spans` outside `hole`.
std::vector<KeySpan> Without(const std::vector<KeySpan>& spans, const KeySpan& hole) {
  std::vector<KeySpan> remaining;
  for (const KeySpan& span : spans) {
    if (!span.Overlaps(hole)) {
      remaining.push_back(span);
      continue;
    }
    if (span.first < hole.first) remaining.push_back({span.first, hole.first - 1});
    if (hole.last < span.last) remaining.push_back({hole.last + 1, span.last});
  }
  return remaining;
}

}  // namespace

void RangeController::FollowForms(Instant now) {
  if (followed_configuration_ == state_.configuration().changed_at()) return;
  followed_configuration_ = state_.configuration().changed_at();
  for (const traffic::Service& service : state_.configuration().current().services) {
    if (!service.keyed) continue;
    const auto [known, fresh] = forms_.try_emplace(service.name, FormCare{service.lease_form, {}});
    if (fresh || known->second.form == service.lease_form) continue;
    const Duration longest = std::max(options_.hold, options_.lease_length);
    known->second = {service.lease_form, EndOfGrant(longest, now)};
  }
}

bool RangeController::LeasedByHeartbeat(const ServiceName& service) const {
  const auto known = forms_.find(service);
  return known != forms_.end() && known->second.form == traffic::LeaseForm::kHeartbeat;
}

bool RangeController::InQuietTime(const ServiceName& service, Instant now) const {
  const auto known = forms_.find(service);
  return known != forms_.end() && now < known->second.quiet_until;
}

std::optional<traffic::KeyLeases> RangeController::TakeHeartbeat(const ReportInstance& heartbeat,
                                                                 Instant now) {
  const traffic::InstanceReport& report = heartbeat.report;
  FollowForms(now);
  if (!LeasedByHeartbeat(report.service) || InQuietTime(report.service, now)) return std::nullopt;
  if (followed_version_ != state_.ranges().changed_at()) FollowRanges(now);
  Holder& holder = holders_[report.id];
  // A delayed heartbeat has outdated information about keys.
  if (report.sequence <= holder.sequence) return std::nullopt;
  holder.sequence = report.sequence;
  const Duration since = now - holder.heard;
  if (kHeartbeatIntervalMinimum < since && since < options_.lease_pickup) holder.interval = since;
  holder.heard = now;
  traffic::KeyLeases leases;
  leases.length_ms = options_.lease_length.count() / 1'000;
  for (const auto& [first, range] : state_.ranges().services().at(report.service)) {
    if (range.owner != report.id) continue;
    RangeCare& care = care_.at({range.service, first});
    TakeHeldSpans(heartbeat.keys, range, care);
    if (range.phase == RangePhase::kReleasing) TakeRelease(heartbeat, holder, range, care, now);
    Lease(range, care, holder, leases, now);
  }
  NoteUnknownKeys(heartbeat);
  return leases;
}

/// Records spans that an instance holds but that the state assigns to another one. They are omitted
/// from the answer, so that the instance releases them.
void RangeController::NoteUnknownKeys(const ReportInstance& heartbeat) {
  const traffic::InstanceId& id = heartbeat.report.id;
  for (const traffic::HeldSpan& held : heartbeat.keys.held) {
    const KeyRange* const range = state_.ranges().Find(heartbeat.report.service, held.span.first);
    if (range == nullptr || range->owner == id) continue;
    Note("unknown_keys", *range, held.span,
         id.value + " holds them under fence " + std::to_string(held.fence.value));
  }
}

void RangeController::Lease(const KeyRange& range, RangeCare& care, Holder& holder,
                            traffic::KeyLeases& leases, Instant now) {
  const std::vector<KeySpan> leased_spans = SpansToLease(range, care);
  for (const KeySpan& span : leased_spans) {
    leases.spans.push_back({span, range.fence, range.handover});
    NoteGrant(range.owner, range.service, span, EndOfGrant(options_.lease_length, now));
    std::erase_if(holder.omissions,
                  [&](const Omission& omission) { return omission.span.Overlaps(span); });
  }
  if (!leased_spans.empty()) {
    // Routers may send to the owner at once: the answer with the lease is on its way, and the owner
    // refuses earlier requests without running them.
    if (range.phase == RangePhase::kGranting && !care.confirmed) decide_due_ = now;
    care.leased = care.confirmed = true;
  }
  std::vector<KeySpan> omitted{range.span};
  for (const KeySpan& span : leased_spans) omitted = Without(omitted, span);
  for (const KeySpan& span : omitted) {
    if (NoteOmission(holder, span, now)) decide_due_ = now;
  }
}

void RangeController::TakeRelease(const ReportInstance& heartbeat, const Holder& holder,
                                  const KeyRange& range, RangeCare& care, Instant now) {
  if (care.released) return;
  // Only omissions from this leadership's answers are known. A heartbeat sent before a previous
  // leader's answer may arrive after this leader's.
  if (now <= inherited_until_) return;
  // Only a heartbeat that was sent after an answer without these keys proves their release. An
  // earlier one may have been sent before the keys were leased.
  const auto omission =
      std::find_if(holder.omissions.begin(), holder.omissions.end(), [&](const Omission& known) {
        return known.span.Contains(range.span) && known.sequence < heartbeat.report.sequence;
      });
  if (omission == holder.omissions.end()) return;
  const auto& held = heartbeat.keys.held;
  const bool holds = std::any_of(held.begin(), held.end(), [&](const traffic::HeldSpan& one) {
    return one.span.Overlaps(range.span);
  });
  if (holds) return;
  const auto& released = heartbeat.keys.released;
  const auto reported = std::find_if(released.begin(), released.end(), [&](const auto& one) {
    return one.span.Contains(range.span);
  });
  // A lease that expired, or a release that was reported to an earlier leader, is not reported
  // again. Then the time must have passed in which the instance could still accept an earlier
  // answer with the keys.
  const bool no_answer_pending = now - omission->at > options_.answer_acceptance_window;
  if (reported == released.end() && !no_answer_pending) return;
  care.released = true;
  if (reported != released.end()) care.handover = reported->handover;
  Note("released", range, range.span,
       "by heartbeat " + std::to_string(heartbeat.report.sequence) + ", omitted since " +
           std::to_string(omission->sequence) +
           (reported == released.end() ? ", release not reported" : ""));
  decide_due_ = now;
}

void RangeController::TakeHeldSpans(const traffic::HeldKeys& keys, const KeyRange& range,
                                    RangeCare& care) {
  if (!care.leased || !range.Owned()) return;
  const bool reported =
      std::any_of(keys.held.begin(), keys.held.end(), [&](const traffic::HeldSpan& one) {
        return one.fence == range.fence && one.span.Overlaps(range.span);
      });
  care.unheeded = reported ? 0 : care.unheeded + 1;
  care.refused = care.refused || care.unheeded > kHeartbeatsWithoutRangeMaximum;
}

std::vector<KeySpan> RangeController::SpansToLease(const KeyRange& range, const RangeCare& care) {
  if (!range.Owned() || OwnerMustGo(range) || care.refused || care.given_away) return {};
  std::vector<KeySpan> spans{range.span};
  for (PlannedMove& move : planned_) {
    const traffic::RangeRelease& release = move.release;
    const bool fits = release.service == range.service && release.expected == range.fence &&
                      range.span.Contains(release.span);
    if (!fits) continue;
    move.begun = true;
    spans = Without(spans, release.span);
  }
  return spans;
}

bool RangeController::NoteOmission(Holder& holder, const KeySpan& span, Instant now) {
  const bool known =
      std::any_of(holder.omissions.begin(), holder.omissions.end(),
                  [&](const Omission& omission) { return omission.span.Contains(span); });
  if (!known) holder.omissions.push_back({span, holder.sequence, now});
  return !known;
}

bool RangeController::AwaitsFirstLease(const KeyRange& range, const RangeCare& care,
                                       Instant now) const {
  const bool assigned = range.phase == RangePhase::kGranting && !care.leased && !care.refused;
  return assigned && !OwnerMustGo(range) && now - care.since < options_.lease_pickup;
}

std::vector<traffic::RangeRelease> RangeController::PlannedMoves(const ServiceName& service) const {
  std::vector<traffic::RangeRelease> moves;
  for (const PlannedMove& move : planned_) {
    if (move.release.service == service) moves.push_back(move.release);
  }
  return moves;
}

void RangeController::AddBegunMoves(std::vector<traffic::RangeRelease>& releases) {
  std::erase_if(planned_, [&](const PlannedMove& move) {
    const traffic::RangeRelease& release = move.release;
    const KeyRange* const range = state_.ranges().Find(release.service, release.span.first);
    const bool fits = range != nullptr && range->phase == RangePhase::kServing &&
                      range->fence == release.expected && range->span.Contains(release.span);
    if (fits && move.begun) {
      releases.push_back(release);
      Note("begin_release", *range, release.span, "planned, to " + release.successor.value);
    }
    return !fits || move.begun;
  });
}

bool RangeController::HeardLately(const traffic::InstanceId& instance, Instant now) const {
  const auto found = holders_.find(instance);
  return found != holders_.end() && now - found->second.heard <= options_.lease_pickup;
}

}  // namespace graniteseam::control
