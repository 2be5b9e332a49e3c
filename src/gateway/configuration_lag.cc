#include "src/gateway/configuration_lag.h"

namespace graniteseam::gateway {
namespace {

/// Time for a reported configuration to arrive. An acknowledgement waits for it equally long.
constexpr Duration kArrivalTimeout{2'000'000};
/// Without a report for longer, control counts as unavailable. Longer than the search for a new
/// leader.
constexpr Duration kReportTimeout{5'000'000};
/// Further reports are joined to the newest one. With a report per poll, the oldest one is then
/// long overdue.
constexpr std::size_t kMissingMaximum = 32;

}  // namespace

auto note_report(ConfigurationLag& lag, traffic::ConfigurationVersion reported,
                 traffic::ConfigurationVersion own, Instant now) -> void {
  lag.last_report_at = now;
  if (reported <= own) return;
  auto const is_known = !lag.missing.empty() && lag.missing.back().configuration >= reported;
  if (is_known) return;
  if (lag.missing.size() >= kMissingMaximum) {
    lag.missing.back().configuration = reported;
    return;
  }
  lag.missing.push_back({reported, now});
}

auto note_applied(ConfigurationLag& lag, traffic::ConfigurationVersion own) -> void {
  while (!lag.missing.empty() && lag.missing.front().configuration <= own) lag.missing.pop_front();
}

auto is_outdated(ConfigurationLag const& lag, Instant now) -> bool {
  if (lag.missing.empty() || now - lag.last_report_at > kReportTimeout) return false;
  return now - lag.missing.front().reported_at > kArrivalTimeout;
}

}  // namespace graniteseam::gateway
