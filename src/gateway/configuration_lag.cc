#include "src/gateway/configuration_lag.h"

namespace graniteseam::gateway {
namespace {

/// Time for a reported configuration to arrive. An acknowledgement waits for it equally long.
constexpr Duration kArrivalTimeout{2'000'000};
/// Without an answer from a leader for longer, control counts as unavailable. Longer than the
/// search for a new leader.
constexpr Duration kLeaderTimeout{5'000'000};
/// Further reports are joined to the newest one. With a report per poll, the oldest one is then
/// long overdue.
constexpr std::size_t kMissingMaximum = 32;

}  // namespace

auto note_leader_answer(ConfigurationLag& lag, traffic::ConfigurationVersion leaders,
                        traffic::ConfigurationVersion own, Instant now) -> void {
  lag.leader_answered_at = now;
  if (leaders <= own) return;
  auto const is_known = !lag.missing.empty() && lag.missing.back().configuration >= leaders;
  if (is_known) return;
  if (lag.missing.size() >= kMissingMaximum) {
    lag.missing.back().configuration = leaders;
    return;
  }
  lag.missing.push_back({leaders, now});
}

auto note_applied(ConfigurationLag& lag, traffic::ConfigurationVersion own) -> void {
  while (!lag.missing.empty() && lag.missing.front().configuration <= own) lag.missing.pop_front();
}

auto is_outdated(ConfigurationLag const& lag, Instant now) -> bool {
  if (lag.missing.empty() || now - lag.leader_answered_at > kLeaderTimeout) return false;
  return now - lag.missing.front().reported_at > kArrivalTimeout;
}

}  // namespace graniteseam::gateway
