/// @file
/// The routers that poll the leader for the traffic state, and what each was sent.
#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <utility>
#include <vector>

#include "graniteseam/control/control_node.h"
#include "src/traffic/traffic_state.h"

namespace graniteseam::control {

/// Changes are pushed at once; polls repair what was lost. Not thread safe; `now` never goes back.
class TrafficSessions {
 public:
  TrafficSessions(const traffic::TrafficState& state, Instant now) : state_(state), start_(now) {}

  /// Answers a poll with what the router lacks.
  traffic::TrafficUpdate Poll(ConnectionId connection, const traffic::TrafficPoll& poll,
                              Instant now);
  void Disconnect(ConnectionId connection) { sessions_.erase(connection); }

  /// What changed for each router since it was last sent something.
  std::vector<std::pair<ConnectionId, traffic::TrafficUpdate>> Push(Instant now);

  /// Routers that polled lately; 0 while a new leader may not have heard of all.
  std::uint32_t RouterCount(Instant now) const;

 private:
  struct Session {
    std::uint64_t version = 0;  ///< Sent up to here.
  };

  traffic::TrafficUpdate UpdateFor(std::uint64_t base, Instant now) const;

  const traffic::TrafficState& state_;
  const Instant start_;
  std::map<ConnectionId, Session> sessions_;
  std::map<RouterId, Instant> heard_;
};

}  // namespace graniteseam::control
