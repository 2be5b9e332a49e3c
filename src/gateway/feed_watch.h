/// @file
/// Watches whether the control process that brings a gateway the state keeps up with the leader.
#pragma once

#include <cstdint>
#include <string>

#include "graniteseam/common/time.h"

namespace graniteseam::gateway {

/// A feed is a member that follows; it may be cut off from the leader, stand still or be gone while
/// this gateway is in touch with the leader, which has acknowledged drains and configurations that
/// bind here too. So each answer of the leader names its version, and a feed that does not bring
/// that in time is given up: the leader is asked for the state itself, and for another feed.
struct FeedWatch {
  bool answered = false;      ///< A leader has answered a poll.
  std::string address;        ///< As the leader named it last; empty before.
  std::uint32_t tried = 0;    ///< Feeds that were given up.
  std::uint64_t awaited = 0;  ///< A version that the leader has and that is not here yet.
  Instant awaited_since{};
  std::uint64_t version = 0;  ///< Here at the last look.
  Instant advanced_at{};      ///< When a look last found a newer one.
  std::uint32_t late = 0;     ///< Feeds given up since the state here was the leader's.
  bool asks_leader = false;   ///< For the state itself, until it is here.
};

/// Takes the leader's answer to a poll.
/// @param leader_version the newest that the leader has; `own_version` what is here.
auto note_answer(FeedWatch& watch, std::string const& feed, std::uint64_t leader_version,
                 std::uint64_t own_version, Instant now) -> void;

/// Gives the feed up if it is late. To be called before each poll.
auto check_feed(FeedWatch& watch, std::uint64_t own_version, Instant now) -> void;

/// The connection to the feed ended.
auto abandon_feed(FeedWatch& watch, Instant now) -> void;

}  // namespace graniteseam::gateway
