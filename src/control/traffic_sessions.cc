#include "src/control/traffic_sessions.h"

#include <algorithm>
#include <ratio>
#include <utility>

namespace graniteseam::control {
namespace {

/// A router that was not heard of for so long has no part in the group's budgets any more. Longer
/// than routers' budgets look back, so that what a lost one spent is not spent again.
constexpr Duration kRouterKept{15'000'000};
/// By then every router has found a new leader.
constexpr Duration kSettling{3'000'000};
/// Messages a second that pushes may take. A change that goes to 300 routers is 300 messages; where
/// changes come faster than they can be sent, the queue of one leader held up acknowledgements for
/// 12 s. At 300 routers changes are told each 30 ms, at ten each millisecond.
constexpr std::int64_t kPushesPerSecond = 10'000;

}  // namespace

traffic::TrafficUpdate TrafficSessions::Poll(ConnectionId connection,
                                             const traffic::TrafficPoll& poll, Instant now) {
  heard_[poll.router] = now;
  if (!sessions_.contains(connection)) new_.insert(connection);
  sessions_[connection].version = state_.version();
  traffic::TrafficUpdate update = UpdateFor(poll.version, now);
  update.sequence = poll.sequence;
  return update;
}

std::vector<RouterSend> TrafficSessions::Push(Instant now) {
  std::vector<RouterSend> sends;
  if (pushed_version_ == state_.urgent_version()) return sends;
  held_back_ = now < push_due_;
  if (held_back_) return sends;
  // Most routers have the same version: one message serves them all.
  std::map<std::uint64_t, std::shared_ptr<const ControlToRouter>> by_base;
  for (auto& [connection, session] : sessions_) {
    if (session.version >= state_.urgent_version()) continue;
    auto& message = by_base[session.version];
    if (!message) message = std::make_shared<const ControlToRouter>(UpdateFor(session.version, now));
    sends.push_back({connection, message});
    session.version = state_.version();
  }
  pushed_version_ = state_.urgent_version();
  const auto sent = static_cast<std::int64_t>(sends.size());
  push_due_ = now + std::chrono::microseconds(std::micro::den * sent / kPushesPerSecond);
  return sends;
}

void TrafficSessions::TellAll(const traffic::TrafficHints& hints,
                              std::vector<RouterSend>& sends) const {
  const auto message = std::make_shared<const ControlToRouter>(hints);
  for (const auto& [connection, session] : sessions_) sends.push_back({connection, message});
}

void TrafficSessions::TellNew(const traffic::TrafficHints& hints, std::vector<RouterSend>& sends) {
  const auto message = std::make_shared<const ControlToRouter>(hints);
  for (const ConnectionId connection : std::exchange(new_, {})) {
    sends.push_back({connection, message});
  }
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
