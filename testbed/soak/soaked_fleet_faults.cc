// The faults that hit a soaked fleet, and their ends.
#include <csignal>
#include <filesystem>

#include "src/runtime/clock.h"
#include "testbed/soak/soaked_fleet.h"

namespace graniteseam::testbed::soak {

namespace {

    /// A router that was told to stop ends by itself before its time is over; it is killed so long after.
    constexpr Duration stop_limit {300'000};
    /// Part of a core: enough to keep its connections, too little to keep up.
    constexpr double starved_share = 0.01;
    /// For each router of the fleet: enough to answer polls, too little for the state of a zone's routers.
    constexpr double narrow_bytes_per_second = 320;
    /// When the heartbeat of a worker that is gone displaces its successor.
    constexpr Duration late_heartbeat_least {1'800'000};
    constexpr std::uint32_t late_heartbeat_spread_us = 700'000;
    /// Of the requests, while all workers reject some.
    constexpr double rejected_part = 0.8;

} // namespace

auto SoakedFleet::begin_disturbance(std::uint32_t router, bool only_links) -> void
{
    m_seen.disturbances.push_back({router, runtime::BootTimeNow(), Instant::max(), only_links});
    ++m_open_disturbances[{router, only_links}];
}

auto SoakedFleet::end_disturbance(std::uint32_t router, bool only_links) -> void
{
    if (--m_open_disturbances[{router, only_links}] > 0)
        return;
    for (auto& it : m_seen.disturbances) {
        if (it.router == router && it.only_links == only_links && it.ended == Instant::max())
            it.ended = runtime::BootTimeNow();
    }
}

auto SoakedFleet::begin(Fault const& fault) -> void
{
    if (disturbs_core(fault.kind))
        m_seen.core_disturbances.push_back({runtime::BootTimeNow(), runtime::BootTimeNow() + fault.span});
    if (strains_core(fault.kind))
        m_seen.core_strains.push_back({runtime::BootTimeNow(), runtime::BootTimeNow() + fault.span});
    auto const control = control_machine(fault.target);
    auto const router = router_machine(fault.target);
    switch (fault.kind) {
    case FaultKind::KillControl:
        return kill(control);
    case FaultKind::KillRouter:
        begin_disturbance(fault.target);
        return kill(router);
    case FaultKind::KillAllControls:
        for (auto const machine : m_places)
            kill(machine);
        return;
    case FaultKind::StopControl:
        return m_processes.at(control).Signal(SIGTERM);
    case FaultKind::StopRouter:
        m_seen.stops.push_back({fault.target, runtime::BootTimeNow()});
        return m_processes.at(router).Signal(SIGTERM);
    case FaultKind::ReloadControl:
        return reload(control, "control", fault.choice);
    case FaultKind::ReloadRouter:
        m_seen.reloads.push_back({fault.target, runtime::BootTimeNow()});
        return reload(router, "router", fault.choice);
    case FaultKind::FreezeControl:
        return freeze(control);
    case FaultKind::FreezeRouter:
        begin_disturbance(fault.target);
        return freeze(router);
    case FaultKind::LoseDisk:
        kill(control);
        std::filesystem::remove_all(data_folder(control));
        return;
    case FaultKind::TearWrite:
        kill(control);
        return tear_newest_file(control);
    case FaultKind::ReplaceControl:
        kill(control);
        m_processes.erase(control);
        std::filesystem::remove_all(data_folder(control));
        return;
    case FaultKind::TurnOverControl:
        m_successors[fault.target] = start_successor(fault.choice);
        return publish_controls();
    case FaultKind::ChangeSeeds:
        return change_seeds(fault.choice);
    case FaultKind::CrashWorker:
    case FaultKind::ReplaceWorker:
    case FaultKind::ReuseAddress:
        return retire_worker(fault.target, fault.choice);
    case FaultKind::DrainWorker:
    case FaultKind::DeregisterWorker: {
        auto& worker = *m_slots.at(fault.target).worker;
        delay_heartbeat(worker, fault.choice, any_delay(fault.choice));
        return fault.kind == FaultKind::DrainWorker ? worker.Drain() : worker.Deregister();
    }
    case FaultKind::StarveControl:
        return m_quota->set_share(m_processes.at(control).id(), starved_share);
    case FaultKind::RejectRequests:
        return m_rejected_part->store(rejected_part);
    case FaultKind::ScaleIn:
        for (auto const index : leaving_workers(fault))
            m_slots.at(index).worker->Drain();
        return;
    case FaultKind::LeaveUnheard: {
        // Control never hears of the first of the two while it lives. Its only heartbeat displaces the
        // second one, when routers have been told that this one leaves.
        retire_worker(fault.target, 0);
        add_worker(fault.target);
        auto const after = late_heartbeat_least + Duration(fault.choice % late_heartbeat_spread_us);
        delay_heartbeat(*m_slots.at(fault.target).worker, fault.choice, after);
        retire_worker(fault.target, 0);
        ++m_replacements.at_same_address;
        add_worker(fault.target);
        return m_slots.at(fault.target).worker->AnnounceLeaving();
    }
    case FaultKind::SilenceRouter:
        begin_disturbance(fault.target, true);
        return silence(ip_of(router));
    case FaultKind::SilenceControl:
        for (std::uint32_t i = 0; i < m_options.routers; ++i)
            begin_disturbance(i, true);
        return silence(ip_of(control));
    case FaultKind::CutRouter:
        begin_disturbance(fault.target, true);
        break;
    default:
        break;
    }
    std::lock_guard const lock(m_mutex);
    if (fault.kind == FaultKind::CutControl)
        m_cut_controls.insert(ip_of(control));
    if (fault.kind == FaultKind::CutControlOneWay)
        m_mute_controls.insert(ip_of(control));
    if (fault.kind == FaultKind::CutRouter)
        m_cut_routers.insert(ip_of(router));
    if (fault.kind == FaultKind::NarrowControl)
        m_narrow_links.emplace(ip_of(control), LinkRate(narrow_bytes_per_second * m_options.routers));
}

auto SoakedFleet::undo(Fault const& fault) -> void
{
    auto const control = control_machine(fault.target);
    auto const router = router_machine(fault.target);
    switch (fault.kind) {
    case FaultKind::RejectRequests:
        return m_rejected_part->store(0);
    case FaultKind::KillControl:
    case FaultKind::StopControl:
    case FaultKind::LoseDisk:
    case FaultKind::TearWrite:
        return start_control(control, false);
    case FaultKind::KillAllControls:
        for (auto const machine : m_places)
            start_control(machine, false);
        return;
    case FaultKind::ReplaceControl:
        m_places[fault.target] = start_successor(fault.choice);
        return publish_controls();
    case FaultKind::TurnOverControl:
        m_processes.at(control).Signal(SIGTERM);
        m_departing[control] = runtime::BootTimeNow();
        m_places[fault.target] = m_successors.at(fault.target);
        m_successors.erase(fault.target);
        return publish_controls();
    case FaultKind::KillRouter:
        start_router(fault.target);
        return end_disturbance(fault.target);
    case FaultKind::StopRouter:
        static_cast<void>(m_processes.at(router).Wait(stop_limit));
        begin_disturbance(fault.target);
        start_router(fault.target);
        return end_disturbance(fault.target);
    case FaultKind::FreezeControl:
        m_seen.thaws.push_back(runtime::BootTimeNow());
        return thaw(control);
    case FaultKind::FreezeRouter:
        thaw(router);
        return end_disturbance(fault.target);
    case FaultKind::CrashWorker:
        ++m_replacements.elsewhere;
        reserve_address(fault.target);
        return add_worker(fault.target);
    case FaultKind::ReuseAddress:
        m_slots.at(fault.target).service = next_service(fault.target, fault.choice);
        [[fallthrough]];
    case FaultKind::ReplaceWorker:
        ++m_replacements.at_same_address;
        return add_worker(fault.target);
    case FaultKind::DrainWorker:
    case FaultKind::DeregisterWorker:
    case FaultKind::LeaveUnheard:
        ++m_replacements.at_same_address;
        retire_worker(fault.target, fault.choice);
        return add_worker(fault.target);
    case FaultKind::StarveControl:
        return m_quota->add(m_processes.at(control).id());
    case FaultKind::ScaleIn:
        for (auto const index : leaving_workers(fault)) {
            ++m_replacements.at_same_address;
            retire_worker(index, 0);
            add_worker(index);
        }
        return;
    case FaultKind::SilenceControl:
        for (std::uint32_t i = 0; i < m_options.routers; ++i)
            end_disturbance(i, true);
        return;
    case FaultKind::SilenceRouter:
        return end_disturbance(fault.target, true);
    case FaultKind::CutRouter:
        end_disturbance(fault.target, true);
        break;
    default:
        break;
    }
    std::lock_guard const lock(m_mutex);
    if (fault.kind == FaultKind::CutRouter) {
        m_cut_routers.erase(ip_of(router));
        return;
    }
    m_cut_controls.erase(ip_of(control));
    m_mute_controls.erase(ip_of(control));
    m_narrow_links.erase(ip_of(control));
}

} // namespace graniteseam::testbed::soak
