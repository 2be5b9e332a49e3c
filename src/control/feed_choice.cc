#include "src/control/feed_choice.h"

#include <algorithm>
#include <functional>
#include <utility>

namespace graniteseam::control {
namespace {

/// A peer that answered so lately, and had all that is committed within the longer time, may be
/// given routers. One that is slower than that is left by its routers themselves.
constexpr Duration kResponsive{1'000'000};
constexpr Duration kFitFor{3'000'000};
constexpr Duration kTakenFor{100'000};

/// The member at a place in the order in which a router prefers them: each by a draw of its own, so
/// that a member which comes or goes changes nothing for routers of others.
std::string PreferredBy(const RouterId& router, const std::vector<std::string>& members,
                        std::size_t place) {
  std::vector<std::pair<std::size_t, std::string>> drawn;
  drawn.reserve(members.size());
  for (const std::string& member : members) {
    drawn.emplace_back(std::hash<std::string>{}(router.value + " " + member), member);
  }
  std::sort(drawn.begin(), drawn.end());
  return drawn[place].second;
}

}  // namespace

void FeedChoice::Take(const consensus::Member& leader,
                      const std::vector<consensus::PeerStatus>& peers, Instant now) {
  due_ = now + kTakenFor;
  leader_ = leader.address;
  all_.clear();
  by_zone_.clear();
  std::erase_if(fit_at_, [&](const auto& entry) { return now - entry.second >= kFitFor; });
  for (const consensus::PeerStatus& peer : peers) {
    if (peer.caught_up) fit_at_[peer.member.address] = now;
    if (peer.time_since_response >= kResponsive || !fit_at_.contains(peer.member.address)) continue;
    all_.push_back(peer.member.address);
    by_zone_[peer.member.zone].push_back(peer.member.address);
  }
  if (by_zone_[leader.zone].empty()) by_zone_[leader.zone].push_back(leader_);
}

std::string FeedChoice::For(const RouterId& router, const ZoneName& zone,
                            std::uint32_t tried) const {
  const auto in_zone = by_zone_.find(zone);
  const bool near = in_zone != by_zone_.end() && tried < in_zone->second.size();
  if (near) return PreferredBy(router, in_zone->second, tried);
  return all_.empty() ? leader_ : PreferredBy(router, all_, tried % all_.size());
}

}  // namespace graniteseam::control
