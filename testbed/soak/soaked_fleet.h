/// @file
/// The platform's programs as processes of their own, with workers as stand-ins, and the faults that hit
/// them from outside: signals, a relay on their links, and their data folders.
#pragma once

#include <atomic>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "testbed/fleet/child_process.h"
#include "testbed/fleet/link_layer.h"
#include "testbed/fleet/link_rate.h"
#include "testbed/fleet/reserved_port.h"
#include "testbed/fleet/socket_owners.h"
#include "testbed/registered/fleet_machine.h"
#include "testbed/registered/late_heartbeats.h"
#include "testbed/registered/worker.h"
#include "testbed/soak/fault_plan.h"
#include "testbed/soak/processor_quota.h"
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
    std::uint64_t seed = 0; ///< For what differs between workers.
    std::uint32_t keyed_workers = 4; ///< Of the service that takes orders.
    std::uint32_t leased_workers = 4; ///< Of the service whose keys come by heartbeat.
    std::uint32_t pool_workers = 2;
    /// Of the service that routes move to and from; no fault hits them, so that who ran a request tells of
    /// the router alone.
    std::uint32_t annex_workers = 2;
    Duration heartbeat {200'000};
    std::uint32_t losses_tolerated = 1;
    double processor = 1; ///< Part of a core that each control process may use; 1: not limited.
    double router_processor = 1; ///< The same of routers.
    /// Bandwidth of each router's link, each way; 0: not limited. Otherwise callers reach routers over the
    /// relay too, and connections over a link that was cut resume as TCP's do.
    double router_link_mbps = 0;
    bool stating = false; ///< Workers name limits, ask for rests and say that they leave.
    bool warming = false; ///< Workers that start in place of others warm up.
    bool coordinating = false; ///< Routers reach each other through the relay to coordinate admission.
    bool starving = false; ///< Control processes are short of processor time at times.
    bool faulty_answers = false; ///< Workers reject requests and spoil answers, but for those of the annex.
    Duration list_lag {0}; ///< By which lists of control processes that are told to others are late.
};

/// How often a worker, or a control process for good, was replaced by another process.
struct Replacements {
    std::uint64_t at_same_address = 0;
    std::uint64_t elsewhere = 0;
    std::uint64_t of_controls = 0;
    std::uint32_t first_controls_left = 0;
};

/// The word that makes the soak's own program run another one in its place, see run_closed().
inline constexpr char run_closed_word[] = "--run-closed";

/// Replaces this process by a program, with no descriptor but the standard ones open. The sockets of workers
/// and callers are not to live on in the programs under test: a worker that crashed would still seem to
/// listen.
/// @return only when the program can't be run.
auto run_closed(char** words) -> int;

/// Processes die with the thread that constructed it. Faults are begun and undone by that thread; the
/// addresses may be read by any.
class SoakedFleet {
public:
    SoakedFleet(FleetOptions, ProgramNames);
    ~SoakedFleet();
    SoakedFleet(SoakedFleet const&) = delete;
    auto operator=(SoakedFleet const&) -> SoakedFleet& = delete;

    /// Where operators and workers call control, "ip:port".
    auto registries() const -> std::shared_ptr<LaggingList const> { return m_registries; }
    /// Where callers call a router.
    auto caller_address(std::uint32_t router) const -> std::string;

    auto begin(Fault const&) -> void;
    auto undo(Fault const&) -> void;

    /// What workers ran and held, what came after their drains, and what was done to routers; workers that
    /// ended count too. Ends the workers.
    auto collect(Observed&) -> void;

    /// Starts workers again that ended under a request some time ago.
    auto revive_crashed() -> void;

    /// Ends control processes that were told to stop for good and have had their time for it; their data
    /// is gone.
    auto remove_departed() -> void;

    /// Notes the most memory that each process has held so far.
    auto note_memory() -> void;

    auto answer_faults() const -> AnswerFaultCounts const& { return *m_answer_faults; }

    auto replacements() const -> Replacements;

    /// The longest time for which bytes have waited at a router's link. Once the relay has ended.
    auto longest_link_wait() const -> Duration;
    /// Ends the relay, and with it all links.
    auto end_links() -> void { m_links.reset(); }

private:
    /// Control processes from 1, routers after them, then control processes that others were replaced by.
    using Machine = std::uint32_t;
    /// Ports, the same on all machines.
    enum Port : std::size_t {
        RegistryPort,
        CallerPort,
        PeerPort,
        HttpPort,
        StatusPort,
        PortCount,
    };

    static auto ip_of(Machine) -> std::string;
    /// Of the process that has a place among the control processes at present.
    auto control_machine(std::uint32_t place) const -> Machine { return m_places[place]; }
    auto router_machine(std::uint32_t index) const -> Machine { return 1 + m_options.controls + index; }
    auto start_control(Machine, bool first, std::uint32_t first_seed = 0) -> void;
    /// Starts a control process on a new machine, with an empty folder.
    auto start_successor(std::uint32_t choice) -> Machine;
    /// Changes the list of control processes that others are told.
    auto publish_controls() -> void;
    /// Writes the settings of all running processes anew.
    auto change_seeds(std::uint32_t choice) -> void;
    auto start_router(std::uint32_t index) -> void;
    auto start(Machine, std::string const& program, std::string const& settings) -> void;
    /// @param first_seed where the seeds begin in the list of control processes.
    auto settings_of(Machine, std::string const& program, bool first, std::uint32_t first_seed = 0) const
        -> std::string;
    auto write_settings(Machine, std::string const& settings) const -> std::string;
    /// Changes a program's settings file and tells it so.
    auto reload(Machine, std::string const& program, std::uint32_t choice) -> void;
    auto at_port(std::string const& ip, Port) const -> std::string;
    auto data_folder(Machine) const -> std::string;
    auto tear_newest_file(Machine) const -> void;
    /// Starts a worker of the slot's service at the slot's address.
    auto add_worker(std::uint32_t index) -> void;
    /// What a worker that starts now is to state.
    auto draw_statements() -> WorkerStatements;
    /// Notes what the slot's worker saw and ends it, as a crash does. A heartbeat of it may come later.
    auto retire_worker(std::uint32_t index, std::uint32_t choice) -> void;
    /// Keeps a heartbeat back that was made now, and delivers it later.
    auto delay_heartbeat(Worker&, std::uint32_t choice, Duration after) -> void;
    /// For how long a heartbeat is kept back where a fault does not say.
    static auto any_delay(std::uint32_t choice) -> Duration;
    auto reserve_address(std::uint32_t index) -> void;
    auto next_service(std::uint32_t index, std::uint32_t choice) const -> std::string;
    /// Kills a process, which is not signalled by the quota any more.
    auto kill(Machine) -> void;
    auto freeze(Machine) -> void;
    auto thaw(Machine) -> void;
    /// Null when the machine's program is not limited.
    auto quota_of(Machine) -> ProcessorQuota*;
    /// Workers that leave together by such a fault.
    auto leaving_workers(Fault const&) const -> std::vector<std::uint32_t>;
    auto begin_disturbance(std::uint32_t router, bool only_links = false) -> void;
    auto end_disturbance(std::uint32_t router, bool only_links = false) -> void;
    /// Open connections with a process carry nothing any more.
    auto silence(std::string const& ip) -> void;
    auto link_state(std::string const& from, std::string const& to) const -> LinkState;
    /// Of the relay's thread, which holds the mutex.
    auto is_control(std::string const& ip) const -> bool;
    auto runs_control(Machine) const -> bool;
    auto add_endpoint(Machine, Port) -> void;
    /// When bytes that are sent now have arrived, by the bandwidths of the links on their way.
    auto arrival(std::string const& from, std::string const& to, std::size_t bytes, Instant now) -> Instant;

    FleetOptions const m_options;
    ProgramNames const m_names;
    std::vector<ReservedPort> m_ports;
    SocketOwners m_owners;
    struct RouterLink {
        LinkRate sent;
        LinkRate received;
    };
    std::map<std::string, RouterLink> m_router_links; ///< By address; the relay's thread uses them.
    std::unique_ptr<LinkLayer> m_links;
    std::map<Machine, ChildProcess> m_processes;
    std::map<Machine, Instant> m_started; ///< When their present processes did.
    std::vector<Machine> m_places; ///< The process of each place among the control processes.
    std::map<std::uint32_t, Machine> m_successors; ///< By place: those that run beside whom they replace.
    std::map<Machine, Instant> m_departing; ///< Told to stop for good, and when.
    Machine m_last_machine = 0;
    std::shared_ptr<LaggingList> m_registries;
    // After the processes, so that they end first.
    std::optional<ProcessorQuota> m_quota; ///< Of control processes.
    std::optional<ProcessorQuota> m_router_quota;
    /// A place for one worker after the other.
    struct Slot {
        std::string service;
        std::optional<ReservedPort> port;
        std::string worker_id;
        std::unique_ptr<Worker> worker;
    };
    std::map<std::uint32_t, Slot> m_slots; ///< By index.
    std::uint32_t m_worker_lives = 0;
    std::mt19937_64 m_random;
    std::mt19937_64 m_statement_random; ///< Of its own: without statements a seed's course stays what it is.
    LateHeartbeats m_late_heartbeats;
    std::shared_ptr<std::atomic<double>> const m_rejected_part = std::make_shared<std::atomic<double>>(0);
    std::shared_ptr<AnswerFaultCounts> const m_answer_faults = std::make_shared<AnswerFaultCounts>();
    std::map<int, SeenMemory> m_memory; ///< By process.
    Replacements m_replacements;
    Observed m_seen; ///< Of workers that ended, and of what was done.
    std::map<std::pair<std::uint32_t, bool>, int> m_open_disturbances; ///< By router and only_links.

    mutable std::mutex m_mutex; ///< Guards what follows, which the relay's thread reads.
    std::set<std::string> m_control_ips; ///< Those of processes that are gone too.
    std::set<std::string> m_cut_controls;
    std::set<std::string> m_mute_controls; ///< Cut one way.
    std::set<std::string> m_cut_routers;
    std::map<std::string, LinkRate> m_narrow_links; ///< From control processes to all routers.
    std::map<std::string, Instant> m_silent_before; ///< By address: its older connections are silent.
};

} // namespace graniteseam::testbed::soak
