/// @file
/// What goes wrong in the traffic world, by name, and who makes it go wrong at random instants.
#pragma once

#include <vector>

#include "simulation/traffic_world/configuration_operators.h"
#include "simulation/traffic_world/traffic_fleet.h"

namespace graniteseam::simulation {

class TrafficFaults;

/// One kind of fault. Its name appears in the counts of a run.
struct TrafficFaultKind {
    char const* name;
    auto(TrafficFaults::*inject)() -> void;
    bool disturbs_core = false; ///< No gateway is in touch for three seconds after it.
};

/// Injects faults into a fleet. Each ends by itself; heal() ends all. Not thread safe.
class TrafficFaults {
public:
    TrafficFaults(World& world, TrafficFleet& fleet, ConfigurationOperators& operators)
        : m_world(world)
        , m_fleet(fleet)
        , m_operators(operators)
    {
    }

    static auto all() -> std::vector<TrafficFaultKind> const&;
    /// What workers state of the requests that they take.
    static auto stated() -> std::vector<TrafficFaultKind> const&;
    /// What makes workers warm up, and what disturbs how many gateways send to them meanwhile.
    static auto warm_ups() -> std::vector<TrafficFaultKind> const&;
    /// Partitions of gateways from all workers.
    static auto partitions() -> std::vector<TrafficFaultKind> const&;
    /// What makes surplus answers matter: rejections, and releases of keys.
    static auto surplus_answers() -> std::vector<TrafficFaultKind> const&;
    /// Heartbeats that are late by any time, and what they may outlast.
    static auto late_heartbeats() -> std::vector<TrafficFaultKind> const&;
    /// What makes gateways retry, and forget what they have spent on retries.
    static auto retries() -> std::vector<TrafficFaultKind> const&;
    /// Requests begin to fail while the retry budgets are unused, and most gateways start again soon after.
    static auto restarts_at_failures() -> std::vector<TrafficFaultKind> const&;
    /// What happens to gateways that coordinate admission.
    static auto coordination() -> std::vector<TrafficFaultKind> const&;

    /// Injects kinds drawn from some drawn for this run, until `end`: one after another, or with
    /// `overlapping` two at once and often.
    auto inject_until(TrueTime end, bool overlapping) -> void;
    /// Makes network and processes whole again, with a worker at each address.
    auto heal() -> void;

    auto crash_worker() -> void;
    auto crash_worker_heard_of_later() -> void;
    /// A worker's process is replaced twice, and the first heartbeat of the short-lived one in between
    /// arrives after those of its successor.
    auto crash_worker_before_it_is_heard_of() -> void;
    auto give_address_to_another_service() -> void;
    auto drain_worker() -> void;
    auto drain_worker_without_word() -> void;
    auto cut_worker_from_control() -> void;
    auto disturb_heartbeats() -> void;
    auto hold_up_heartbeats() -> void;
    auto lose_orders() -> void;
    auto delay_orders() -> void;
    auto lose_answers() -> void;
    auto add_answers() -> void;
    auto answer_orders_twice() -> void;
    auto shed_requests() -> void;
    auto pause_control() -> void;
    auto pause_leader() -> void;
    auto kill_control() -> void;
    auto kill_leader() -> void;
    auto cut_control() -> void;
    auto stop_leader_as_planned() -> void;
    auto partition_gateway() -> void;
    auto partition_most_gateways() -> void;
    auto cut_gateway() -> void;
    auto kill_gateway() -> void;
    auto stop_gateways_in_turn() -> void;
    auto restart_gateways_as_requests_fail() -> void;
    auto replace_coordinator() -> void;
    auto freeze_gateway() -> void;
    auto cut_between_gateways() -> void;
    auto disturb_network() -> void;
    auto name_limit() -> void;
    auto ask_for_rest() -> void;
    auto restart_zone() -> void;
    auto drain_zone() -> void;
    auto join_gateways() -> void;
    auto cut_gateways() -> void;
    auto return_gateways() -> void;
    auto race_operators() -> void { m_operators.race(); }
    auto turn_form() -> void { m_operators.turn_form(); }

private:
    auto draw_kinds() -> std::vector<TrafficFaultKind>;
    auto inject_next(TrueTime end, bool overlapping) -> void;
    auto span(std::int64_t low_ms, std::int64_t high_ms) -> Duration;
    auto any_control() -> ControlProcess&;
    auto leader_or_any() -> ControlProcess&;
    auto any_gateway() -> GatewayProcess&;
    /// A place with a worker that is up and means to stay, null when a draw finds none.
    auto any_place() -> Place*;
    auto crash(Place&, bool heard_of_later) -> void;
    auto start_after(Place&, std::string const& service, Duration) -> void;
    auto cut(GatewayProcess&, Duration) -> void;
    auto cut_gateways_for(Duration) -> void;
    /// Partitions some gateways from all workers.
    /// @return until when.
    auto partition(double part_of_gateways) -> TrueTime;
    auto kill(GatewayProcess&, Duration) -> void;
    /// Most gateways start again, each once, by planned stops or by kills.
    auto restart_gateways() -> void;
    /// Announces a stop, kills the gateway after `drain` and starts it again after `down`.
    auto stop_as_planned(GatewayProcess&, Duration drain, Duration down) -> void;
    /// Drains a zone for so long, unless one is drained; its workers are cold when it is taken back.
    auto drain_zone_for(Duration) -> void;
    auto pause(ControlProcess&, Duration) -> void;
    auto kill(ControlProcess&, Duration) -> void;
    auto in_mood(double WorkerMood::*what, double part) -> void;

    World& m_world;
    TrafficFleet& m_fleet;
    ConfigurationOperators& m_operators;
    std::vector<TrafficFaultKind> m_kinds;
    std::uint64_t m_network_moods = 0;
    bool m_zone_drained = false;
    TrueTime m_most_partitioned_until = 0;
    TrueTime m_next_failure = 0; ///< The earliest time at which requests begin to fail again.
    TrueTime m_end = 0;
};

} // namespace graniteseam::simulation
