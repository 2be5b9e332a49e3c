/// @file
/// The range controller's leases by heartbeat. An owner learns what it holds only from the answers
/// to its heartbeats, and tells in heartbeats what it let go of;
/// docs/design/leases-by-heartbeat.md.
///
/// Invariant: a lease counts from the sending of the heartbeat, so that it has run out on the
/// owner's clock when its length, stretched by the clocks' drift, has passed since the heartbeat's
/// arrival here. Answers that are lost, late or crossed can only make it end sooner.

#include <algorithm>
#include <utility>

#include "src/control/range_controller.h"

namespace graniteseam::control {
namespace {

using traffic::KeyRange;
using traffic::KeySpan;
using traffic::RangePhase;

/// Heartbeats without a leased range after which its fence is taken for refused: one answer may
/// have been lost, and one heartbeat may have been sent before the answer came.
constexpr int kUnheededMaximum = 4;
/// Instances that let go of keys beat each 100 ms; what is longer than some of that is regular.
constexpr Duration kShortestInterval{300'000};

/// What is left of `spans` without `hole`.
std::vector<KeySpan> Without(const std::vector<KeySpan>& spans, const KeySpan& hole) {
  std::vector<KeySpan> rest;
  for (const KeySpan& span : spans) {
    if (!span.Overlaps(hole)) {
      rest.push_back(span);
      continue;
    }
    if (span.first < hole.first) rest.push_back({span.first, hole.first - 1});
    if (hole.last < span.last) rest.push_back({hole.last + 1, span.last});
  }
  return rest;
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
  // A late heartbeat tells of keys as they were.
  if (report.sequence <= heartbeat_status.sequence) return std::nullopt;
  heartbeat_status.sequence = report.sequence;
  const Duration since = now - heartbeat_status.last_heartbeat;
  if (kShortestInterval < since && since < options_.lease_pickup) heartbeat_status.interval = since;
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

/// What an instance holds and the state does not give it is left out of the answer, so that the
/// instance lets go of it.
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
  const std::vector<KeySpan> given = SpansToLease(range, status);
  for (const KeySpan& span : given) {
    leases.spans.push_back({span, range.fence, range.handover});
    NoteGrant(range.owner, range.service, span, EndOfGrant(options_.lease_length, now));
    std::erase_if(heartbeat_status.omissions,
                  [&](const Omission& omission) { return omission.span.Overlaps(span); });
  }
  if (!given.empty()) {
    // Routers may send to the owner at once: its answer is on the way, and what comes sooner is
    // refused by it without being run.
    if (range.phase == RangePhase::kGranting && !status.confirmed) decide_due_ = now;
    status.leased = status.confirmed = true;
  }
  std::vector<KeySpan> omitted{range.span};
  for (const KeySpan& span : given) omitted = Without(omitted, span);
  for (const KeySpan& span : omitted) {
    if (NoteOmission(heartbeat_status, span, now)) decide_due_ = now;
  }
}

void RangeController::TakeRelease(const ReportInstance& heartbeat,
                                  const HeartbeatStatus& heartbeat_status, const KeyRange& range,
                                  RangeStatus& status, Instant now) {
  if (status.released) return;
  // What is left out is known of this leadership's answers only: a heartbeat that was sent before
  // a former leader's answer may come after them.
  if (now <= inherited_until_) return;
  // Only a heartbeat that was sent after an answer without these keys tells of their release: one
  // before it may have been sent before the keys were leased.
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
  const auto told = std::find_if(released.begin(), released.end(),
                                 [&](const auto& one) { return one.span.Contains(range.span); });
  // What ran out, or was told to an earlier leader, is not told again. Then the time must have
  // passed in which the instance could still take an earlier answer that gave the keys.
  const bool settled = now - omission->at > options_.answer_taken_within;
  if (told == released.end() && !settled) return;
  status.released = true;
  if (told != released.end()) status.handover = told->handover;
  Note("released", range, range.span,
       "by heartbeat " + std::to_string(heartbeat.report.sequence) + ", left out since " +
           std::to_string(omission->sequence) + (told == released.end() ? ", not told" : ""));
  decide_due_ = now;
}

void RangeController::TakeHeldSpans(const traffic::HeldKeys& keys, const KeyRange& range,
                                    RangeStatus& status) {
  if (!status.leased || !range.Owned()) return;
  const bool told =
      std::any_of(keys.held.begin(), keys.held.end(), [&](const traffic::HeldSpan& one) {
        return one.fence == range.fence && one.span.Overlaps(range.span);
      });
  status.missed_reports = told ? 0 : status.missed_reports + 1;
  status.refused = status.refused || status.missed_reports > kUnheededMaximum;
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
