#include "src/daemon/gateway/request_log.h"

#include <algorithm>
#include <cmath>

namespace graniteseam::daemon {
namespace {

using runtime::EventLine;

/// A request that took longer is written in full.
constexpr Duration kSlow{1'000'000};
constexpr int kFirstFailureStatus = 400;
/// Begins the names of notes of coordinated admission.
constexpr std::string_view kSlotNotes = "slot_";

std::int64_t Micros(Duration duration) { return duration.count(); }

/// Whether the answer comes after the target latency of the request's route, counted from its
/// caller's first attempt.
bool IsLate(const EndedRequest& request) {
  const Duration target = request.summary.target_latency;
  return target > Duration{} && request.taken + request.summary.age > target;
}

}  // namespace

std::uint64_t RequestLog::TakeSamplingFactor(const EndedRequest& request,
                                             std::span<const TimedNote> notes) {
  // A request that got its slot has up to three notes about it.
  const auto decisions = std::count_if(notes.begin(), notes.end(), [](const TimedNote& one) {
    return !one.note.what.starts_with(kSlotNotes);
  });
  const bool plain =
      request.status < kFirstFailureStatus && decisions <= 1 && request.taken < kSlow;
  if (!plain) return 1;
  const bool late = IsLate(request);
  const std::uint64_t factor = late ? kLateSamplingFactor : kSamplingFactor;
  return (late ? m_late : m_plain)++ % factor == 0 ? factor : 0;
}

void RequestLog::Write(const EndedRequest& request, std::span<const TimedNote> notes) {
  const std::uint64_t factor = TakeSamplingFactor(request, notes);
  if (factor == 0) return;
  const bool sampled = factor > 1;
  const auto weight = sampled ? runtime::EventWeight::kOrdinary : runtime::EventWeight::kNotable;
  for (const TimedNote& one : notes) {
    EventLine line(one.note.what);
    line.Add("request", request.id)
        .Add("after_us", Micros(one.at - request.received))
        .Add("instance", one.note.instance.value)
        .Add("inputs", one.note.inputs);
    if (sampled) line.Add("sampled", factor);
    m_events.Write(weight, line);
  }
  EventLine line("answer");
  line.Add("request", request.id)
      .Add("after_us", Micros(request.taken))
      .Add("status", static_cast<std::int64_t>(request.status))
      .Add("outcome", request.outcome)
      .Add("target", request.target)
      .Add("digest", request.digest.value)
      .Add("version", request.version)
      .Add("connection_wait_us", Micros(request.connection_wait));
  if (request.first_sent) line.Add("sent_after_us", Micros(*request.first_sent - request.received));
  const gateway::RequestSummary& summary = request.summary;
  if (const gateway::RoutingDecision& routing = summary.routing; routing.version > 0) {
    line.Add("routed_by", routing.version)
        .Add("routed_after_us", Micros(routing.decided_at - request.received));
    if (routing.confirmed_at != Instant{}) {
      line.Add("confirmed_before_us", Micros(routing.decided_at - routing.confirmed_at));
    }
  }
  if (summary.target_latency > Duration{}) line.Add("target_us", Micros(summary.target_latency));
  line.Add("age_us", Micros(summary.age));
  if (summary.work_percent) {
    line.Add("work_percent", static_cast<std::int64_t>(std::llround(*summary.work_percent)));
  }
  if (sampled) line.Add("sampled", factor);
  m_events.Write(weight, line);
}

}  // namespace graniteseam::daemon
