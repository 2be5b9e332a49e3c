/// @file
/// The platform's programs as processes of their own, with workers as stand-ins, and the faults that hit
/// them from outside: signals, a relay on their links, and their data folders.
#pragma once

#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <set>
#include <string>
#include <vector>

#include "testbed/fleet/child_process.h"
#include "testbed/fleet/link_layer.h"
#include "testbed/fleet/reserved_port.h"
#include "testbed/fleet/socket_owners.h"
#include "testbed/registered/fleet_machine.h"
#include "testbed/registered/worker.h"
#include "testbed/soak/fault_plan.h"
#include "testbed/soak/promises.h"

namespace graniteseam::testbed::soak {

/// What the programs under test call things.
struct ProgramNames {
    daemon::ExchangeNames exchange;
    daemon::OwnerCallNames owner_calls;
    std::string settings_variable; ///< Holds the path of a program's settings.
    std::function<std::string(FleetMachine const&)> fields_of; ///< For its settings template, as JSON.
};

struct FleetOptions {
    std::string programs; ///< Folder of the programs.
    std::string templates; ///< Folder of the settings templates.
    std::string folder; ///< For data and logs.
    std::uint32_t controls = 3;
    std::uint32_t routers = 3;
    std::uint32_t keyed_workers = 4;
    std::uint32_t pool_workers = 2;
};

/// Processes die with the thread that constructed it. Faults are begun and undone by that thread; the
/// addresses may be read by any.
class SoakedFleet {
public:
    SoakedFleet(FleetOptions, ProgramNames);
    ~SoakedFleet();
    SoakedFleet(SoakedFleet const&) = delete;
    auto operator=(SoakedFleet const&) -> SoakedFleet& = delete;

    /// Where operators and workers call control, "ip:port".
    auto registries() const -> std::vector<std::string>;
    /// Where callers call a router.
    auto caller_address(std::uint32_t router) const -> std::string;

    auto begin(Fault const&) -> void;
    auto undo(Fault const&) -> void;

    /// What workers ran and what came after their drains; workers that ended count too.
    auto collect(Observed&) -> void;

private:
    using Machine = std::uint32_t; ///< Controls from 1, routers after them.
    /// Ports, the same on all machines.
    enum Port : std::size_t {
        RegistryPort,
        CallerPort,
        PeerPort,
        HttpPort,
        StatusPort,
        PortCount,
    };

    auto control_machine(std::uint32_t index) const -> Machine { return 1 + index; }
    auto router_machine(std::uint32_t index) const -> Machine { return 1 + m_options.controls + index; }
    auto start_control(std::uint32_t index, bool first) -> void;
    auto start_router(std::uint32_t index) -> void;
    auto start(Machine, std::string const& program, std::string const& settings) -> void;
    auto settings_of(Machine, std::string const& program, bool first) const -> std::string;
    auto at_port(std::string const& ip, Port) const -> std::string;
    auto data_folder(std::uint32_t control) const -> std::string;
    auto tear_newest_file(std::uint32_t control) const -> void;
    auto add_worker(std::uint32_t index) -> void;
    auto retire_worker(std::uint32_t index) -> void;
    auto link_state(std::string const& from, std::string const& to) const -> LinkState;

    FleetOptions const m_options;
    ProgramNames const m_names;
    std::vector<ReservedPort> m_ports;
    SocketOwners m_owners;
    std::unique_ptr<LinkLayer> m_links;
    std::map<Machine, ChildProcess> m_processes;
    std::map<std::uint32_t, std::unique_ptr<Worker>> m_workers; ///< By index.
    std::map<std::uint32_t, std::string> m_worker_ids;
    std::uint32_t m_worker_lives = 0;
    std::vector<WorkerRun> m_past_runs;
    std::vector<SeenDrain> m_drains;

    mutable std::mutex m_mutex; ///< Guards what follows, which the relay's thread reads.
    std::set<std::string> m_cut_controls;
    std::set<std::string> m_mute_controls; ///< Cut one way.
    std::set<std::string> m_cut_routers;
};

} // namespace graniteseam::testbed::soak
