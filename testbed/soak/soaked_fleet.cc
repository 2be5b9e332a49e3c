#include "testbed/soak/soaked_fleet.h"

#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <filesystem>
#include <fstream>

#include "testbed/registered/template.h"
#include "testbed/support/text_file.h"

namespace graniteseam::testbed::soak {

namespace {

    /// That a worker which said that it leaves may still get work.
    constexpr Duration drain_allowance {2'000'000};
    constexpr Duration stop_limit {8'000'000};

    auto ip_of(std::uint32_t machine) -> std::string
    {
        return "127.0.78." + std::to_string(machine);
    }

} // namespace

SoakedFleet::SoakedFleet(FleetOptions options, ProgramNames names)
    : m_options(std::move(options))
    , m_names(std::move(names))
{
    std::filesystem::create_directories(m_options.folder);
    while (m_ports.size() < PortCount) {
        // The relay listens on the same ports of its own addresses.
        auto port = Attempt([] { return ReservedPort::Reserve(ip_of(1), LinkLayer::RelayIp(ip_of(1))); });
        if (ErrorOf(port) != nullptr) {
            std::fprintf(stderr, "soak: no port is free.\n");
            std::exit(EXIT_FAILURE);
        }
        m_ports.push_back(std::move(std::get<ReservedPort>(port)));
    }
    m_links = std::make_unique<LinkLayer>(
        [this](auto const& from, auto const& to) { return link_state(from, to); },
        [this](auto const& ends) { return m_owners.IpOf(ends); });
    for (std::uint32_t i = 0; i < m_options.controls; ++i) {
        runtime::SocketAddress address {ip_of(control_machine(i)), m_ports[PeerPort].address().port};
        auto const added = Attempt([&] { return m_links->AddEndpoint(address); });
        if (ErrorOf(added) != nullptr) {
            std::fprintf(stderr, "soak: the relay could not listen for %s.\n", address.ip.c_str());
            std::exit(EXIT_FAILURE);
        }
    }
    for (std::uint32_t i = 0; i < m_options.controls; ++i)
        start_control(i, true);
    for (std::uint32_t i = 0; i < m_options.routers; ++i)
        start_router(i);
    for (std::uint32_t i = 0; i < m_options.keyed_workers + m_options.pool_workers; ++i)
        add_worker(i);
}

SoakedFleet::~SoakedFleet()
{
    m_workers.clear();
    m_processes.clear();
}

auto SoakedFleet::registries() const -> std::vector<std::string>
{
    std::vector<std::string> addresses;
    for (std::uint32_t i = 0; i < m_options.controls; ++i)
        addresses.push_back(at_port(ip_of(control_machine(i)), RegistryPort));
    return addresses;
}

auto SoakedFleet::caller_address(std::uint32_t router) const -> std::string
{
    return at_port(ip_of(router_machine(router)), CallerPort);
}

auto SoakedFleet::at_port(std::string const& ip, Port port) const -> std::string
{
    return ip + ":" + std::to_string(m_ports[port].address().port);
}

auto SoakedFleet::data_folder(std::uint32_t control) const -> std::string
{
    return m_options.folder + "/data-" + std::to_string(control);
}

auto SoakedFleet::settings_of(Machine machine, std::string const& program, bool first) const -> std::string
{
    FleetMachine fields;
    fields.number = machine;
    fields.ip = ip_of(machine);
    fields.first_start = first;
    // Others are told the relay's addresses, so that every link between processes can be cut.
    for (std::uint32_t i = 0; i < m_options.controls; ++i)
        fields.seeds.push_back(at_port(LinkLayer::RelayIp(ip_of(control_machine(i))), RegistryPort));
    fields.first_port = m_ports[PeerPort].address().port;
    fields.last_port = m_ports[HttpPort].address().port;
    fields.control_address = at_port(fields.ip, RegistryPort);
    fields.front_address = at_port(fields.ip, CallerPort);
    fields.ready_address = at_port(fields.ip, StatusPort);
    fields.data_folder = data_folder(machine - 1);
    auto const source
        = Attempt([&] { return ReadTextFile(m_options.templates + "/" + program + ".toml.template"); });
    if (ErrorOf(source) != nullptr) {
        std::fprintf(
            stderr, "soak: no template for %s below %s.\n", program.c_str(), m_options.templates.c_str());
        std::exit(EXIT_FAILURE);
    }
    auto text = FillTemplate(std::get<std::string>(source), m_names.fields_of(fields));
    if (program == "control")
        text += "advertised_peer_address = \"" + at_port(LinkLayer::RelayIp(fields.ip), PeerPort) + "\"\n";
    return text;
}

auto SoakedFleet::start(Machine machine, std::string const& program, std::string const& settings) -> void
{
    auto const path = m_options.folder + "/" + std::to_string(machine) + ".toml";
    static_cast<void>(Attempt([&] { return WriteTextFile(path, settings); }));
    Command command;
    command.words = {m_options.programs + "/graniteseam-platform-" + program};
    command.environment = {{m_names.settings_variable, path}};
    command.log = m_options.folder + "/" + std::to_string(machine) + ".log";
    auto process = Attempt([&] { return ChildProcess::Start(command); });
    if (ErrorOf(process) != nullptr) {
        std::fprintf(stderr, "soak: %s could not be started.\n", command.words[0].c_str());
        std::exit(EXIT_FAILURE);
    }
    auto& started = std::get<ChildProcess>(process);
    m_owners.Add(started.id(), ip_of(machine));
    m_processes.erase(machine);
    m_processes.emplace(machine, std::move(started));
}

auto SoakedFleet::start_control(std::uint32_t index, bool first) -> void
{
    auto const machine = control_machine(index);
    start(machine, "control", settings_of(machine, "control", first));
}

auto SoakedFleet::start_router(std::uint32_t index) -> void
{
    auto const machine = router_machine(index);
    start(machine, "router", settings_of(machine, "router", true));
}

auto SoakedFleet::add_worker(std::uint32_t index) -> void
{
    auto const keyed = index < m_options.keyed_workers;
    WorkerOptions options;
    options.id = "w-" + std::to_string(index) + "-" + std::to_string(++m_worker_lives);
    options.service = keyed ? "keyed" : "pool";
    options.zone = "z" + std::to_string(index % 3);
    options.keyed = keyed;
    options.registries = registries();
    options.names = m_names.exchange;
    options.owner_names = m_names.owner_calls;
    m_worker_ids[index] = options.id;
    m_workers[index] = std::make_unique<Worker>(options);
}

auto SoakedFleet::retire_worker(std::uint32_t index) -> void
{
    auto const& worker = *m_workers.at(index);
    auto const runs = worker.runs();
    m_past_runs.insert(m_past_runs.end(), runs.begin(), runs.end());
    if (worker.drain_acknowledged())
        m_drains.push_back({m_worker_ids.at(index), worker.arrivals_after_drain(drain_allowance)});
    m_workers.erase(index);
}

auto SoakedFleet::tear_newest_file(std::uint32_t control) const -> void
{
    std::filesystem::path newest;
    std::filesystem::file_time_type time {};
    for (auto const& it : std::filesystem::recursive_directory_iterator(data_folder(control))) {
        if (it.is_regular_file() && (newest.empty() || it.last_write_time() > time)) {
            newest = it.path();
            time = it.last_write_time();
        }
    }
    if (newest.empty())
        return;
    std::ofstream file(newest, std::ios::binary | std::ios::app);
    file << "\x7f\x01torn";
}

auto SoakedFleet::link_state(std::string const& from, std::string const& to) const -> LinkState
{
    std::lock_guard const lock(m_mutex);
    auto const is_control = [&](std::string const& ip) {
        for (std::uint32_t i = 0; i < m_options.controls; ++i) {
            if (ip == ip_of(control_machine(i)))
                return true;
        }
        return false;
    };
    auto const between_controls = is_control(from) && is_control(to);
    auto const cut = between_controls
        && (m_cut_controls.contains(from) || m_cut_controls.contains(to) || m_mute_controls.contains(from));
    return {cut || m_cut_routers.contains(from) || m_cut_routers.contains(to), Duration {0}};
}

auto SoakedFleet::begin(Fault const& fault) -> void
{
    auto const control = control_machine(fault.target);
    auto const router = router_machine(fault.target);
    switch (fault.kind) {
    case FaultKind::KillControl:
        return m_processes.at(control).Kill();
    case FaultKind::KillRouter:
        return m_processes.at(router).Kill();
    case FaultKind::KillAllControls:
        for (std::uint32_t i = 0; i < m_options.controls; ++i)
            m_processes.at(control_machine(i)).Kill();
        return;
    case FaultKind::StopRouter:
        return m_processes.at(router).Signal(SIGTERM);
    case FaultKind::FreezeControl:
        return m_processes.at(control).Signal(SIGSTOP);
    case FaultKind::FreezeRouter:
        return m_processes.at(router).Signal(SIGSTOP);
    case FaultKind::LoseDisk:
        m_processes.at(control).Kill();
        std::filesystem::remove_all(data_folder(fault.target));
        return;
    case FaultKind::TearWrite:
        m_processes.at(control).Kill();
        return tear_newest_file(fault.target);
    case FaultKind::CrashWorker:
        return retire_worker(fault.target);
    case FaultKind::DrainWorker:
        return m_workers.at(fault.target)->Drain();
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
}

auto SoakedFleet::undo(Fault const& fault) -> void
{
    auto const control = control_machine(fault.target);
    auto const router = router_machine(fault.target);
    switch (fault.kind) {
    case FaultKind::KillControl:
    case FaultKind::LoseDisk:
    case FaultKind::TearWrite:
        return start_control(fault.target, false);
    case FaultKind::KillAllControls:
        for (std::uint32_t i = 0; i < m_options.controls; ++i)
            start_control(i, false);
        return;
    case FaultKind::KillRouter:
        return start_router(fault.target);
    case FaultKind::StopRouter:
        static_cast<void>(m_processes.at(router).Wait(stop_limit));
        return start_router(fault.target);
    case FaultKind::FreezeControl:
        return m_processes.at(control).Signal(SIGCONT);
    case FaultKind::FreezeRouter:
        return m_processes.at(router).Signal(SIGCONT);
    case FaultKind::CrashWorker:
        return add_worker(fault.target);
    case FaultKind::DrainWorker:
        retire_worker(fault.target);
        return add_worker(fault.target);
    default:
        break;
    }
    std::lock_guard const lock(m_mutex);
    m_cut_controls.erase(ip_of(control));
    m_mute_controls.erase(ip_of(control));
    m_cut_routers.erase(ip_of(router));
}

auto SoakedFleet::collect(Observed& seen) -> void
{
    while (!m_workers.empty())
        retire_worker(m_workers.begin()->first);
    seen.runs = m_past_runs;
    seen.drains = m_drains;
}

} // namespace graniteseam::testbed::soak
