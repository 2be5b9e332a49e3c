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

void RangeController::UpdateLeaseForms(Instant now) {
  if (synced_configuration_ == state_.configuration().changed_at()) return;
  synced_configuration_ = state_.configuration().changed_at();
  for (const traffic::Service& service : state_.configuration().current().services) {
    if (!service.keyed) continue;
    const auto [known, fresh] =
        lease_forms_.try_emplace(service.name, LeaseFormStatus{service.lease_form, {}});
    if (fresh || known->second.form == service.lease_form) continue;
    const Duration longest = std::max(options_.hold, options_.lease_length);
    known->second = {service.lease_form, EndOfGrant(longest, now)};
  }
}

bool RangeController::LeasedByHeartbeat(const ServiceName& service) const {
  const auto known = lease_forms_.find(service);
  return known != lease_forms_.end() && known->second.form == traffic::LeaseForm::kHeartbeat;
}

bool RangeController::InFormTransition(const ServiceName& service, Instant now) const {
  const auto known = lease_forms_.find(service);
  return known != lease_forms_.end() && now < known->second.transition_until;
}

std::optional<traffic::KeyLeases> RangeController::TakeHeartbeat(const ReportInstance& heartbeat,
                                                                 Instant now) {
  const traffic::InstanceReport& report = heartbeat.report;
  UpdateLeaseForms(now);
  if (!LeasedByHeartbeat(report.service) || InFormTransition(report.service, now))
    return std::nullopt;
  if (synced_version_ != state_.ranges().changed_at()) SyncRanges(now);
  HeartbeatStatus& heartbeat_status = heartbeat_status_[report.id];
  // A delayed heartbeat has outdated information about keys.
  if (report.sequence <= heartbeat_status.sequence) return std::nullopt;
  heartbeat_status.sequence = report.sequence;
  const Duration since = now - heartbeat_status.last_heartbeat;
  if (kHeartbeatIntervalMinimum < since && since < options_.lease_pickup)
    heartbeat_status.interval = since;
  heartbeat_status.last_heartbeat = now;
  traffic::KeyLeases leases;
  leases.length_ms = options_.lease_length.count() / 1'000;
  for (const auto& [first, range] : state_.ranges().services().at(report.service)) {
    if (range.owner != report.id) continue;
    RangeStatus& status = range_status_.at({range.service, first});
    TakeHeldSpans(heartbeat.keys, range, status);
    if (range.phase == RangePhase::kReleasing)
      TakeRelease(heartbeat, heartbeat_status, range, status, now);
    Lease(range, status, heartbeat_status, leases, now);
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

void RangeController::Lease(const KeyRange& range, RangeStatus& status,
                            HeartbeatStatus& heartbeat_status, traffic::KeyLeases& leases,
                            Instant now) {
  const std::vector<KeySpan> leased_spans = SpansToLease(range, status);
  for (const KeySpan& span : leased_spans) {
    leases.spans.push_back({span, range.fence, range.handover});
    NoteGrant(range.owner, range.service, span, EndOfGrant(options_.lease_length, now));
    std::erase_if(heartbeat_status.omissions,
                  [&](const Omission& omission) { return omission.span.Overlaps(span); });
  }
  if (!leased_spans.empty()) {
    // Routers may send to the owner at once: the answer with the lease is on its way, and the owner
    // refuses earlier requests without running them.
    if (range.phase == RangePhase::kGranting && !status.confirmed) decide_due_ = now;
    status.leased = status.confirmed = true;
  }
  std::vector<KeySpan> omitted{range.span};
  for (const KeySpan& span : leased_spans) omitted = Without(omitted, span);
  for (const KeySpan& span : omitted) {
    if (NoteOmission(heartbeat_status, span, now)) decide_due_ = now;
  }
}

void RangeController::TakeRelease(const ReportInstance& heartbeat,
                                  const HeartbeatStatus& heartbeat_status, const KeyRange& range,
                                  RangeStatus& status, Instant now) {
  if (status.released) return;
  // Only omissions from this leadership's answers are known. A heartbeat sent before a previous
  // leader's answer may arrive after this leader's.
  if (now <= inherited_until_) return;
  // Only a heartbeat that was sent after an answer without these keys proves their release. An
  // earlier one may have been sent before the keys were leased.
  const auto omission = std::find_if(heartbeat_status.omissions.begin(),
                                     heartbeat_status.omissions.end(), [&](const Omission& known) {
                                       return known.span.Contains(range.span) &&
                                              known.sequence < heartbeat.report.sequence;
                                     });
  if (omission == heartbeat_status.omissions.end()) return;
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
  status.released = true;
  if (reported != released.end()) status.handover = reported->handover;
  Note("released", range, range.span,
       "by heartbeat " + std::to_string(heartbeat.report.sequence) + ", omitted since " +
           std::to_string(omission->sequence) +
           (reported == released.end() ? ", release not reported" : ""));
  decide_due_ = now;
}

void RangeController::TakeHeldSpans(const traffic::HeldKeys& keys, const KeyRange& range,
                                    RangeStatus& status) {
  if (!status.leased || !range.Owned()) return;
  const bool reported =
      std::any_of(keys.held.begin(), keys.held.end(), [&](const traffic::HeldSpan& one) {
        return one.fence == range.fence && one.span.Overlaps(range.span);
      });
  status.missed_reports = reported ? 0 : status.missed_reports + 1;
  status.refused = status.refused || status.missed_reports > kHeartbeatsWithoutRangeMaximum;
}

std::vector<KeySpan> RangeController::SpansToLease(const KeyRange& range,
                                                   const RangeStatus& status) {
  if (!range.Owned() || MustRelease(range) || status.refused || status.reassigned) return {};
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

bool RangeController::NoteOmission(HeartbeatStatus& heartbeat_status, const KeySpan& span,
                                   Instant now) {
  const bool known =
      std::any_of(heartbeat_status.omissions.begin(), heartbeat_status.omissions.end(),
                  [&](const Omission& omission) { return omission.span.Contains(span); });
  if (!known) heartbeat_status.omissions.push_back({span, heartbeat_status.sequence, now});
  return !known;
}

bool RangeController::AwaitsFirstLease(const KeyRange& range, const RangeStatus& status,
                                       Instant now) const {
  const bool assigned = range.phase == RangePhase::kGranting && !status.leased && !status.refused;
  return assigned && !MustRelease(range) && now - status.since < options_.lease_pickup;
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

bool RangeController::SentHeartbeatRecently(const traffic::InstanceId& instance,
                                            Instant now) const {
  const auto found = heartbeat_status_.find(instance);
  return found != heartbeat_status_.end() &&
         now - found->second.last_heartbeat <= options_.lease_pickup;
}

}  // namespace graniteseam::control
