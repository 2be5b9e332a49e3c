#include "src/daemon/gateway/request_log.h"

#include <cmath>

namespace graniteseam::daemon {
namespace {

using runtime::EventLine;

/// A request that took longer is written in full.
constexpr Duration kSlow{1'000'000};
constexpr int kFirstFailureStatus = 400;

std::int64_t Micros(Duration duration) { return duration.count(); }

/// Whether the answer comes after the target latency of the request's route, counted from its
/// caller's first attempt.
bool IsLate(const EndedRequest& request) {
  const Duration target = request.summary.target_latency;
  return target > Duration{} && request.taken + request.summary.age > target;
}

}  // namespace

void RequestLog::Write(const EndedRequest& request, std::span<const TimedNote> notes) {
  const bool plain = request.status < kFirstFailureStatus && notes.size() <= 1 &&
                     request.taken < kSlow && !IsLate(request);
  if (plain && m_plain++ % kSamplingFactor != 0) return;
  const auto weight = plain ? runtime::EventWeight::kOrdinary : runtime::EventWeight::kNotable;
  for (const TimedNote& one : notes) {
    EventLine line(one.note.what);
    line.Add("request", request.id)
        .Add("after_us", Micros(one.at - request.received))
        .Add("instance", one.note.instance.value)
        .Add("inputs", one.note.inputs);
    if (plain) line.Add("sampled", kSamplingFactor);
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
  if (summary.target_latency > Duration{}) line.Add("target_us", Micros(summary.target_latency));
  line.Add("age_us", Micros(summary.age));
  if (summary.work_percent) {
    line.Add("work_percent", static_cast<std::int64_t>(std::llround(*summary.work_percent)));
  }
  if (plain) line.Add("sampled", kSamplingFactor);
  m_events.Write(weight, line);
}

}  // namespace graniteseam::daemon
