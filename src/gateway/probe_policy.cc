#include "src/gateway/probe_policy.h"

#include <algorithm>

namespace graniteseam::gateway {

auto ProbePolicy::applies(ServiceName const& service, Instant now) const -> bool {
  if (m_options.per_request == 0) return false;
  auto const found = m_services.find(service);
  if (found == m_services.end() || !found->second.work_reported_at) return false;
  return now - *found->second.work_reported_at <= kWorkReportMaxAge &&
         now >= found->second.suspended_until;
}

auto ProbePolicy::note_answer(ServiceName const& service, ReportedLoad const& load, Instant now)
    -> void {
  if (load.work_percent) m_services[service].work_reported_at = now;
}

auto ProbePolicy::note_probe(ServiceName const& service, Duration taken, Instant now) -> void {
  auto& seen = m_services[service];
  auto const counted = std::min(taken, kSampleMaximum);
  seen.mean_us += kSampleWeight * (static_cast<double>(counted.count()) - seen.mean_us);
  if (seen.mean_us <= static_cast<double>(kSlowProbe.count())) return;
  seen.suspended_until = now + kSuspension;
  seen.mean_us = 0;
}

}  // namespace graniteseam::gateway
