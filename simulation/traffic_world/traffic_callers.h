/// @file
/// Callers of the traffic world: they come at their own times, with keys of which few are busy, and
/// come back as the pages allow it.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>

#include "simulation/traffic_world/traffic_fleet.h"

namespace graniteseam::simulation {

/// Requests of one kind.
struct CallKind {
    char const* service;
    char const* path;
    bool keyed = false;
    bool repeatable = false;
};

/// Not thread safe.
class TrafficCallers {
public:
    TrafficCallers(World& world, TrafficOracle& oracle, TrafficFleet& fleet)
        : m_world(world)
        , m_oracle(oracle)
        , m_fleet(fleet)
    {
    }

    auto start() -> void;
    /// Some requests that end each worker that runs them come again and again until `end`.
    auto start_crashing(TrueTime end) -> void;

    /// Calls that ended since the last question.
    struct Served {
        std::uint64_t calls = 0;
        std::uint64_t served = 0;
    };
    auto take_served() -> std::map<std::string, Served>;
    /// First tries, and those of them that were served, while some gateways in touch have been partitioned
    /// from all workers for longer than they need to notice it.
    struct FirstTries {
        Served partitioned; ///< At such gateways.
        Served others; ///< At all others in touch, meanwhile.
    };
    auto first_tries() const -> FirstTries const& { return m_first_tries; }
    auto answered() const -> std::uint64_t { return m_answered; }

private:
    /// What a caller wants; each try is a request of its own.
    struct Call {
        CallKind const* kind = nullptr;
        std::optional<std::uint32_t> key;
        TrueTime deadline = 0;
        int tries_left = 0;
        std::uint64_t digest = 0; ///< Of what it asks for; 0 for what nobody else asks for.
    };

    auto arrive() -> void;
    auto make_popular(Call&) -> void;
    auto come_again(Call, TrueTime end) -> void;
    auto attempt(Call) -> void;
    /// Any but one that stops, as far as a few draws find one.
    auto choose_gateway() -> GatewayProcess&;
    /// Where a first try at a gateway is counted; null when it is not.
    auto count_of_first_try(GatewayProcess const&) -> Served*;
    auto on_told(Call, std::uint64_t request, CallerAnswer const&) -> void;
    auto count_end(Call const&, bool served) -> void;
    auto draw_key() -> std::uint32_t;

    World& m_world;
    TrafficOracle& m_oracle;
    TrafficFleet& m_fleet;
    std::uint64_t m_last_request = 0;
    std::uint64_t m_answered = 0;
    std::map<std::string, Served> m_served;
    FirstTries m_first_tries;
};

} // namespace graniteseam::simulation
