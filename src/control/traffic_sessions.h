/// @file
/// The routers that poll the leader: the answers to their polls, and the state for those that have
/// no other feed.
#pragma once

#include <cstdint>
#include <set>
#include <string>
#include <vector>

#include "graniteseam/control/control_node.h"
#include "src/control/router_registry.h"
#include "src/control/state_feed.h"
#include "src/traffic/traffic_state.h"

namespace graniteseam::control {

/// Routers take the state from a feed that the leader names to them: a member of their own zone.
/// One that finds no feed which keeps up asks the leader for the state itself. That is bounded: a
/// message for each router that is behind by something else would take the leader's whole time
/// just when it has little. Polls repair what was lost. Not thread safe; `now` never goes back.
class TrafficSessions {
 public:
  /// @param timed whether PushSent() will be called for each push.
  /// @param pushes_used the newest number of this process's earlier leaderships.
  TrafficSessions(const traffic::TrafficState& state, Instant now, bool timed = false,
                  std::uint64_t pushes_used = 0)
      : state_(state), feed_(state, {timed, false}, pushes_used), routers_(now) {}

  /// Answers a poll. A router that asks for the state is sent what it lacks before that, in a
  /// message of its own which names no poll: hundreds of routers that start together get the same.
  /// @param feed where the router is to take the state from, "ip:port"; empty for nowhere.
  /// @param quota what the answer brings of tenants' quotas.
  std::vector<RouterSend> Poll(ConnectionId connection, const traffic::TrafficPoll& poll,
                               Instant now, const std::string& feed = "",
                               traffic::QuotaGrant quota = {});
  void Disconnect(ConnectionId connection) {
    sessions_.erase(connection);
    feed_.Disconnect(connection);
    hints_pending_.erase(connection);
  }

  /// What changed for each router that asked for the state here.
  std::vector<RouterSend> Push(Instant now) { return feed_.Push(now); }
  /// The number of the newest Push() that sent something.
  std::uint64_t last_push() const { return feed_.last_push(); }
  /// What that push sent has left the process.
  void PushSent(std::uint64_t push, Instant now) { feed_.PushSent(push, now); }
  /// Sends hints to all routers.
  void BroadcastHints(const traffic::TrafficHints& hints, std::vector<RouterSend>& sends) const;
  /// Whether routers were heard of that were told no hints yet.
  bool HasHintsPending() const { return !hints_pending_.empty(); }
  /// Sends hints to those.
  void SendInitialHints(const traffic::TrafficHints& hints, std::vector<RouterSend>& sends);

  /// When Push() has something to send that it held back.
  Instant NextDue() const { return feed_.NextDue(); }

  /// Routers that polled lately; 0 while a new leader may not have heard of all.
  std::uint32_t RouterCount(Instant now) { return routers_.Count(now); }

  /// What answering polls has cost so far: routers looked at, and messages made.
  std::uint64_t evaluations() const { return routers_.router_evaluations() + feed_.updates_made(); }

 private:
  /// What a router that asks for the state lacks; null when it must ask again.
  StateFeed::Message StateFor(std::uint64_t version, Instant now);

  const traffic::TrafficState& state_;
  StateFeed feed_;
  RouterRegistry routers_;
  std::set<ConnectionId> sessions_;
  std::set<ConnectionId> hints_pending_;  ///< Told no hints yet.
  Instant next_update_{};  ///< When one more message may be made for a router by itself.
};

}  // namespace graniteseam::control
