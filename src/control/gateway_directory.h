/// @file
/// The list of gateways that coordinate admission among themselves, derived from their polls.
#pragma once

#include <cstdint>
#include <deque>
#include <map>

#include "graniteseam/common/ids.h"
#include "graniteseam/common/time.h"
#include "graniteseam/traffic/update.h"

namespace graniteseam::control {

/// Keeps the list for one leadership, in versions, and answers each poll with what its gateway
/// lacks. The list is volatile: gateways keep the former leader's until a new one publishes its
/// own. Not thread safe; `now` never decreases.
class GatewayDirectory {
 public:
  /// @param now start of the leadership.
  GatewayDirectory(Term term, Instant now) : term_(term), start_(now), checked_at_(now) {}

  /// Records a gateway's poll.
  void RecordPoll(const traffic::TrafficPoll& poll, Instant now);
  /// What a gateway with that version of the list lacks; version number 0 when it lacks nothing, or
  /// while a new leader may not have heard from all gateways.
  traffic::PeerUpdate UpdateSince(const traffic::PeerVersion& known, Instant now);

  std::size_t size() const { return gateways_.size(); }

 private:
  struct Gateway {
    traffic::GatewayPeer peer;
    Instant last_poll;
  };
  struct Change {
    std::uint64_t number = 0;
    RouterId gateway;
  };

  void RemoveSilent(Instant now);
  void NoteChange(const RouterId& gateway);

  const Term term_;
  const Instant start_;
  Instant checked_at_;
  std::map<RouterId, Gateway> gateways_;
  std::uint64_t number_ = 0;    ///< Of the last change.
  std::deque<Change> changes_;  ///< The newest, oldest first, with consecutive numbers.
};

}  // namespace graniteseam::control
