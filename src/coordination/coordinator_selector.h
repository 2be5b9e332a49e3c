/// @file
/// Chooses the gateway that coordinates a server.
#pragma once

#include <cstddef>
#include <map>
#include <vector>

#include "graniteseam/traffic/instance.h"
#include "graniteseam/traffic/peer.h"

namespace graniteseam::coordination {

/// Weighted rendezvous hashing over the gateways that the leader lists. All gateways with the same list
/// choose the same coordinator, and a change of the list moves only the servers of the gateways concerned.
///
/// Not thread safe.
class CoordinatorSelector {
public:
    /// Applies a change of the list. One that is not based on the list here is ignored; the version() in the
    /// next poll requests what is missing.
    /// @return the gateways that are no longer listed.
    auto apply(traffic::PeerUpdate const& update) -> std::vector<RouterId>;

    auto version() const -> traffic::PeerVersion { return m_version; }
    auto size() const -> std::size_t { return m_peers.size(); }
    auto peers() const -> std::map<RouterId, traffic::GatewayPeer> const& { return m_peers; }

    /// The coordinator of a server: a gateway in the server's zone, or any gateway if that zone has none.
    /// @return null without gateways; valid until the next apply().
    auto coordinator_of(traffic::InstanceId const& server, ZoneName const& zone)
        -> traffic::GatewayPeer const*;

private:
    auto choose(traffic::InstanceId const& server, ZoneName const& zone) const -> RouterId;
    /// Selects the gateways that coordinate servers.
    auto select_coordinators() -> void;

    std::map<RouterId, traffic::GatewayPeer> m_peers;
    std::map<ZoneName, std::vector<RouterId>> m_coordinators; ///< By zone.
    traffic::PeerVersion m_version;
    std::map<traffic::InstanceId, RouterId> m_chosen; ///< Since the last change of the list.
};

} // namespace graniteseam::coordination
