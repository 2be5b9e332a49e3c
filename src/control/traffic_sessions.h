/// @file
/// The routers that poll the leader: answers to their polls, and the state for those without
/// another feed.
#pragma once

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "graniteseam/control/control_node.h"
#include "src/control/gateway_directory.h"
#include "src/control/router_registry.h"
#include "src/control/state_feed.h"
#include "src/traffic/traffic_state.h"

namespace graniteseam::control {

/// Answers routers' polls. Routers receive the state from a feed that the leader assigns to them: a
/// member in their own zone. A router that finds no feed that keeps up requests the state from the
/// leader. The number of these messages is limited: building one for every router that is behind at
/// a different version would take all of the leader's time when it is already overloaded. Later
/// polls make up for lost messages. Not thread safe; `now` never decreases.
class TrafficSessions {
 public:
  /// @param term of the leadership.
  /// @param timed whether the driver calls PushSent() after each push.
  /// @param pushes_used the highest push number of this process's earlier leaderships.
  TrafficSessions(const traffic::TrafficState& state, Term term, Instant now, bool timed = false,
                  std::uint64_t pushes_used = 0)
      : state_(state),
        feed_(state, {timed, false}, pushes_used),
        routers_(now),
        directory_(term, now) {}

  /// Answers a poll. A router that requests the state is sent the missing changes first, in a
  /// separate message that refers to no poll, so that hundreds of routers that start together share
  /// one message. The same goes for the members, when they changed since the router's last poll.
  /// @param feed address "ip:port" from which the router is to receive the state; empty for none.
  /// @param quota the quota part of the answer.
  std::vector<RouterSend> Poll(ConnectionId connection, const traffic::TrafficPoll& poll,
                               Instant now, const std::string& feed = "",
                               traffic::QuotaGrant quota = {});
  /// Sets the members that routers may connect to. A learner counts from when it first caught up
  /// until it leaves the group, so that the list does not change while members lag.
  void SetMembers(const consensus::Membership& membership,
                  const std::vector<consensus::PeerStatus>& peers);
  /// Removes a router whose connection was closed.
  void Disconnect(ConnectionId connection) {
    sessions_.erase(connection);
    members_told_.erase(connection);
    feed_.Disconnect(connection);
    hints_pending_.erase(connection);
  }

  /// The changes for each router that receives the state from the leader.
  std::vector<RouterSend> Push(Instant now) { return feed_.Push(now); }
  /// Number of the newest Push() that sent something.
  std::uint64_t last_push() const { return feed_.last_push(); }
  /// Notifies the feed that a push has been sent completely.
  void PushSent(std::uint64_t push, Instant now) { feed_.PushSent(push, now); }
  /// Adds a message with hints for every router.
  void BroadcastHints(const traffic::TrafficHints& hints, std::vector<RouterSend>& sends) const;
  /// Whether there are routers that have not been sent hints yet.
  bool HasHintsPending() const { return !hints_pending_.empty(); }
  /// Adds a message with hints for these routers.
  void SendInitialHints(const traffic::TrafficHints& hints, std::vector<RouterSend>& sends);

  /// Time at which Push() will send changes that it held back.
  Instant NextDue() const { return feed_.NextDue(); }

  /// Number of routers that polled recently; 0 while a new leader may not have received a poll from
  /// all.
  std::uint32_t RouterCount(Instant now) { return routers_.Count(now); }

  /// Cost of answering polls so far: router records evaluated, and messages built.
  std::uint64_t evaluations() const { return routers_.router_evaluations() + feed_.updates_made(); }

 private:
  /// The changes that a router lacks; null when it has to request them again.
  StateFeed::Message StateFor(std::uint64_t version, Instant now);

  const traffic::TrafficState& state_;
  StateFeed feed_;
  RouterRegistry routers_;
  GatewayDirectory directory_;
  std::set<ConnectionId> sessions_;
  std::set<ConnectionId> hints_pending_;  ///< Routers that have not been sent hints yet.
  StateFeed::Message members_;            ///< The list of members; null before the first one.
  /// The list that each router was sent last. By address, so that one list is one message.
  std::map<ConnectionId, StateFeed::Message> members_told_;
  /// Rate limit of messages built for single routers: the time at which the next one is due.
  Instant next_update_{};
};

}  // namespace graniteseam::control
