#include "src/control/traffic_sessions.h"

#include <algorithm>

namespace graniteseam::control {
namespace {

/// A router that was not heard of for so long has no part in the group's budgets any more. Longer
/// than routers' budgets look back, so that what a lost one spent is not spent again.
constexpr Duration kRouterKept{15'000'000};
/// By then every router has found a new leader.
constexpr Duration kSettling{3'000'000};

}  // namespace

traffic::TrafficUpdate TrafficSessions::Poll(ConnectionId connection,
                                             const traffic::TrafficPoll& poll, Instant now) {
  heard_[poll.router] = now;
  sessions_[connection].version = state_.version();
  traffic::TrafficUpdate update = UpdateFor(poll.version, now);
  update.sequence = poll.sequence;
  return update;
}

std::vector<std::pair<ConnectionId, traffic::TrafficUpdate>> TrafficSessions::Push(Instant now) {
  std::vector<std::pair<ConnectionId, traffic::TrafficUpdate>> updates;
  // Most routers have the same version: one search through the state serves them all.
  std::map<std::uint64_t, traffic::TrafficUpdate> by_base;
  for (auto& [connection, session] : sessions_) {
    if (session.version >= state_.urgent_version()) continue;
    const auto [found, added] = by_base.try_emplace(session.version);
    if (added) found->second = UpdateFor(session.version, now);
    updates.emplace_back(connection, found->second);
    session.version = state_.version();
  }
  return updates;
}

traffic::TrafficUpdate TrafficSessions::UpdateFor(std::uint64_t base, Instant now) const {
  traffic::TrafficUpdate update = state_.UpdateSince(base);
  update.routers = RouterCount(now);
  return update;
}

std::uint32_t TrafficSessions::RouterCount(Instant now) const {
  if (now - start_ < kSettling) return 0;
  const auto lately = std::count_if(heard_.begin(), heard_.end(), [&](const auto& entry) {
    return now - entry.second <= kRouterKept;
  });
  return static_cast<std::uint32_t>(lately);
}

}  // namespace graniteseam::control
