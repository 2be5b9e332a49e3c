/// @file
/// Monitors whether the control process that feeds a gateway its state keeps up with the leader.
#pragma once

#include <cstdint>
#include <string>

#include "graniteseam/common/time.h"

namespace graniteseam::gateway {

/// State of the feed monitor. A feed is a follower; it may be cut off from the leader, stalled or
/// gone while this gateway still reaches the leader, which has acknowledged drains and
/// configurations that must take effect here too. Each answer of the leader therefore includes its
/// version. A feed that does not deliver that version in time is abandoned: the gateway requests
/// the state from the leader itself, and another feed.
struct FeedWatch {
  bool answered = false;  ///< A leader has answered a poll.
  std::string address;    ///< The present feed; empty before the first.
  /// Feeds abandoned since the gateway started; reported in polls so that the leader names another.
  std::uint32_t feeds_abandoned = 0;
  std::uint64_t awaited = 0;  ///< A version that the leader has and this gateway still waits for.
  Instant awaited_since{};
  std::uint64_t version = 0;  ///< The version here at the last check.
  Instant advanced_at{};      ///< When a check last found a newer version.
  /// Feeds abandoned since this gateway last had the awaited version; lengthens the lag timeout.
  std::uint32_t abandoned_since_current = 0;
  /// Whether polls request the state from the leader itself, until the awaited version is here.
  bool wants_state_from_leader = false;
};

/// Records the leader's answer to a poll.
/// @param feed the feed that it names. An answer to a poll of long ago does not change the feed:
/// its link is slow, and so is the feed if it is the leader itself.
/// @param leader_version the leader's newest version; `own_version` the version here.
auto note_answer(FeedWatch& watch, std::string const& feed, std::uint64_t leader_version,
                 std::uint64_t own_version, Instant now, Duration poll_age = {}) -> void;

/// Records the version of a control process that follows the leader. It becomes the feed if the
/// present one was abandoned: while the leader's answers do not arrive, nobody names another.
auto note_follower(FeedWatch& watch, std::string const& follower, std::uint64_t version,
                   std::uint64_t own_version, Instant now) -> void;

/// Abandons the feed if it is late. Call before each poll.
auto check_feed(FeedWatch& watch, std::uint64_t own_version, Instant now) -> void;

/// Abandons the feed; also called when the connection to it ends.
auto abandon_feed(FeedWatch& watch, Instant now) -> void;

}  // namespace graniteseam::gateway
