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

/// The members in the order in which a router prefers them: each by a draw of its own, so that a
/// member which comes or goes changes nothing for routers of others.
std::vector<std::string> PreferredBy(const RouterId& router, std::vector<std::string> members) {
  const auto draw = [&](const std::string& member) {
    return std::hash<std::string>{}(router.value + " " + member);
  };
  std::sort(members.begin(), members.end(), [&](const std::string& a, const std::string& b) {
    return std::pair(draw(a), a) < std::pair(draw(b), b);
  });
  return members;
}

}  // namespace

void FeedChoice::Take(const consensus::Member& leader,
                      const std::vector<consensus::PeerStatus>& peers, Instant now) {
  due_ = now + kTakenFor;
  leader_ = leader.address;
  all_.clear();
  by_zone_.clear();
  for (const consensus::PeerStatus& peer : peers) {
    if (peer.caught_up) fit_at_[peer.member.address] = now;
    const auto fit = fit_at_.find(peer.member.address);
    const bool was_fit = fit != fit_at_.end() && now - fit->second < kFitFor;
    if (peer.silence >= kResponsive || !was_fit) continue;
    all_.push_back(peer.member.address);
    by_zone_[peer.member.zone].push_back(peer.member.address);
  }
  if (by_zone_[leader.zone].empty()) by_zone_[leader.zone].push_back(leader_);
}

std::string FeedChoice::For(const RouterId& router, const ZoneName& zone,
                            std::uint32_t tried) const {
  const auto in_zone = by_zone_.find(zone);
  const bool near = in_zone != by_zone_.end() && tried < in_zone->second.size();
  if (near) return PreferredBy(router, in_zone->second)[tried];
  return all_.empty() ? leader_ : PreferredBy(router, all_)[tried % all_.size()];
}

}  // namespace graniteseam::control
