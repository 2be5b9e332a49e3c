/// @file
/// Sends routers the traffic state and its changes as applied by this process.
#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <vector>

#include "graniteseam/control/control_node.h"
#include "src/traffic/traffic_state.h"

namespace graniteseam::control {

struct StateFeedOptions {
  /// Whether the driver calls PushSent() after each push.
  bool reports_push_completion = false;
  /// Whether all changes are pushed eventually, and not only the urgent ones. Otherwise routers
  /// request the rest.
  bool pushes_all_changes = false;
};

/// Pushes the traffic state to subscribed routers. Any member of the group may run a feed: the
/// state that it has applied is committed, and a router ignores state that is older than its own.
/// The routers of a zone thus receive the state from a member in that zone, and it crosses zones
/// once instead of once for each router.
///
/// Changes are pushed immediately, but no faster than a process can send to all routers; changes in
/// the meantime are sent together. If the driver reports when a push was sent, the next one waits
/// for the same time again: pushing takes at most half of the time, however slow the process is,
/// and messages to peers are delayed by at most one push. Not thread safe; `now` never decreases.
class StateFeed {
 public:
  using Message = std::shared_ptr<const ControlToRouter>;

  /// @param pushes_used the highest push number of earlier feeds of this process.
  StateFeed(const traffic::TrafficState& state, StateFeedOptions options,
            std::uint64_t pushes_used = 0)
      : state_(state), options_(options), last_push_(pushes_used) {}

  /// Subscribes a router that holds `version` to the changes from now on.
  /// @return the message with the changes since `version`; null when there are none.
  Message Subscribe(ConnectionId connection, std::uint64_t version);
  /// Subscribes a router that holds the newest state, as it reported or as it was sent by other
  /// means.
  void MarkCurrent(ConnectionId connection) { versions_[connection] = state_.version(); }
  /// Ends a subscription.
  void Disconnect(ConnectionId connection) { versions_.erase(connection); }

  /// Returns the changes since the last message to each router; empty while the push interval
  /// lasts.
  std::vector<RouterSend> Push(Instant now);
  /// Number of the newest Push() that sent something.
  std::uint64_t last_push() const { return last_push_; }
  /// Notifies the feed that a push has been sent completely; ignored for earlier pushes.
  void PushSent(std::uint64_t push, Instant now);
  /// Time at which Push() will send changes that it held back.
  Instant NextDue() const { return held_back_ ? wait_until_ : Instant::max(); }

  /// The changes since `base`; all callers before the next change share one message.
  Message UpdateSince(std::uint64_t base);
  /// Number of messages built so far: the cost of distributing the state, apart from sending.
  std::uint64_t updates_made() const { return updates_made_; }

 private:
  /// Minimum time between pushes to this number of routers.
  Duration PushInterval(std::size_t routers) const;

  const traffic::TrafficState& state_;
  const StateFeedOptions options_;
  std::map<ConnectionId, std::uint64_t> versions_;  ///< Version last sent to each router.
  std::uint64_t updates_version_ = 0;               ///< State version that `updates_` lead to.
  std::map<std::uint64_t, Message> updates_;        ///< Cached messages by base version.
  std::uint64_t updates_made_ = 0;
  std::uint64_t pushed_version_ = 0;  ///< Version sent to every router.
  std::uint64_t last_push_;
  Instant pushed_at_{};
  Instant push_due_{};    ///< Earliest time of the next push.
  Instant wait_until_{};  ///< Time at which the held back changes are sent.
  bool held_back_ = false;
};

}  // namespace graniteseam::control
