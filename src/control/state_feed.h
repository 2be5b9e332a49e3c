/// @file
/// Brings routers the traffic state and its changes as this process has applied them.
#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <vector>

#include "graniteseam/control/control_node.h"
#include "src/traffic/traffic_state.h"

namespace graniteseam::control {

struct StateFeedOptions {
  /// Whether PushSent() will be called for each push.
  bool reports_push_completion = false;
  /// Whether all changes are brought in the end, and not only those that routers must know at once.
  /// Otherwise they ask for the rest.
  bool pushes_all_changes = false;
};

/// Any member of the group may do this: what it has applied is committed, and a router takes no
/// state that is older than its own. So the state reaches the routers of a zone from a member of
/// that zone, once across the zones and not once for each router.
///
/// Changes are pushed at once, but no faster than a process can send to all routers: what changes
/// meanwhile goes out as one. Where the driver tells when a push has left, the next one waits for
/// as long again as it took: pushing takes half of the time at most, however slow the process is,
/// and what its peers are to hear waits for one push at most. Not thread safe; `now` never goes
/// back.
class StateFeed {
 public:
  using Message = std::shared_ptr<const ControlToRouter>;

  /// @param pushes_used numbers of earlier feeds of this process go up to here.
  StateFeed(const traffic::TrafficState& state, StateFeedOptions options,
            std::uint64_t pushes_used = 0)
      : state_(state), options_(options), last_push_(pushes_used) {}

  /// A router that has `version` is brought the changes from now on.
  /// @return the message with what it lacks now; null when it lacks nothing.
  Message Subscribe(ConnectionId connection, std::uint64_t version);
  /// The router has the newest state, as it was told or sent by other means.
  void MarkCurrent(ConnectionId connection) { versions_[connection] = state_.version(); }
  void Disconnect(ConnectionId connection) { versions_.erase(connection); }

  /// What changed for each router since it was last sent something.
  std::vector<RouterSend> Push(Instant now);
  /// The number of the newest Push() that sent something.
  std::uint64_t last_push() const { return last_push_; }
  /// What that push sent has left the process.
  void PushSent(std::uint64_t push, Instant now);
  /// When Push() has something to send that it held back.
  Instant NextDue() const { return held_back_ ? wait_until_ : Instant::max(); }

  /// What changed since `base`; the same message for all that ask before the next change.
  Message UpdateSince(std::uint64_t base);
  /// Messages made so far: what bringing the state costs beside sending.
  std::uint64_t updates_made() const { return updates_made_; }

 private:
  Duration PushInterval(std::size_t routers) const;

  const traffic::TrafficState& state_;
  const StateFeedOptions options_;
  std::map<ConnectionId, std::uint64_t> versions_;  ///< That each router was sent.
  std::uint64_t updates_version_ = 0;               ///< Of the state that `updates_` lead to.
  std::map<std::uint64_t, Message> updates_;        ///< By base.
  std::uint64_t updates_made_ = 0;
  std::uint64_t pushed_version_ = 0;  ///< That every router was sent.
  std::uint64_t last_push_;
  Instant pushed_at_{};
  Instant push_due_{};    ///< Not pushed again earlier.
  Instant wait_until_{};  ///< What is held back waits so long.
  bool held_back_ = false;
};

}  // namespace graniteseam::control
