/// @file
/// Chooses the gateway to which a partitioned gateway forwards a request.
#pragma once

#include <cstdint>
#include <map>
#include <random>
#include <set>

#include "graniteseam/common/time.h"
#include "graniteseam/traffic/peer.h"

namespace graniteseam::gateway {

/// Spreads forwarded requests over the peers that serve them: the less loaded of two drawn at
/// random, from the own zone unless the peers there are busy with this gateway's requests already.
///
/// Deterministic under its seed; not thread safe; `now` must not decrease.
class PeerSelector {
 public:
  using Peers = std::map<RouterId, traffic::GatewayPeer>;

  PeerSelector(RouterId self, ZoneName zone, std::uint64_t seed)
      : m_self(std::move(self)), m_zone(std::move(zone)), m_random(seed) {}

  /// @param tried peers that already failed this request.
  /// @return null when no peer takes forwarded requests; valid as long as `peers`.
  auto choose(Peers const& peers, std::set<RouterId> const& tried, Instant now)
      -> traffic::GatewayPeer const*;

  auto note_sent(RouterId const& peer) -> void { ++m_states[peer].in_flight; }
  auto note_end(RouterId const& peer) -> void;
  /// Makes requests avoid a peer that could not be reached, or that declined one, for a while; for
  /// less while all others are avoided too.
  auto avoid(RouterId const& peer, Instant now) -> void;
  /// Forgets peers that are no longer listed and have none of this gateway's requests.
  auto forget_unlisted(Peers const& peers) -> void;

 private:
  struct State {
    std::uint32_t in_flight = 0;
    Instant avoided_at{};  ///< When it last failed a request.
  };

  /// For how long a peer has been avoided; Duration::max() when it never was.
  auto avoided_for(RouterId const& peer, Instant now) const -> Duration;
  auto load_of(traffic::GatewayPeer const& peer) const -> double;

  RouterId const m_self;
  ZoneName const m_zone;
  std::mt19937_64 m_random;
  std::map<RouterId, State> m_states;
};

}  // namespace graniteseam::gateway
