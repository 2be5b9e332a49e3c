#include "src/control/feed_selector.h"

#include <algorithm>
#include <functional>
#include <utility>

namespace graniteseam::control {
namespace {

/// A peer is eligible if it answered within the first time and had all committed entries within the
/// second one. Routers themselves leave a feed that is slower.
constexpr Duration kAnsweredWithin{1'000'000};
constexpr Duration kEligibleAfterCaughtUp{3'000'000};
/// Interval of updates of the eligible members.
constexpr Duration kUpdateInterval{100'000};

/// The member at position `place` in the router's order of preference. Rendezvous hashing orders
/// the members per router, so that adding or removing a member affects only its own routers.
std::string PreferredMember(const RouterId& router, const std::vector<std::string>& members,
                            std::size_t place) {
  std::vector<std::pair<std::size_t, std::string>> ranked;
  ranked.reserve(members.size());
  for (const std::string& member : members) {
    ranked.emplace_back(std::hash<std::string>{}(router.value + " " + member), member);
  }
  std::sort(ranked.begin(), ranked.end());
  return ranked[place].second;
}

}  // namespace

void FeedSelector::Take(const consensus::Member& leader,
                        const std::vector<consensus::PeerStatus>& peers, Instant now) {
  due_ = now + kUpdateInterval;
  leader_ = leader.address;
  all_.clear();
  by_zone_.clear();
  std::erase_if(caught_up_at_,
                [&](const auto& entry) { return now - entry.second >= kEligibleAfterCaughtUp; });
  for (const consensus::PeerStatus& peer : peers) {
    if (peer.caught_up) caught_up_at_[peer.member.address] = now;
    if (peer.time_since_response >= kAnsweredWithin || !caught_up_at_.contains(peer.member.address))
      continue;
    all_.push_back(peer.member.address);
    by_zone_[peer.member.zone].push_back(peer.member.address);
  }
  if (by_zone_[leader.zone].empty()) by_zone_[leader.zone].push_back(leader_);
}

std::string FeedSelector::SelectFeed(const RouterId& router, const ZoneName& zone,
                                     std::uint32_t tried) const {
  const auto in_zone = by_zone_.find(zone);
  const bool zone_has_candidate = in_zone != by_zone_.end() && tried < in_zone->second.size();
  if (zone_has_candidate) return PreferredMember(router, in_zone->second, tried);
  return all_.empty() ? leader_ : PreferredMember(router, all_, tried % all_.size());
}

}  // namespace graniteseam::control
