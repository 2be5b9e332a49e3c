#include "src/gateway/peer_selector.h"

#include <algorithm>
#include <vector>

namespace graniteseam::gateway {
namespace {

using Candidates = std::vector<traffic::GatewayPeer const*>;

/// Requests of this gateway in flight at the least loaded peer of its zone from which on peers of
/// other zones are chosen too.
constexpr double kNearPeerFull = 24;
constexpr Duration kAvoidance{1'000'000};
/// The same while all other peers are avoided too.
constexpr Duration kAvoidanceMinimum{200'000};
constexpr double kWeightMinimum = 1e-6;

}  // namespace

auto PeerSelector::load_of(traffic::GatewayPeer const& peer) const -> double {
  auto const found = m_states.find(peer.id);
  return found == m_states.end() ? 0 : found->second.in_flight;
}

auto PeerSelector::avoided_for(RouterId const& peer, Instant now) const -> Duration {
  auto const found = m_states.find(peer);
  return found == m_states.end() ? Duration::max() : now - found->second.avoided_at;
}

auto PeerSelector::choose(Peers const& peers, std::set<RouterId> const& tried, Instant now)
    -> traffic::GatewayPeer const* {
  Candidates near;
  Candidates all;
  Candidates avoided;
  auto least_near = kNearPeerFull;
  for (auto const& [id, peer] : peers) {
    if (id == m_self || peer.caller_address.empty() || tried.contains(id)) continue;
    auto const since = avoided_for(id, now);
    if (since < kAvoidance) {
      if (since >= kAvoidanceMinimum) avoided.push_back(&peer);
      continue;
    }
    all.push_back(&peer);
    if (peer.zone != m_zone) continue;
    near.push_back(&peer);
    least_near = std::min(least_near, load_of(peer));
  }
  auto const& far = all.empty() ? avoided : all;
  auto const& candidates = least_near < kNearPeerFull ? near : far;
  if (candidates.empty()) return nullptr;
  std::uniform_int_distribution<std::size_t> draw(0, candidates.size() - 1);
  auto const* const first = candidates[draw(m_random)];
  auto const* const second = candidates[draw(m_random)];
  auto const relative = [this](traffic::GatewayPeer const& peer) {
    return (load_of(peer) + 1) / std::max(kWeightMinimum, peer.weight);
  };
  return relative(*second) < relative(*first) ? second : first;
}

auto PeerSelector::note_end(RouterId const& peer) -> void {
  auto const found = m_states.find(peer);
  if (found != m_states.end() && found->second.in_flight > 0) --found->second.in_flight;
}

auto PeerSelector::avoid(RouterId const& peer, Instant now) -> void {
  m_states[peer].avoided_at = now;
}

auto PeerSelector::forget_unlisted(Peers const& peers) -> void {
  std::erase_if(m_states, [&](auto const& it) {
    return it.second.in_flight == 0 && !peers.contains(it.first);
  });
}

}  // namespace graniteseam::gateway
