#include "testbed/soak/soaked_fleet.h"

#include <unistd.h>

#include <algorithm>
#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <filesystem>
#include <fstream>

#include "graniteseam/common/duration_text.h"
#include "src/runtime/clock.h"
#include "testbed/registered/template.h"
#include "testbed/support/text_file.h"

namespace graniteseam::testbed::soak {

namespace {

    /// That a worker which said that it leaves may still get work.
    constexpr Duration drain_allowance {2'000'000};
    constexpr double bytes_per_megabit = 125'000;
    constexpr char local_ip[] = "127.0.0.1";
    constexpr char keyed_service[] = "keyed";
    constexpr char leased_service[] = "leased";
    constexpr char pool_service[] = "pool";
    constexpr char annex_service[] = "annex";
    /// The relay names no address for those who are no process of the fleet.
    auto is_caller(std::string const& ip) -> bool
    {
        return ip.empty();
    }
    /// A service that has fewer workers left gives none away.
    constexpr std::ptrdiff_t workers_left_minimum = 2;
    /// Workers differ in speed.
    constexpr Duration work_shortest {4'000};
    constexpr std::uint64_t work_spread_us = 40'000;
    /// A worker's first heartbeat comes at most so long after it listens.
    constexpr std::uint64_t first_heartbeat_spread_us = 300'000;
    constexpr std::uint32_t late_heartbeat_every = 23;
    /// A worker that ended under a request is back after so long.
    constexpr Duration crashed_for {1'500'000};
    /// A heartbeat that outlives its sender is held up for so long at most; one in so many for longer than
    /// any bound that its receiver could assume.
    constexpr std::uint32_t heartbeat_delay_spread_ms = 2'500;
    constexpr std::uint32_t long_heartbeat_delay_every = 3;
    constexpr std::uint32_t long_heartbeat_delay_spread_ms = 30'000;
    constexpr std::uint64_t statement_salt = 0x57a7'ed00'1115'0001;
    constexpr int exit_not_run = 127;
    /// Seeds that a process is told of, as the users' platform does.
    constexpr std::uint32_t seeds_told = 3;
    /// Of all workers, those that leave together: a part between these, in hundredths.
    constexpr std::uint32_t leaving_least = 10;
    constexpr std::uint32_t leaving_spread = 21;
    constexpr Duration warm_up {3'000'000};
    /// With faulty answers: of the requests, and of the answers.
    constexpr double always_rejected_part = 0.3;
    constexpr double faulty_part = 0.25;
    /// A process that was told to stop is killed after this.
    constexpr Duration stop_grace {6'000'000};
    /// A process that was just started may not have its handlers of signals yet.
    constexpr Duration ready_for_signals {2'000'000};

} // namespace

auto run_closed(char** words) -> int
{
    ::close_range(STDERR_FILENO + 1, ~0U, 0);
    ::execv(words[0], words);
    return exit_not_run;
}

SoakedFleet::SoakedFleet(FleetOptions options, ProgramNames names)
    : m_options(std::move(options))
    , m_names(std::move(names))
    , m_random(m_options.seed)
    , m_statement_random(m_options.seed ^ statement_salt)
{
    std::filesystem::create_directories(m_options.folder);
    m_last_machine = m_options.controls + m_options.routers;
    for (Machine machine = 1; machine <= m_options.controls; ++machine) {
        m_places.push_back(machine);
        m_control_ips.insert(ip_of(machine));
    }
    if (m_options.faulty_answers)
        m_rejected_part->store(always_rejected_part);
    while (m_ports.size() < PortCount) {
        // The relay listens on the same ports of its own addresses. Control's own HTTP listens on the local
        // address, as its settings template has it, where workers and callers take ports too.
        auto const local = m_ports.size() == HttpPort;
        auto port = Attempt([&] {
            return local ? ReservedPort::Reserve(local_ip, ip_of(1))
                         : ReservedPort::Reserve(ip_of(1), LinkLayer::RelayIp(ip_of(1)));
        });
        if (ErrorOf(port) != nullptr) {
            std::fprintf(stderr, "soak: no port is free.\n");
            std::exit(EXIT_FAILURE);
        }
        m_ports.push_back(std::move(std::get<ReservedPort>(port)));
    }
    std::vector<std::string> registries;
    for (auto const machine : m_places)
        registries.push_back(at_port(ip_of(machine), RegistryPort));
    m_registries = std::make_shared<LaggingList>(std::move(registries), m_options.list_lag);
    auto const limits_links = m_options.router_link_mbps > 0;
    for (std::uint32_t i = 0; limits_links && i < m_options.routers; ++i) {
        LinkRate const rate(m_options.router_link_mbps * bytes_per_megabit);
        m_router_links.emplace(ip_of(router_machine(i)), RouterLink {rate, rate});
    }
    LinkOptions links;
    links.retransmits = limits_links;
    links.arrival = [this](auto const& from, auto const& to, std::size_t bytes, Instant now) {
        return arrival(from, to, bytes, now);
    };
    m_links = std::make_unique<LinkLayer>(
        [this](auto const& from, auto const& to) { return link_state(from, to); },
        [this](auto const& ends) {
            // Only callers dial this port.
            auto const dialled_by_caller = ends.relay.port == m_ports[CallerPort].address().port;
            return dialled_by_caller ? std::string() : m_owners.IpOf(ends);
        },
        links);
    for (auto const machine : m_places)
        add_endpoint(machine, PeerPort);
    for (std::uint32_t i = 0; i < m_options.routers; ++i) {
        if (m_options.coordinating)
            add_endpoint(router_machine(i), HttpPort);
        if (limits_links)
            add_endpoint(router_machine(i), CallerPort);
    }
    if (m_options.processor < 1 || m_options.starving)
        m_quota.emplace(m_options.processor);
    if (m_options.router_processor < 1)
        m_router_quota.emplace(m_options.router_processor);
    for (auto const machine : m_places)
        start_control(machine, true);
    for (std::uint32_t i = 0; i < m_options.routers; ++i)
        start_router(i);
    auto const workers = m_options.keyed_workers + m_options.leased_workers + m_options.pool_workers;
    for (std::uint32_t i = 0; i < workers; ++i) {
        auto const leased = i < m_options.keyed_workers + m_options.leased_workers;
        m_slots[i].service = i < m_options.keyed_workers ? keyed_service
            : leased                                     ? leased_service
                                                         : pool_service;
        reserve_address(i);
        add_worker(i);
    }
    // After the others: faults name workers by their index, and these are not among them.
    for (std::uint32_t i = workers; i < workers + m_options.annex_workers; ++i) {
        m_slots[i].service = annex_service;
        reserve_address(i);
        add_worker(i);
    }
}

SoakedFleet::~SoakedFleet()
{
    m_slots.clear();
    m_quota.reset();
    m_router_quota.reset();
    m_processes.clear();
}

auto SoakedFleet::add_endpoint(Machine machine, Port port) -> void
{
    runtime::SocketAddress const address {ip_of(machine), m_ports[port].address().port};
    auto const added = Attempt([&] { return m_links->AddEndpoint(address); });
    if (ErrorOf(added) == nullptr)
        return;
    std::fprintf(stderr, "soak: the relay could not listen for %s.\n", address.ip.c_str());
    std::exit(EXIT_FAILURE);
}

auto SoakedFleet::arrival(std::string const& from, std::string const& to, std::size_t bytes, Instant now)
    -> Instant
{
    // What a router passes on between a caller and a worker crosses its link twice, and the relay carries
    // only the caller's side.
    auto const crossing = is_caller(from) || is_caller(to) ? 2 * bytes : bytes;
    auto at = now;
    {
        std::lock_guard const lock(m_mutex);
        auto const it = m_narrow_links.find(from);
        if (it != m_narrow_links.end() && !is_control(to))
            at = std::max(at, it->second.Send(bytes, now));
    }
    // Each link from now on, not from the arrival over the one before: it would be taken until then, also
    // for what comes over other links.
    if (auto const it = m_router_links.find(from); it != m_router_links.end())
        at = std::max(at, it->second.sent.Send(crossing, now));
    if (auto const it = m_router_links.find(to); it != m_router_links.end())
        at = std::max(at, it->second.received.Send(crossing, now));
    return at;
}

auto SoakedFleet::is_control(std::string const& ip) const -> bool
{
    return m_control_ips.contains(ip);
}

auto SoakedFleet::runs_control(Machine machine) const -> bool
{
    return machine <= m_options.controls || machine > m_options.controls + m_options.routers;
}

auto SoakedFleet::longest_link_wait() const -> Duration
{
    Duration longest {};
    for (auto const& [ip, link] : m_router_links)
        longest = std::max({longest, link.sent.longest_wait(), link.received.longest_wait()});
    return longest;
}

auto SoakedFleet::ip_of(Machine machine) -> std::string
{
    return "127.0.78." + std::to_string(machine);
}

auto SoakedFleet::caller_address(std::uint32_t router) const -> std::string
{
    auto const ip = ip_of(router_machine(router));
    return at_port(m_options.router_link_mbps > 0 ? LinkLayer::RelayIp(ip) : ip, CallerPort);
}

auto SoakedFleet::at_port(std::string const& ip, Port port) const -> std::string
{
    return ip + ":" + std::to_string(m_ports[port].address().port);
}

auto SoakedFleet::data_folder(Machine machine) const -> std::string
{
    return m_options.folder + "/data-" + std::to_string(machine - 1);
}

auto SoakedFleet::settings_of(
    Machine machine, std::string const& program, bool first, std::uint32_t first_seed) const -> std::string
{
    FleetMachine fields;
    fields.number = machine;
    fields.ip = ip_of(machine);
    fields.first_start = first;
    fields.losses_tolerated = m_options.losses_tolerated;
    auto const memory = program == "control" ? control_memory_bytes : router_memory_bytes;
    fields.memory_mb = static_cast<std::uint32_t>(memory / bytes_per_megabyte);
    // Others are told the relay's addresses, so that every link between processes can be cut.
    auto const listed = m_registries->Addresses();
    for (std::size_t i = 0; i < std::min<std::size_t>(listed.size(), seeds_told); ++i)
        fields.seeds.push_back(LinkLayer::RelayIp(listed[(first_seed + i) % listed.size()]));
    fields.first_port = m_ports[PeerPort].address().port;
    fields.last_port = m_ports[HttpPort].address().port;
    fields.control_address = at_port(fields.ip, RegistryPort);
    fields.front_address = at_port(fields.ip, CallerPort);
    fields.ready_address = at_port(fields.ip, StatusPort);
    fields.data_folder = data_folder(machine);
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
    // The template has routers listen for each other at the last port.
    if (m_options.coordinating && program == "router")
        text += "advertised_coordination_address = \"" + at_port(LinkLayer::RelayIp(fields.ip), HttpPort)
            + "\"\n";
    if (m_options.warming)
        text += "warm_up_requests_per_second = 8\n";
    if (m_options.warming && program == "control")
        text += "spare_warming_up = true\n";
    return text;
}

auto SoakedFleet::write_settings(Machine machine, std::string const& settings) const -> std::string
{
    auto path = m_options.folder + "/" + std::to_string(machine) + ".toml";
    static_cast<void>(Attempt([&] { return WriteTextFile(path, settings); }));
    return path;
}

auto SoakedFleet::reload(Machine machine, std::string const& program, std::uint32_t choice) -> void
{
    write_settings(machine, settings_of(machine, program, false, choice % m_options.controls));
    m_processes.at(machine).Signal(SIGHUP);
}

auto SoakedFleet::start(Machine machine, std::string const& program, std::string const& settings) -> void
{
    auto const path = write_settings(machine, settings);
    Command command;
    command.words
        = {"/proc/self/exe", run_closed_word, m_options.programs + "/graniteseam-platform-" + program};
    command.environment = {{m_names.settings_variable, path}};
    command.log = m_options.folder + "/" + std::to_string(machine) + ".log";
    auto process = Attempt([&] { return ChildProcess::Start(command); });
    if (ErrorOf(process) != nullptr) {
        std::fprintf(stderr, "soak: %s could not be started.\n", command.words.back().c_str());
        std::exit(EXIT_FAILURE);
    }
    auto& started = std::get<ChildProcess>(process);
    m_owners.Add(started.id(), ip_of(machine));
    if (auto const it = m_processes.find(machine); it != m_processes.end()) {
        if (auto* quota = quota_of(machine))
            quota->remove(it->second.id());
        m_processes.erase(it);
    }
    if (auto* quota = quota_of(machine))
        quota->add(started.id());
    m_processes.emplace(machine, std::move(started));
    m_started[machine] = runtime::BootTimeNow();
}

auto SoakedFleet::kill(Machine machine) -> void
{
    auto& process = m_processes.at(machine);
    if (auto* quota = quota_of(machine))
        quota->remove(process.id());
    process.Kill();
}

auto SoakedFleet::quota_of(Machine machine) -> ProcessorQuota*
{
    auto& quota = runs_control(machine) ? m_quota : m_router_quota;
    return quota ? &*quota : nullptr;
}

auto SoakedFleet::freeze(Machine machine) -> void
{
    auto& process = m_processes.at(machine);
    // It would let the process go on with its next period.
    if (auto* quota = quota_of(machine))
        quota->remove(process.id());
    process.Signal(SIGSTOP);
}

auto SoakedFleet::thaw(Machine machine) -> void
{
    auto& process = m_processes.at(machine);
    process.Signal(SIGCONT);
    if (auto* quota = quota_of(machine))
        quota->add(process.id());
}

auto SoakedFleet::silence(std::string const& ip) -> void
{
    std::lock_guard const lock(m_mutex);
    m_silent_before[ip] = runtime::BootTimeNow();
}

auto SoakedFleet::leaving_workers(Fault const& fault) const -> std::vector<std::uint32_t>
{
    auto const all = static_cast<std::uint32_t>(m_slots.size());
    auto const n = all * (leaving_least + fault.choice % leaving_spread) / 100;
    std::vector<std::uint32_t> leaving;
    // Spread over all services.
    for (std::uint32_t i = 0; i < n; ++i)
        leaving.push_back((fault.target + i * all / n) % all);
    return leaving;
}

auto SoakedFleet::start_control(Machine machine, bool first, std::uint32_t first_seed) -> void
{
    start(machine, "control", settings_of(machine, "control", first, first_seed));
}

auto SoakedFleet::start_successor(std::uint32_t choice) -> Machine
{
    auto const machine = ++m_last_machine;
    {
        std::lock_guard const lock(m_mutex);
        m_control_ips.insert(ip_of(machine));
    }
    add_endpoint(machine, PeerPort);
    start_control(machine, false, choice % m_options.controls);
    ++m_replacements.of_controls;
    return machine;
}

auto SoakedFleet::publish_controls() -> void
{
    std::vector<std::string> addresses;
    for (auto const machine : m_places)
        addresses.push_back(at_port(ip_of(machine), RegistryPort));
    for (auto const& [place, machine] : m_successors)
        addresses.push_back(at_port(ip_of(machine), RegistryPort));
    m_registries->Change(std::move(addresses));
}

auto SoakedFleet::change_seeds(std::uint32_t choice) -> void
{
    // The users' platform may change the file without a signal too.
    auto const signals = choice % 2 == 0;
    auto const now = runtime::BootTimeNow();
    for (auto& [machine, process] : m_processes) {
        auto const control = runs_control(machine);
        auto const* const program = control ? "control" : "router";
        write_settings(machine, settings_of(machine, program, false, choice / 2));
        if (!signals || now - m_started.at(machine) < ready_for_signals)
            continue;
        if (!control)
            m_seen.reloads.push_back({machine - m_options.controls - 1, now});
        process.Signal(SIGHUP);
    }
}

auto SoakedFleet::remove_departed() -> void
{
    auto const now = runtime::BootTimeNow();
    std::erase_if(m_departing, [&](auto const& departing) {
        auto const& [machine, since] = departing;
        if (m_processes.at(machine).Running() && now - since < stop_grace)
            return false;
        m_seen.core_disturbances.push_back({now, now});
        kill(machine);
        m_processes.erase(machine);
        std::filesystem::remove_all(data_folder(machine));
        return true;
    });
}

auto SoakedFleet::replacements() const -> Replacements
{
    auto replacements = m_replacements;
    replacements.first_controls_left = static_cast<std::uint32_t>(std::count_if(
        m_places.begin(), m_places.end(), [&](auto machine) { return machine <= m_options.controls; }));
    return replacements;
}

auto SoakedFleet::start_router(std::uint32_t index) -> void
{
    auto const machine = router_machine(index);
    start(machine, "router", settings_of(machine, "router", true));
}

auto SoakedFleet::reserve_address(std::uint32_t index) -> void
{
    auto port = Attempt([&] { return ReservedPort::Reserve(local_ip, ""); });
    if (ErrorOf(port) != nullptr) {
        std::fprintf(stderr, "soak: no port is free for a worker.\n");
        std::exit(EXIT_FAILURE);
    }
    m_slots.at(index).port.emplace(std::move(std::get<ReservedPort>(port)));
}

auto SoakedFleet::add_worker(std::uint32_t index) -> void
{
    auto& slot = m_slots.at(index);
    WorkerOptions options;
    options.id = "w-" + std::to_string(index) + "-" + std::to_string(++m_worker_lives);
    options.service = slot.service;
    options.zone = "z" + std::to_string(index % 3);
    options.keyed = slot.service == keyed_service || slot.service == leased_service;
    options.leases = slot.service == leased_service;
    options.registry_list = m_registries;
    options.names = m_names.exchange;
    options.owner_names = m_names.owner_calls;
    options.address = slot.port->address();
    options.heartbeat = m_options.heartbeat;
    options.work = work_shortest + Duration(static_cast<std::int64_t>(m_random() % work_spread_us));
    options.first_heartbeat = Duration(static_cast<std::int64_t>(m_random() % first_heartbeat_spread_us));
    options.late_every = late_heartbeat_every;
    options.rejected_part = m_rejected_part;
    if (m_options.stating)
        options.statements = draw_statements();
    if (m_options.faulty_answers && slot.service != annex_service)
        options.answer_faults = {.part = faulty_part, .counts = m_answer_faults};
    if (m_options.warming && m_worker_lives > m_slots.size())
        options.warm_up = warm_up;
    slot.worker_id = options.id;
    slot.worker = std::make_unique<Worker>(options);
}

auto SoakedFleet::draw_statements() -> WorkerStatements
{
    auto const between = [&](std::int64_t least_ms, std::int64_t most_ms) {
        auto const spread = static_cast<std::uint64_t>(most_ms - least_ms);
        return Duration {1'000 * (least_ms + static_cast<std::int64_t>(m_statement_random() % spread))};
    };
    WorkerStatements statements;
    statements.says_leaving = true;
    if (m_statement_random() % 2 == 0) {
        statements.limit_per_second = ToSeconds(between(500, 6'000));
        statements.limited_from = between(3'000, 12'000);
        statements.limited_until = statements.limited_from + between(5'000, 15'000);
    }
    if (m_statement_random() % 2 == 0) {
        statements.turns_away_from = between(3'000, 25'000);
        statements.turns_away_until = statements.turns_away_from + between(500, 5'000);
        statements.rest = between(500, 3'000);
    }
    return statements;
}

auto SoakedFleet::any_delay(std::uint32_t choice) -> Duration
{
    auto const is_long = choice % long_heartbeat_delay_every == 0;
    return std::chrono::milliseconds(
        choice % (is_long ? long_heartbeat_delay_spread_ms : heartbeat_delay_spread_ms));
}

auto SoakedFleet::delay_heartbeat(Worker& worker, std::uint32_t choice, Duration after) -> void
{
    auto const all = m_registries->Addresses();
    m_late_heartbeats.Deliver(all[choice % all.size()], worker.HoldBackHeartbeat(), after);
}

auto SoakedFleet::retire_worker(std::uint32_t index, std::uint32_t choice) -> void
{
    auto& slot = m_slots.at(index);
    auto& worker = *slot.worker;
    if (choice % 2 == 1)
        delay_heartbeat(worker, choice, any_delay(choice));
    worker.Stop();
    auto const runs = worker.runs();
    m_seen.runs.insert(m_seen.runs.end(), runs.begin(), runs.end());
    for (auto& [at, attempt] : worker.received())
        m_seen.arrivals.push_back({slot.service, std::move(attempt), at});
    auto const holds = worker.holds();
    m_seen.holds.insert(m_seen.holds.end(), holds.begin(), holds.end());
    if (m_options.stating || m_options.warming)
        m_seen.stated.push_back(worker.stated());
    if (worker.drain_acknowledged())
        m_seen.drains.push_back({slot.worker_id, worker.arrivals_after_drain(drain_allowance)});
    auto const crash = worker.crash();
    if (crash)
        m_seen.crashes.push_back(*crash);
    m_seen.worker_ends[slot.worker_id] = crash ? crash->at : runtime::BootTimeNow();
    slot.worker.reset();
}

auto SoakedFleet::revive_crashed() -> void
{
    auto const now = runtime::BootTimeNow();
    for (auto& [index, slot] : m_slots) {
        auto const crash = slot.worker ? slot.worker->crash() : std::nullopt;
        if (!crash || now - crash->at < crashed_for)
            continue;
        retire_worker(index, 0);
        ++m_replacements.at_same_address;
        add_worker(index);
    }
}

auto SoakedFleet::next_service(std::uint32_t index, std::uint32_t choice) const -> std::string
{
    auto const& own = m_slots.at(index).service;
    auto const left = std::count_if(
        m_slots.begin(), m_slots.end(), [&](auto const& it) { return it.second.service == own; });
    if (left <= workers_left_minimum)
        return own;
    std::vector<std::string> others {keyed_service, leased_service, pool_service};
    std::erase(others, own);
    return others[choice % others.size()];
}

auto SoakedFleet::tear_newest_file(Machine machine) const -> void
{
    std::filesystem::path newest;
    std::filesystem::file_time_type time {};
    for (auto const& it : std::filesystem::recursive_directory_iterator(data_folder(machine))) {
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
    // Faults hit the links between the fleet's processes, and callers are none of them.
    if (is_caller(from) || is_caller(to))
        return {};
    std::lock_guard const lock(m_mutex);
    auto const between_controls = is_control(from) && is_control(to);
    auto const cut = between_controls
        && (m_cut_controls.contains(from) || m_cut_controls.contains(to) || m_mute_controls.contains(from));
    auto const silent_before = [&](std::string const& ip) {
        auto const it = m_silent_before.find(ip);
        return it == m_silent_before.end() ? Instant {} : it->second;
    };
    return {cut || m_cut_routers.contains(from) || m_cut_routers.contains(to), Duration {0},
        std::max(silent_before(from), silent_before(to))};
}

/// The most memory that a process was resident in; nullopt when it has ended, or has not yet become the
/// program that it is to run.
static auto peak_bytes_of(int process) -> std::optional<std::uint64_t>
{
    auto const folder = "/proc/" + std::to_string(process);
    std::error_code ec;
    auto const program = std::filesystem::read_symlink(folder + "/exe", ec).filename().string();
    if (ec || !program.starts_with("graniteseam-platform-"))
        return std::nullopt;
    constexpr std::string_view peak = "VmHWM:";
    constexpr std::uint64_t bytes_per_kib = 1'024;
    std::ifstream status(folder + "/status");
    for (std::string line; std::getline(status, line);) {
        if (line.starts_with(peak))
            return std::strtoull(line.c_str() + peak.size(), nullptr, 10) * bytes_per_kib;
    }
    return std::nullopt;
}

auto SoakedFleet::note_memory() -> void
{
    for (auto& [machine, process] : m_processes) {
        auto const peak = peak_bytes_of(process.id());
        if (!peak)
            continue;
        auto const* const program = runs_control(machine) ? "control" : "router";
        m_memory[process.id()] = {program, machine, *peak};
    }
}

auto SoakedFleet::collect(Observed& seen) -> void
{
    for (auto& [index, slot] : m_slots) {
        if (slot.worker)
            retire_worker(index, 0);
    }
    seen.runs = m_seen.runs;
    seen.holds = m_seen.holds;
    seen.drains = m_seen.drains;
    seen.stated = m_seen.stated;
    seen.arrivals = m_seen.arrivals;
    seen.disturbances = m_seen.disturbances;
    seen.stops = m_seen.stops;
    seen.reloads = m_seen.reloads;
    seen.thaws = m_seen.thaws;
    seen.crashes = m_seen.crashes;
    seen.core_disturbances = m_seen.core_disturbances;
    seen.core_strains = m_seen.core_strains;
    seen.worker_ends = m_seen.worker_ends;
    note_memory();
    for (auto const& [process, memory] : m_memory)
        seen.memory.push_back(memory);
}

} // namespace graniteseam::testbed::soak
