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
/// Messages a second that pushes may take, so that a leader has time for its other duties: a change
/// that goes to 300 routers is 300 messages. With so many, changes are told each 30 ms; with ten,
/// each millisecond.
constexpr std::int64_t kPushesPerSecond = 10'000;

/// Without word that a push has left, the next one goes out all the same after this.
constexpr Duration kPushLostAfter{500'000};

}  // namespace

std::vector<RouterSend> TrafficSessions::Poll(ConnectionId connection,
                                              const traffic::TrafficPoll& poll, Instant now) {
  heard_[poll.router] = now;
  if (!sessions_.contains(connection)) new_.insert(connection);
  sessions_[connection] = {poll.router, state_.version()};
  std::vector<RouterSend> sends;
  if (poll.version != state_.version()) sends.push_back({connection, UpdateFor(poll.version, now)});
  traffic::TrafficUpdate answer;
  answer.sequence = poll.sequence;
  answer.base = answer.version = state_.version();
  answer.configuration = state_.configuration().current().version;
  answer.routers = RouterCount(now);
  answer.router_place = PlaceOf(poll.router, now);
  sends.push_back({connection, std::make_shared<const ControlToRouter>(std::move(answer))});
  return sends;
}

std::vector<RouterSend> TrafficSessions::Push(Instant now) {
  std::vector<RouterSend> sends;
  if (pushed_version_ == state_.urgent_version()) return sends;
  held_back_ = now < push_due_;
  if (held_back_) return sends;
  for (auto& [connection, session] : sessions_) {
    if (session.version >= state_.urgent_version()) continue;
    sends.push_back({connection, UpdateFor(session.version, now)});
    session.version = state_.version();
  }
  pushed_version_ = state_.urgent_version();
  if (sends.empty()) return sends;
  const auto sent = static_cast<std::int64_t>(sends.size());
  push_due_ = now + std::chrono::microseconds(std::micro::den * sent / kPushesPerSecond);
  pushed_at_ = now;
  ++last_push_;
  if (timed_) push_due_ = std::max(push_due_, now + kPushLostAfter);
  return sends;
}

void TrafficSessions::PushSent(std::uint64_t push, Instant now) {
  if (push != last_push_) return;
  const auto paced =
      static_cast<std::int64_t>(sessions_.size()) * std::micro::den / kPushesPerSecond;
  push_due_ = std::max(now + (now - pushed_at_), pushed_at_ + std::chrono::microseconds(paced));
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

TrafficSessions::Message TrafficSessions::UpdateFor(std::uint64_t base, Instant now) {
  if (updates_version_ != state_.version()) updates_.clear();
  updates_version_ = state_.version();
  Message& message = updates_[base];
  if (message) return message;
  traffic::TrafficUpdate update = state_.UpdateSince(base);
  update.routers = RouterCount(now);
  message = std::make_shared<const ControlToRouter>(std::move(update));
  return message;
}

std::uint64_t TrafficSessions::SentTo(const RouterId& router) const {
  std::uint64_t sent = 0;
  for (const auto& [connection, session] : sessions_) {
    if (session.router == router) sent = std::max(sent, session.version);
  }
  return sent;
}

std::uint32_t TrafficSessions::HeardLately(RouterTimes::const_iterator end, Instant now) const {
  const auto lately = std::count_if(
      heard_.begin(), end, [&](const auto& entry) { return now - entry.second <= kRouterKept; });
  return static_cast<std::uint32_t>(lately);
}

std::uint32_t TrafficSessions::RouterCount(Instant now) const {
  return now - start_ < kSettling ? 0 : HeardLately(heard_.end(), now);
}

std::uint32_t TrafficSessions::PlaceOf(const RouterId& router, Instant now) const {
  return HeardLately(heard_.find(router), now);
}

}  // namespace graniteseam::control
