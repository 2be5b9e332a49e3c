/// @file
/// The routers that poll the leader for the traffic state, and what each was sent.
#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "graniteseam/control/control_node.h"
#include "src/traffic/traffic_state.h"

namespace graniteseam::control {

/// Changes are pushed at once, but no faster than a leader can send to all routers: what changes
/// meanwhile goes out as one. Where the driver tells when a push has left, the next one waits for
/// as long again as it took: pushing takes half of the time at most, however slow the process is,
/// and what its peers are to hear waits for one push at most. Polls repair what was lost. Not
/// thread safe; `now` never goes back.
class TrafficSessions {
 public:
  /// @param timed whether PushSent() will be called for each push.
  /// @param pushes_used the newest number of this process's earlier leaderships.
  TrafficSessions(const traffic::TrafficState& state, Instant now, bool timed = false,
                  std::uint64_t pushes_used = 0)
      : state_(state), timed_(timed), start_(now), last_push_(pushes_used) {}

  /// Sends a router what it lacks, and then the answer to its poll. The state goes in a message of
  /// its own, which names no poll: hundreds of routers that start together get the same one.
  std::vector<RouterSend> Poll(ConnectionId connection, const traffic::TrafficPoll& poll,
                               Instant now);
  void Disconnect(ConnectionId connection) {
    sessions_.erase(connection);
    new_.erase(connection);
  }

  /// What changed for each router since it was last sent something.
  std::vector<RouterSend> Push(Instant now);
  /// The number of the newest Push() that sent something.
  std::uint64_t last_push() const { return last_push_; }
  /// What that push sent has left the process.
  void PushSent(std::uint64_t push, Instant now);
  /// Sends hints to all routers.
  void TellAll(const traffic::TrafficHints& hints, std::vector<RouterSend>& sends) const;
  /// Whether routers were heard of that were told no hints yet.
  bool HasNew() const { return !new_.empty(); }
  /// Sends hints to those.
  void TellNew(const traffic::TrafficHints& hints, std::vector<RouterSend>& sends);

  /// When Push() has something to send that it held back.
  Instant NextDue() const { return held_back_ ? push_due_ : Instant::max(); }

  /// The newest version that a router was sent over any of its connections; 0 for none.
  std::uint64_t SentTo(const RouterId& router) const;

  /// Routers that polled lately; 0 while a new leader may not have heard of all.
  std::uint32_t RouterCount(Instant now) const;

 private:
  struct Session {
    RouterId router;
    std::uint64_t version = 0;  ///< Sent up to here.
  };

  using RouterTimes = std::map<RouterId, Instant>;

  /// Routers heard of lately, of those before `end`.
  std::uint32_t HeardLately(RouterTimes::const_iterator end, Instant now) const;
  /// A router's place among those that RouterCount() counts.
  std::uint32_t PlaceOf(const RouterId& router, Instant now) const;

  using Message = std::shared_ptr<const ControlToRouter>;

  /// What changed since `base`; the same message for all that ask before the next change.
  Message UpdateFor(std::uint64_t base, Instant now);

  const traffic::TrafficState& state_;
  const bool timed_;
  const Instant start_;
  std::map<ConnectionId, Session> sessions_;
  std::set<ConnectionId> new_;                ///< Told no hints yet.
  std::uint64_t updates_version_ = 0;         ///< Of the state that `updates_` lead to.
  std::map<std::uint64_t, Message> updates_;  ///< By base.
  std::uint64_t pushed_version_ = 0;          ///< Urgent version that every session was sent.
  std::uint64_t last_push_;
  Instant pushed_at_{};
  Instant push_due_{};      ///< Not pushed again earlier.
  bool held_back_ = false;  ///< Something waits for `push_due_`.
  RouterTimes heard_;
};

}  // namespace graniteseam::control
