#include "simulation/traffic_world/traffic_faults.h"

#include <algorithm>
#include <utility>

namespace graniteseam::simulation {
namespace {

    /// An address that a worker left is not given to another service sooner.
    constexpr Duration kReuseAfter {2'000'000};
    constexpr Duration kIntervalMaximum {2'500'000};
    constexpr Duration kOverlappingIntervalMaximum {1'200'000};
    constexpr std::size_t kKindsMinimum = 2;

} // namespace

auto TrafficFaults::all() -> std::vector<TrafficFaultKind> const&
{
    static std::vector<TrafficFaultKind> const kinds {
        {"worker crashed", &TrafficFaults::crash_worker},
        {"worker crashed, heard of later", &TrafficFaults::crash_worker_heard_of_later},
        {"address given to another service", &TrafficFaults::give_address_to_another_service},
        {"worker drained", &TrafficFaults::drain_worker},
        {"worker left without a word", &TrafficFaults::drain_worker_without_word},
        {"worker cut from control", &TrafficFaults::cut_worker_from_control},
        {"heartbeats disturbed", &TrafficFaults::disturb_heartbeats},
        {"orders lost", &TrafficFaults::lose_orders},
        {"orders late", &TrafficFaults::delay_orders},
        {"answers lost", &TrafficFaults::lose_answers},
        {"answers surplus", &TrafficFaults::add_answers},
        {"control paused", &TrafficFaults::pause_control, true},
        {"leader paused", &TrafficFaults::pause_leader, true},
        {"control lost power", &TrafficFaults::kill_control, true},
        {"leader lost power", &TrafficFaults::kill_leader, true},
        {"control cut", &TrafficFaults::cut_control, true},
        {"leader stopped as planned", &TrafficFaults::stop_leader_as_planned, true},
        {"gateway cut from control", &TrafficFaults::cut_gateway},
        {"gateway killed", &TrafficFaults::kill_gateway},
        {"network lossy", &TrafficFaults::disturb_network, true},
        {"operators raced", &TrafficFaults::race_operators},
        {"lease form to be turned", &TrafficFaults::turn_form},
    };
    return kinds;
}

auto TrafficFaults::stated() -> std::vector<TrafficFaultKind> const&
{
    static std::vector<TrafficFaultKind> const kinds {
        {"worker names a limit", &TrafficFaults::name_limit},
        {"worker asks for rest", &TrafficFaults::ask_for_rest},
        {"worker drained", &TrafficFaults::drain_worker},
    };
    return kinds;
}

auto TrafficFaults::warm_ups() -> std::vector<TrafficFaultKind> const&
{
    static std::vector<TrafficFaultKind> const kinds {
        {"zone's workers restarted", &TrafficFaults::restart_zone},
        {"zone drained and taken back", &TrafficFaults::drain_zone},
        {"gateways joined", &TrafficFaults::join_gateways},
        {"gateways cut from control", &TrafficFaults::cut_gateways},
        {"gateways returned to a new leader", &TrafficFaults::return_gateways, true},
        {"leader lost power", &TrafficFaults::kill_leader, true},
        {"heartbeats disturbed", &TrafficFaults::disturb_heartbeats},
    };
    return kinds;
}

auto TrafficFaults::retries() -> std::vector<TrafficFaultKind> const&
{
    static std::vector<TrafficFaultKind> const kinds {
        {"requests shed", &TrafficFaults::shed_requests},
        {"answers lost", &TrafficFaults::lose_answers},
        {"worker crashed", &TrafficFaults::crash_worker},
        {"gateways stopped in turn", &TrafficFaults::stop_gateways_in_turn},
        {"gateways cut from control", &TrafficFaults::cut_gateways},
        {"leader lost power", &TrafficFaults::kill_leader, true},
    };
    return kinds;
}

auto TrafficFaults::surplus_answers() -> std::vector<TrafficFaultKind> const&
{
    static std::vector<TrafficFaultKind> const kinds {
        {"requests shed", &TrafficFaults::shed_requests},
        {"answers surplus", &TrafficFaults::add_answers},
        {"orders answered twice", &TrafficFaults::answer_orders_twice},
        {"worker drained", &TrafficFaults::drain_worker},
    };
    return kinds;
}

auto TrafficFaults::late_heartbeats() -> std::vector<TrafficFaultKind> const&
{
    static std::vector<TrafficFaultKind> const kinds {
        {"worker crashed before it is heard of", &TrafficFaults::crash_worker_before_it_is_heard_of},
        {"heartbeats held up", &TrafficFaults::hold_up_heartbeats},
        {"worker crashed", &TrafficFaults::crash_worker},
        {"leader lost power", &TrafficFaults::kill_leader, true},
    };
    return kinds;
}

auto TrafficFaults::inject_until(TrueTime end, bool overlapping) -> void
{
    m_end = end;
    if (!m_fleet.options().nothing_else)
        m_kinds = draw_kinds();
    if (m_fleet.options().stated_limits)
        m_kinds.insert(m_kinds.end(), stated().begin(), stated().end());
    if (m_fleet.options().warm_ups)
        m_kinds.insert(m_kinds.end(), warm_ups().begin(), warm_ups().end());
    if (m_fleet.options().partitions)
        m_kinds.insert(m_kinds.end(), partitions().begin(), partitions().end());
    if (m_fleet.options().retries)
        m_kinds.insert(m_kinds.end(), retries().begin(), retries().end());
    if (m_fleet.options().restarts_at_failures)
        m_kinds.insert(m_kinds.end(), restarts_at_failures().begin(), restarts_at_failures().end());
    if (m_fleet.options().coordination)
        m_kinds.insert(m_kinds.end(), coordination().begin(), coordination().end());
    if (m_fleet.options().surplus_answers)
        m_kinds.insert(m_kinds.end(), surplus_answers().begin(), surplus_answers().end());
    if (m_fleet.options().late_heartbeats)
        m_kinds.insert(m_kinds.end(), late_heartbeats().begin(), late_heartbeats().end());
    if (auto const& only = m_fleet.options().only_faults; !only.empty()) {
        std::erase_if(m_kinds, [&](TrafficFaultKind const& kind) {
            return std::find(only.begin(), only.end(), kind.name) == only.end();
        });
    }
    inject_next(end, overlapping);
}

auto TrafficFaults::draw_kinds() -> std::vector<TrafficFaultKind>
{
    auto kinds = all();
    if (m_fleet.options().core_stays_calm)
        std::erase_if(kinds, [](TrafficFaultKind const& kind) { return kind.disturbs_core; });
    auto const count = kKindsMinimum + m_world.random.Below(kinds.size() - kKindsMinimum + 1);
    std::vector<TrafficFaultKind> chosen;
    while (chosen.size() < count) {
        auto const drawn = kinds.begin() + static_cast<std::ptrdiff_t>(m_world.random.Below(kinds.size()));
        chosen.push_back(*drawn);
        kinds.erase(drawn);
    }
    return chosen;
}

auto TrafficFaults::inject_next(TrueTime end, bool overlapping) -> void
{
    auto const longest = overlapping ? kOverlappingIntervalMaximum : kIntervalMaximum;
    auto const wait = m_world.random.Between(longest / 10, longest);
    if (m_world.now() + wait.count() >= end)
        return;
    m_world.queue.After(wait, [this, end, overlapping] {
        for (auto number = 0; number < (overlapping ? 2 : 1); ++number) {
            auto const& kind = m_kinds[m_world.random.Below(m_kinds.size())];
            m_world.Count(std::string("fault: ") + kind.name);
            m_world.Trace(std::string("fault: ") + kind.name);
            (this->*kind.inject)();
        }
        inject_next(end, overlapping);
    });
}

auto TrafficFaults::heal() -> void
{
    ++m_network_moods;
    m_world.mood = {};
    m_fleet.mood = {};
    for (auto const& place : m_fleet.places) {
        if (place.worker->limit())
            place.worker->name_limit(std::nullopt);
        place.worker->turn_away(0, {});
    }
    m_fleet.disturb_core(m_world.now());
    for (auto const& control : m_fleet.controls) {
        m_world.RestoreNode(control->name());
        control->Start();
        for (auto const& gateway : m_fleet.gateways) {
            m_world.RestoreLink(control->name(), gateway->name());
            m_world.RestoreLink(gateway->name(), control->name());
        }
        for (auto const& place : m_fleet.places) {
            m_world.RestoreLink(control->name(), place.node);
            m_world.RestoreLink(place.node, control->name());
        }
    }
    for (auto const& gateway : m_fleet.gateways) {
        for (auto const& other : m_fleet.gateways)
            m_world.RestoreLink(gateway->name(), other->name());
        gateway->Start();
    }
    // Each service has workers again, whichever service an address was given to meanwhile.
    for (auto& place : m_fleet.places) {
        if (!place.worker->up())
            start_after(place, place.home, kReuseAfter);
    }
}

/// A random length, cut at the end of the time of faults.
auto TrafficFaults::span(std::int64_t low_ms, std::int64_t high_ms) -> Duration
{
    auto const drawn = m_world.random.Between(Duration {low_ms * 1'000}, Duration {high_ms * 1'000});
    return std::max(Duration {1'000}, std::min(drawn, Duration {m_end - m_world.now()}));
}

auto TrafficFaults::any_control() -> ControlProcess&
{
    return *m_fleet.controls[m_world.random.Below(m_fleet.controls.size())];
}

auto TrafficFaults::leader_or_any() -> ControlProcess&
{
    auto* const leader = m_fleet.leader();
    return leader != nullptr ? *leader : any_control();
}

auto TrafficFaults::any_gateway() -> GatewayProcess&
{
    return *m_fleet.gateways[m_world.random.Below(m_fleet.gateways.size())];
}

auto TrafficFaults::any_place() -> Place*
{
    auto& place = m_fleet.places[m_world.random.Below(m_fleet.places.size())];
    auto const stays = place.worker->up() && !place.planned_end;
    return stays ? &place : nullptr;
}

// --- Workers ---

auto TrafficFaults::start_after(Place& place, std::string const& service, Duration wait) -> void
{
    m_world.queue.After(wait, [this, &place, service] {
        if (!place.worker->up())
            m_fleet.start_worker(place, service);
    });
}

auto TrafficFaults::crash(Place& place, bool heard_of_later) -> void
{
    auto const service = place.worker->traits().service;
    m_fleet.crash(place, heard_of_later ? std::optional(span(50, 3'000)) : std::nullopt);
    // At once for the most part: that is when the former process's messages find the next one.
    auto const soon = m_world.random.Chance(0.6);
    start_after(place, service, soon ? span(1, 400) : span(400, 4'000));
}

auto TrafficFaults::crash_worker() -> void
{
    if (auto* const place = any_place())
        crash(*place, false);
}

auto TrafficFaults::crash_worker_heard_of_later() -> void
{
    if (auto* const place = any_place())
        crash(*place, true);
}

auto TrafficFaults::crash_worker_before_it_is_heard_of() -> void
{
    auto* const place = any_place();
    if (place == nullptr)
        return;
    auto const service = place->worker->traits().service;
    m_fleet.crash(*place, std::nullopt);
    m_world.queue.After(span(1, 400), [this, place, service] {
        if (place->worker->up())
            return;
        m_fleet.start_worker(*place, service);
        m_fleet.crash(*place, draw_heartbeat_delay(m_world));
        start_after(*place, service, span(1, 400));
    });
}

auto TrafficFaults::give_address_to_another_service() -> void
{
    auto* const place = any_place();
    if (place == nullptr)
        return;
    auto const service = place->worker->traits().service;
    // Some worker of the service must be left.
    auto const others = std::count_if(m_fleet.places.begin(), m_fleet.places.end(),
        [&](auto const& other) { return other.worker->up() && other.worker->traits().service == service; });
    if (others < 3)
        return;
    auto const* const next = service == kOrderedService ? kLeasedService
        : service == kLeasedService                     ? kOrderedService
        : m_world.random.Chance(0.5)                    ? kOrderedService
                                                        : kLeasedService;
    m_fleet.crash(*place, m_world.random.Chance(0.3) ? std::optional(span(1'500, 4'000)) : std::nullopt);
    start_after(*place, next, kReuseAfter + span(1, 500));
}

auto TrafficFaults::drain_worker() -> void
{
    auto* const place = any_place();
    if (place == nullptr)
        return;
    m_fleet.drain(*place, true);
    start_after(*place, place->worker->traits().service, Duration {10'000'000});
}

auto TrafficFaults::drain_worker_without_word() -> void
{
    auto* const place = any_place();
    if (place == nullptr)
        return;
    m_fleet.drain(*place, false);
    start_after(*place, place->worker->traits().service, Duration {10'000'000});
}

auto TrafficFaults::restart_zone() -> void
{
    auto const zone = static_cast<std::uint32_t>(m_world.random.Below(kTrafficZones));
    auto const down = span(200, 2'000);
    auto const in_zone = [&](Place const& place) { return m_world.ZoneOf(place.node) == zone; };
    // One zone at a time: the others bear the load.
    auto const others_bear = std::all_of(m_fleet.places.begin(), m_fleet.places.end(),
        [&](Place const& place) { return in_zone(place) || place.worker->is_warm(); });
    if (!others_bear)
        return;
    for (auto& place : m_fleet.places) {
        if (!in_zone(place) || !place.worker->up() || place.planned_end)
            continue;
        auto const service = place.worker->traits().service;
        m_fleet.crash(place, std::nullopt);
        start_after(place, service, down);
    }
}

auto TrafficFaults::drain_zone() -> void
{
    drain_zone_for(span(500, 9'000));
}

auto TrafficFaults::drain_zone_for(Duration length) -> void
{
    // As the platform's operator, one zone at a time.
    if (std::exchange(m_zone_drained, true))
        return;
    auto const zone = static_cast<std::uint32_t>(m_world.random.Below(kTrafficZones));
    m_fleet.drain_zone(zone, true, [this, zone, length] {
        m_world.queue.After(length, [this, zone] {
            // They went cold while they had nothing to do.
            for (auto& place : m_fleet.places) {
                if (m_world.ZoneOf(place.node) == zone && place.worker->up())
                    place.worker->warm_up(kWarmUp);
            }
            m_fleet.drain_zone(zone, false, [this] { m_zone_drained = false; });
        });
    });
}

auto TrafficFaults::cut_worker_from_control() -> void
{
    auto* const place = any_place();
    if (place == nullptr)
        return;
    auto const length = span(300, 5'000);
    for (auto const& control : m_fleet.controls) {
        m_world.CutLink(control->name(), place->node);
        m_world.CutLink(place->node, control->name());
        m_world.queue.After(length, [this, node = place->node, to = control->name()] {
            m_world.RestoreLink(to, node);
            m_world.RestoreLink(node, to);
        });
    }
}

auto TrafficFaults::in_mood(double WorkerMood::*what, double part) -> void
{
    m_fleet.mood.*what = part;
    m_world.queue.After(span(500, 5'000), [this, what] { m_fleet.mood.*what = 0; });
}

auto TrafficFaults::disturb_heartbeats() -> void
{
    in_mood(&WorkerMood::heartbeat_lost, m_world.random.Fraction() * 0.3);
    in_mood(&WorkerMood::heartbeat_late, m_world.random.Fraction() * 0.5);
    in_mood(&WorkerMood::heartbeat_repeated, m_world.random.Fraction() * 0.5);
    in_mood(&WorkerMood::heartbeat_answer_lost, m_world.random.Fraction() * 0.3);
}

auto TrafficFaults::hold_up_heartbeats() -> void
{
    in_mood(&WorkerMood::heartbeat_held_up, m_world.random.Fraction() * 0.3);
}

auto TrafficFaults::lose_orders() -> void
{
    in_mood(&WorkerMood::order_lost, m_world.random.Fraction() * 0.5);
    in_mood(&WorkerMood::order_answer_lost, m_world.random.Fraction() * 0.5);
}

auto TrafficFaults::delay_orders() -> void
{
    in_mood(&WorkerMood::order_late, m_world.random.Fraction());
}

auto TrafficFaults::lose_answers() -> void
{
    in_mood(&WorkerMood::answer_lost, m_world.random.Fraction() * 0.3);
}

auto TrafficFaults::add_answers() -> void
{
    in_mood(&WorkerMood::answer_surplus, m_world.random.Fraction() * 0.3);
}

auto TrafficFaults::answer_orders_twice() -> void
{
    in_mood(&WorkerMood::order_answer_surplus, m_world.random.Fraction());
}

auto TrafficFaults::shed_requests() -> void
{
    constexpr double kMinimum = 0.2;
    constexpr double kSpan = 0.7;
    m_fleet.mood.request_shed = kMinimum + kSpan * m_world.random.Fraction();
    // Longer than the window of the retry budget at times.
    m_world.queue.After(span(3'000, 15'000), [this] { m_fleet.mood.request_shed = 0; });
}

/// A fraction of what a worker gets, so that the limit binds.
auto TrafficFaults::name_limit() -> void
{
    auto* const place = any_place();
    if (place == nullptr || place->worker->limit())
        return;
    constexpr double kMinimum = 0.5;
    constexpr double kSpan = 5.5;
    auto const worker = place->worker;
    worker->name_limit(kMinimum + kSpan * m_world.random.Fraction());
    m_world.queue.After(span(5'000, 15'000), [worker] {
        if (worker->up())
            worker->name_limit(std::nullopt);
    });
}

auto TrafficFaults::ask_for_rest() -> void
{
    auto* const place = any_place();
    if (place == nullptr || place->worker->turns_away())
        return;
    place->worker->turn_away(m_world.now() + span(500, 9'000).count(), span(500, 4'000));
}

// --- Control and gateways ---

auto TrafficFaults::pause(ControlProcess& control, Duration length) -> void
{
    m_fleet.disturb_core(m_world.now() + length.count());
    control.PauseFor(length);
}

auto TrafficFaults::kill(ControlProcess& control, Duration length) -> void
{
    m_fleet.disturb_core(m_world.now() + length.count());
    control.LosePower();
    m_world.queue.After(length, [&control] { control.Start(); });
}

auto TrafficFaults::pause_control() -> void
{
    pause(any_control(), span(50, 4'000));
}

auto TrafficFaults::pause_leader() -> void
{
    pause(leader_or_any(), span(100, 4'000));
}

auto TrafficFaults::kill_control() -> void
{
    kill(any_control(), span(50, 3'000));
}

auto TrafficFaults::kill_leader() -> void
{
    kill(leader_or_any(), span(50, 3'000));
}

auto TrafficFaults::cut_control() -> void
{
    auto const node = any_control().name();
    auto const length = span(200, 5'000);
    m_fleet.disturb_core(m_world.now() + length.count());
    m_world.CutNode(node);
    m_world.queue.After(length, [this, node] { m_world.RestoreNode(node); });
}

auto TrafficFaults::stop_leader_as_planned() -> void
{
    auto& control = leader_or_any();
    if (!control.alive())
        return;
    m_fleet.disturb_core(m_world.now() + 1'000'000);
    control.Deliver([&control] {
        control.Run([](control::ControlNode& node, Instant now) { return node.PrepareStop(now); });
    });
    m_world.queue.After(span(500, 1'000), [this, &control, start = control.starts()] {
        if (control.starts() == start)
            kill(control, span(100, 1'000));
    });
}

auto TrafficFaults::disturb_network() -> void
{
    auto const length = span(500, 4'000);
    m_fleet.disturb_core(m_world.now() + length.count());
    m_world.mood.loss = m_world.random.Fraction() * 0.2;
    m_world.mood.duplication = m_world.random.Fraction() * 0.2;
    m_world.mood.late = m_world.random.Fraction() * 0.1;
    m_world.queue.After(length, [this, number = ++m_network_moods] {
        if (number == m_network_moods)
            m_world.mood = {};
    });
}

} // namespace graniteseam::simulation
