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
  if (members_ && std::exchange(members_told_[connection], members_) != members_) {
    sends.push_back({connection, members_});
  }
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

void TrafficSessions::SetMembers(const consensus::Membership& membership,
                                 const std::vector<consensus::PeerStatus>& peers) {
  const auto* const before = members_ ? &std::get<GroupMembers>(*members_).addresses : nullptr;
  const auto was_ready = [&](const std::string& address) {
    return before != nullptr && std::find(before->begin(), before->end(), address) != before->end();
  };
  const auto is_caught_up = [&](const consensus::Member& learner) {
    return std::any_of(peers.begin(), peers.end(), [&](const consensus::PeerStatus& peer) {
      return peer.caught_up && peer.member.IsSameMemberAs(learner);
    });
  };
  GroupMembers members;
  for (const consensus::Member& voter : membership.voters) {
    members.addresses.push_back(voter.address);
  }
  for (const consensus::Member& learner : membership.learners) {
    if (was_ready(learner.address) || is_caught_up(learner)) {
      members.addresses.push_back(learner.address);
    }
  }
  // A promotion changes nothing here, and a machine whose disk was replaced is two members for a
  // while.
  std::sort(members.addresses.begin(), members.addresses.end());
  const auto repeated = std::unique(members.addresses.begin(), members.addresses.end());
  members.addresses.erase(repeated, members.addresses.end());
  if (before != nullptr && members.addresses == *before) return;
  members_ = std::make_shared<const ControlToRouter>(std::move(members));
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
