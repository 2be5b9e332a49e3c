// Faults of gateways: of their connections to control and to one another, and of their processes.
#include <array>

#include "simulation/traffic_world/traffic_faults.h"

namespace graniteseam::simulation {
namespace {

    /// Part of the gateways that are cut from control together.
    constexpr double kGatewaysCut = 0.4;
    /// Parts of the gateways that are partitioned from all workers together.
    constexpr double kGatewaysPartitioned = 0.2;
    constexpr double kMostGatewaysPartitioned = 0.65;
    /// Part of the gateways that stop one after the other.
    constexpr double kGatewaysStopped = 0.45;
    /// Part of the gateways that start again as requests begin to fail.
    constexpr double kGatewaysRestarted = 0.9;
    constexpr Duration kRetryWindow {10'000'000};

} // namespace

auto TrafficFaults::coordination() -> std::vector<TrafficFaultKind> const&
{
    static std::vector<TrafficFaultKind> const kinds {
        {"coordinator killed", &TrafficFaults::kill_gateway},
        {"coordinator replaced", &TrafficFaults::replace_coordinator},
        {"coordinator frozen", &TrafficFaults::freeze_gateway},
        {"gateway cut from another in one direction", &TrafficFaults::cut_between_gateways},
    };
    return kinds;
}

auto TrafficFaults::partitions() -> std::vector<TrafficFaultKind> const&
{
    static std::vector<TrafficFaultKind> const kinds {
        {"gateway partitioned from all workers", &TrafficFaults::partition_gateway},
        {"most gateways partitioned from all workers", &TrafficFaults::partition_most_gateways},
    };
    return kinds;
}

auto TrafficFaults::restarts_at_failures() -> std::vector<TrafficFaultKind> const&
{
    static std::vector<TrafficFaultKind> const kinds {
        {"requests shed, gateways restarted", &TrafficFaults::restart_gateways_as_requests_fail},
    };
    return kinds;
}

auto TrafficFaults::partition_gateway() -> void
{
    partition(kGatewaysPartitioned);
}

auto TrafficFaults::partition_most_gateways() -> void
{
    // A second one would leave no gateway that reaches workers.
    if (m_world.now() < m_most_partitioned_until)
        return;
    m_most_partitioned_until = partition(kMostGatewaysPartitioned);
}

auto TrafficFaults::partition(double part_of_gateways) -> TrueTime
{
    constexpr std::array kForms {PartitionForm::kSilent, PartitionForm::kReset, PartitionForm::kRefused};
    auto const form = kForms.at(m_world.random.Below(kForms.size()));
    auto const until = m_world.now() + span(5'000, 12'000).count();
    for (auto const& gateway : m_fleet.gateways) {
        if (m_world.random.Chance(part_of_gateways))
            m_fleet.partition(*gateway, form, until);
    }
    return until;
}

auto TrafficFaults::join_gateways() -> void
{
    for (auto const& gateway : m_fleet.gateways) {
        if (gateway->alive())
            continue;
        auto const wait = span(0, 1'500);
        m_fleet.disturb_gateway(gateway->name().number, m_world.now() + wait.count());
        m_world.queue.After(wait, [&gateway = *gateway] { gateway.Start(); });
    }
}

auto TrafficFaults::cut_gateway() -> void
{
    cut(any_gateway(), span(500, 6'000));
}

auto TrafficFaults::cut_gateways() -> void
{
    cut_gateways_for(span(2'000, 10'000));
}

/// The new leader counts the gateways anew, the more the sooner those that were cut find it, while the
/// workers of a zone that is taken back are cold.
auto TrafficFaults::return_gateways() -> void
{
    if (m_zone_drained)
        return;
    auto const length = span(5'000, 8'000);
    // Gateways that are cut must have heard of the drain.
    static constexpr Duration kHeard {500'000};
    drain_zone_for(length + span(0, 500));
    m_world.queue.After(kHeard, [this, length] {
        cut_gateways_for(length - kHeard);
        kill_leader();
    });
}

auto TrafficFaults::cut_gateways_for(Duration length) -> void
{
    for (auto const& gateway : m_fleet.gateways) {
        if (m_world.random.Chance(kGatewaysCut))
            cut(*gateway, length);
    }
}

auto TrafficFaults::cut(GatewayProcess& gateway, Duration length) -> void
{
    m_fleet.disturb_gateway(gateway.name().number, m_world.now() + length.count());
    for (auto const& control : m_fleet.controls) {
        m_world.CutLink(control->name(), gateway.name());
        m_world.CutLink(gateway.name(), control->name());
        m_world.queue.After(length, [this, node = gateway.name(), to = control->name()] {
            m_world.RestoreLink(to, node);
            m_world.RestoreLink(node, to);
        });
    }
}

auto TrafficFaults::kill_gateway() -> void
{
    auto& gateway = any_gateway();
    kill(gateway, span(1, 2'000));
}

auto TrafficFaults::kill(GatewayProcess& gateway, Duration length) -> void
{
    m_fleet.disturb_gateway(gateway.name().number, m_world.now() + length.count());
    gateway.Kill();
    m_world.queue.After(length, [&gateway] { gateway.Start(); });
}

auto TrafficFaults::stop_gateways_in_turn() -> void
{
    auto const gap = span(0, 200);
    Duration wait {0};
    for (auto const& gateway : m_fleet.gateways) {
        if (!m_world.random.Chance(kGatewaysStopped))
            continue;
        m_world.queue.After(wait,
            [this, &gateway = *gateway] { stop_as_planned(gateway, span(500, 3'000), span(1, 1'500)); });
        wait += gap;
    }
}

auto TrafficFaults::restart_gateways_as_requests_fail() -> void
{
    // The budget must have been unused for a window.
    if (m_world.now() < m_next_failure)
        return;
    constexpr double kMinimum = 0.4;
    constexpr double kSpan = 0.25;
    m_fleet.mood.request_shed = kMinimum + kSpan * m_world.random.Fraction();
    auto const length = span(9'000, 12'000);
    m_world.queue.After(length, [this] { m_fleet.mood.request_shed = 0; });
    m_next_failure = m_world.now() + (length + kRetryWindow).count();
    auto const first = span(1'500, 2'500);
    m_world.queue.After(first, [this] { restart_gateways(); });
    if (m_world.random.Chance(0.5))
        m_world.queue.After(first + span(1'500, 3'000), [this] { restart_gateways(); });
}

auto TrafficFaults::restart_gateways() -> void
{
    auto const planned = m_world.random.Chance(0.5);
    // Away for longer than the window at times, while their callers use the others.
    auto const down = m_world.random.Chance(0.3) ? span(10'000, 13'000) : span(1, 300);
    for (auto const& gateway : m_fleet.gateways) {
        if (!gateway->alive() || !m_world.random.Chance(kGatewaysRestarted))
            continue;
        m_world.queue.After(span(0, 600), [this, planned, down, &gateway = *gateway] {
            if (planned)
                return stop_as_planned(gateway, span(50, 400), down);
            kill(gateway, down);
        });
    }
}

auto TrafficFaults::stop_as_planned(GatewayProcess& gateway, Duration drain, Duration down) -> void
{
    if (!gateway.alive() || gateway.stopping() || m_world.now() >= m_end)
        return;
    gateway.begin_stop();
    m_fleet.disturb_gateway(gateway.name().number, m_world.now() + (drain + down).count());
    m_world.queue.After(drain, [this, &gateway, down, start = gateway.starts()] {
        if (gateway.alive() && gateway.starts() == start)
            kill(gateway, down);
    });
}

/// Longer than the leader keeps a silent gateway in its list.
auto TrafficFaults::replace_coordinator() -> void
{
    auto& gateway = any_gateway();
    kill(gateway, span(2'500, 6'000));
}

auto TrafficFaults::freeze_gateway() -> void
{
    auto& gateway = any_gateway();
    auto const length = span(50, 4'000);
    m_fleet.disturb_gateway(gateway.name().number, m_world.now() + length.count());
    gateway.PauseFor(length);
}

auto TrafficFaults::cut_between_gateways() -> void
{
    auto const from = any_gateway().name();
    auto const to = any_gateway().name();
    if (from == to)
        return;
    m_world.CutLink(from, to);
    m_world.queue.After(span(200, 5'000), [this, from, to] { m_world.RestoreLink(from, to); });
}

} // namespace graniteseam::simulation
