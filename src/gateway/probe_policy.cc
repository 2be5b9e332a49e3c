#include "src/gateway/probe_policy.h"

#include <algorithm>

namespace graniteseam::gateway {

auto ProbePolicy::applies(ServiceName const& service, Instant now) const -> bool {
  if (m_options.per_request == 0) return false;
  auto const found = m_seen.find(service);
  if (found == m_seen.end() || !found->second.told_at) return false;
  return now - *found->second.told_at <= kToldWithin && now >= found->second.rests_until;
}

auto ProbePolicy::note_answer(ServiceName const& service, ReportedLoad const& load, Instant now)
    -> void {
  if (load.work_percent) m_seen[service].told_at = now;
}

auto ProbePolicy::note_probe(ServiceName const& service, Duration taken, Instant now) -> void {
  auto& seen = m_seen[service];
  auto const counted = std::min(taken, kCounted);
  seen.mean_us += kNewest * (static_cast<double>(counted.count()) - seen.mean_us);
  if (seen.mean_us <= static_cast<double>(kSlow.count())) return;
  seen.rests_until = now + kRest;
  seen.mean_us = 0;
}

}  // namespace graniteseam::gateway
