#include "src/control/traffic_sessions.h"

#include <algorithm>
#include <utility>

namespace graniteseam::control {
namespace {

/// Rate limit of messages for routers that request the state: a burst, then one per interval.
/// Building one iterates over all instances and ranges, which takes 0.5 ms with 20,000 of them: at
/// most a tenth of a core, however many routers ask.
constexpr std::int64_t kUpdatesAtOnce = 20;
constexpr Duration kUpdateInterval{5'000};

}  // namespace

std::vector<RouterSend> TrafficSessions::Poll(ConnectionId connection,
                                              const traffic::TrafficPoll& poll, Instant now,
                                              const std::string& feed, traffic::QuotaGrant quota) {
  routers_.RecordPoll(poll.router, now);
  directory_.RecordPoll(poll, now);
  if (sessions_.insert(connection).second) hints_pending_.insert(connection);
  std::vector<RouterSend> sends;
  const bool lacks_state = poll.wants_state && poll.version != state_.version();
  StateFeed::Message state = lacks_state ? StateFor(poll.version, now) : nullptr;
  if (!poll.wants_state) {
    feed_.Disconnect(connection);
  } else if (state || !lacks_state) {
    feed_.MarkCurrent(connection);
  }
  if (state) sends.push_back({connection, std::move(state)});
  traffic::TrafficUpdate answer;
  answer.sequence = poll.sequence;
  answer.base = answer.version = state_.version();
  answer.configuration = state_.configuration().current().version;
  answer.routers = routers_.Count(now);
  answer.router_place = routers_.IndexOf(poll.router, now);
  answer.feed = feed;
  answer.quota = std::move(quota);
  answer.peers = directory_.UpdateSince(poll.peers_version, now);
  sends.push_back({connection, std::make_shared<const ControlToRouter>(std::move(answer))});
  return sends;
}

StateFeed::Message TrafficSessions::StateFor(std::uint64_t version, Instant now) {
  const std::uint64_t made_before = feed_.updates_made();
  if (now + kUpdatesAtOnce * kUpdateInterval < next_update_) return nullptr;
  StateFeed::Message message = feed_.UpdateSince(version);
  if (feed_.updates_made() != made_before) {
    next_update_ = std::max(next_update_, now) + kUpdateInterval;
  }
  return message;
}

void TrafficSessions::BroadcastHints(const traffic::TrafficHints& hints,
                                     std::vector<RouterSend>& sends) const {
  const auto message = std::make_shared<const ControlToRouter>(hints);
  for (const ConnectionId connection : sessions_) sends.push_back({connection, message});
}

void TrafficSessions::SendInitialHints(const traffic::TrafficHints& hints,
                                       std::vector<RouterSend>& sends) {
  const auto message = std::make_shared<const ControlToRouter>(hints);
  for (const ConnectionId connection : std::exchange(hints_pending_, {})) {
    sends.push_back({connection, message});
  }
}

}  // namespace graniteseam::control
