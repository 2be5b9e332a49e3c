/// @file
/// Connections between gateways, which carry the messages of coordinated admission.
#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <utility>

#include "simulation/simulator/process.h"
#include "simulation/traffic_world/gateway_process.h"
#include "src/coordination/slot_messages.h"

namespace graniteseam::simulation {

/// Delivers in order and nothing twice. A message is lost while the network is cut in its direction, and all
/// that are on their way are lost with their connection. Not thread safe.
class SlotLines {
public:
    explicit SlotLines(World& world)
        : m_world(world)
    {
    }

    /// Makes a gateway reachable at its coordination address.
    auto add(GatewayProcess&) -> void;
    /// @param address a gateway's address, which is dialled if there is no connection to it yet, or the name
    /// of the accepted connection that an answer belongs to.
    auto send(GatewayProcess& from, std::string const& address, coordination::SlotBatch const&) -> void;
    /// Closes the connection that a gateway opened to an address.
    auto reset(GatewayProcess const& from, std::string const& address) -> void;

private:
    struct Line {
        GatewayProcess* dialler = nullptr;
        GatewayProcess* acceptor = nullptr;
        std::uint64_t dialler_start = 0;
        std::uint64_t acceptor_start = 0;
        TrueTime last_at_dialler = 0; ///< Delivery of the newest message.
        TrueTime last_at_acceptor = 0;
    };
    using Number = std::uint64_t;

    /// @return null when the connection was closed or one of its ends is not the process that opened it.
    auto find(Number) -> Line*;
    /// @return the number of the connection; 0 when it cannot be opened.
    auto dial(GatewayProcess& from, std::string const& address) -> Number;
    auto carry(Number, bool to_acceptor, coordination::SlotBatch const&) -> void;

    World& m_world;
    std::map<std::string, GatewayProcess*> m_gateways; ///< By address.
    std::map<Number, Line> m_lines;
    std::map<std::pair<std::uint32_t, std::string>, Number> m_dialled; ///< By gateway and address.
    Number m_last_number = 0;
};

} // namespace graniteseam::simulation
