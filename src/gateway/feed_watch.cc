#include "src/gateway/feed_watch.h"

#include <algorithm>

namespace graniteseam::gateway {
namespace {

/// Changes arrive from a feed within 0.1 s, deferrable ones within 0.3 s. A feed that delivers
/// nothing for this long although the leader has a newer version is cut off from the leader or
/// gone. With a poll interval before and after, a change still arrives within 1.6 s of its
/// commit, inside the 2 s that users allow.
constexpr Duration kStallTimeout{600'000};
/// A feed that delivers updates but stays behind for this long is slow. The cause may be this
/// gateway's own link, over which the state of a large fleet takes seconds while it changes:
/// another feed would only add to that, so the timeout doubles with each abandoned feed.
constexpr Duration kLagTimeout{1'500'000};
constexpr std::uint32_t kDoublingsMaximum = 3;
constexpr Duration kPollAgeMaximum{1'000'000};
/// For the first state, which all gateways of a zone may request together.
constexpr Duration kFirstStateTimeout{4'000'000};

/// Starts to wait for a version that control has, unless the watch waits for an earlier one.
auto await_version(FeedWatch& watch, std::uint64_t version, std::uint64_t own_version, Instant now)
    -> void {
  if (own_version < watch.awaited || own_version >= version) return;
  watch.awaited = version;
  watch.awaited_since = now;
}

}  // namespace

auto note_answer(FeedWatch& watch, std::string const& feed, std::uint64_t leader_version,
                 std::uint64_t own_version, Instant now, Duration poll_age) -> void {
  watch.answered = true;
  if (watch.address.empty() || poll_age <= kPollAgeMaximum) watch.address = feed;
  await_version(watch, leader_version, own_version, now);
}

auto note_follower(FeedWatch& watch, std::string const& follower, std::uint64_t version,
                   std::uint64_t own_version, Instant now) -> void {
  await_version(watch, version, own_version, now);
  if (watch.wants_state_from_leader && own_version < version) watch.address = follower;
}

auto check_feed(FeedWatch& watch, std::uint64_t own_version, Instant now) -> void {
  if (own_version != watch.version) {
    watch.version = own_version;
    watch.advanced_at = now;
  }
  if (own_version >= watch.awaited) {
    watch.wants_state_from_leader = false;
    watch.abandoned_since_current = 0;
    return;
  }
  auto const behind_for = now - watch.awaited_since;
  auto const stalled_for = now - std::max(watch.awaited_since, watch.advanced_at);
  auto const lag_timeout =
      kLagTimeout * (1 << std::min(watch.abandoned_since_current, kDoublingsMaximum));
  auto const first = own_version == 0;
  auto const is_late = first ? behind_for >= kFirstStateTimeout
                             : stalled_for >= kStallTimeout || behind_for >= lag_timeout;
  if (is_late) abandon_feed(watch, now);
}

auto abandon_feed(FeedWatch& watch, Instant now) -> void {
  ++watch.feeds_abandoned;
  ++watch.abandoned_since_current;
  watch.awaited_since = now;
  watch.wants_state_from_leader = true;
}

}  // namespace graniteseam::gateway
