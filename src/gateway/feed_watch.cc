#include "src/gateway/feed_watch.h"

#include <algorithm>

namespace graniteseam::gateway {
namespace {

/// Changes come from a feed within a tenth of a second, those that have time within 0.3 s. A feed
/// that brings nothing for so long although the leader has more is cut off from it, or gone: with
/// an interval of polls before and after, a change is here 1.6 s after its commit all the same,
/// within the 2 s that the users allow.
constexpr Duration kStillFor{600'000};
/// One that brings something, and is behind for so long, is slow. What is slow may be this
/// gateway's own link, over which the state of a large fleet takes seconds while it changes:
/// another feed would only add to that, so that the time is doubled with each that is given up.
constexpr Duration kBehindFor{1'500'000};
constexpr std::uint32_t kDoubledAtMost = 3;
/// For the first state. All gateways of a zone may ask for it together.
constexpr Duration kFirstFor{4'000'000};

}  // namespace

auto note_answer(FeedWatch& watch, std::string const& feed, std::uint64_t leader_version,
                 std::uint64_t own_version, Instant now) -> void {
  watch.answered = true;
  watch.address = feed;
  if (own_version < watch.awaited || own_version >= leader_version) return;
  watch.awaited = leader_version;
  watch.awaited_since = now;
}

auto check_feed(FeedWatch& watch, std::uint64_t own_version, Instant now) -> void {
  if (own_version != watch.version) {
    watch.version = own_version;
    watch.advanced_at = now;
  }
  if (own_version >= watch.awaited) {
    watch.asks_leader = false;
    watch.late = 0;
    return;
  }
  auto const behind = now - watch.awaited_since;
  auto const still = now - std::max(watch.awaited_since, watch.advanced_at);
  auto const patience = kBehindFor * (1 << std::min(watch.late, kDoubledAtMost));
  auto const first = own_version == 0;
  auto const is_late = first ? behind >= kFirstFor : still >= kStillFor || behind >= patience;
  if (is_late) abandon_feed(watch, now);
}

auto abandon_feed(FeedWatch& watch, Instant now) -> void {
  ++watch.tried;
  ++watch.late;
  watch.awaited_since = now;
  watch.asks_leader = true;
}

}  // namespace graniteseam::gateway
