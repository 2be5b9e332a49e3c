/// @file
/// Two operators of the traffic world: they read the configuration, change it, and send what got no
/// clear answer again, unchanged, to any control process.
#pragma once

#include <array>
#include <cstdint>
#include <functional>
#include <string>

#include "simulation/traffic_world/traffic_fleet.h"

namespace graniteseam::simulation {

/// Not thread safe.
class ConfigurationOperators {
public:
    ConfigurationOperators(World& world, TrafficOracle& oracle, TrafficFleet& fleet)
        : m_world(world)
        , m_oracle(oracle)
        , m_fleet(fleet)
    {
    }

    /// Sends the first configuration until it is accepted, then goes on with changes.
    auto start() -> void;
    /// No further change; those under way are still sent to their ends.
    auto rest() -> void { m_resting = true; }
    /// Both read at once and change what they read, soon.
    auto race() -> void;
    /// The next change also turns a keyed service to the other form of leases.
    auto turn_form() -> void { m_turns_form = true; }
    /// Reads the configuration once more.
    auto read_once(std::function<void()> const& answered) -> void;

    auto accepted() const -> std::uint64_t { return m_accepted; }

private:
    using OnConfiguration = std::function<void(traffic::Configuration const&)>;
    using OnAnswer = std::function<void(control::OperatorAnswer const&)>;

    auto plan(std::uint32_t number) -> void;
    auto read(std::uint32_t number, OnConfiguration const&) -> void;
    auto change(std::uint32_t number, traffic::Configuration const& base) -> void;
    auto send(std::uint32_t number, traffic::ConfigurationChange const&) -> void;
    auto on_answer(std::uint32_t number, traffic::ConfigurationChange const&, control::OperatorAnswer const&)
        -> bool;
    /// Asks one control process; tells of an answer, or of a second of silence.
    auto ask(std::uint32_t number, control::OperatorRequest const&, OnAnswer const& answered,
        std::function<void()> const& silent) -> void;

    World& m_world;
    TrafficOracle& m_oracle;
    TrafficFleet& m_fleet;
    bool m_resting = false;
    bool m_turns_form = false;
    std::uint64_t m_changes = 0;
    std::uint64_t m_accepted = 0;
    std::array<std::uint32_t, 2> m_targets {1, 2}; ///< Which control process each asks next.
};

} // namespace graniteseam::simulation
