#include "testbed/soak/soak.h"

#include <fmt/format.h>

#include <algorithm>
#include <condition_variable>
#include <cstdio>
#include <filesystem>
#include <fstream>
#include <map>
#include <mutex>
#include <optional>
#include <set>
#include <thread>

#include "graniteseam/common/duration_text.h"
#include "src/runtime/clock.h"
#include "testbed/soak/arguments.h"
#include "testbed/soak/hostile_clients.h"
#include "testbed/soak/load.h"
#include "testbed/soak/probes.h"
#include "testbed/soak/retry_promises.h"
#include "testbed/soak/run_shape.h"
#include "testbed/soak/soaked_fleet.h"
#include "testbed/soak/version_promises.h"
#include "testbed/support/text_file.h"

namespace graniteseam::testbed::soak {

namespace {

    /// The users give this long to recover after the last fault.
    constexpr Duration recovery {15'000'000};
    /// Planned work alone needs less time than all kinds of faults.
    constexpr Duration last_planned_work {22'000'000};
    /// A group that was just founded has its wanted number of voters by then.
    constexpr Duration first_replacement {8'000'000};
    constexpr Duration last_replacement {38'000'000};
    /// How long it is looked whether requests are served again.
    constexpr Duration final_look {4'000'000};
    /// For each process that they reach.
    constexpr std::uint32_t hostile_clients_each = 10;
    constexpr int exit_breach = 1;
    constexpr int exit_usage = 2;
    /// Of the programs under test, of all runs at once.
    constexpr std::uint32_t processes_maximum = 60;
    /// A run tells at most so many breaches of one promise.
    constexpr int breaches_told = 5;

    /// Meanwhile workers that crashed come back.
    auto sleep_until(SoakedFleet& fleet, Instant instant) -> void
    {
        constexpr Duration look {100'000};
        for (auto now = runtime::BootTimeNow(); now < instant; now = runtime::BootTimeNow()) {
            fleet.revive_crashed();
            fleet.remove_departed();
            fleet.note_memory();
            std::this_thread::sleep_for(std::min(instant - now, look));
        }
    }

    auto play(SoakedFleet& fleet, std::vector<Fault> const& plan, Instant start) -> void
    {
        struct Step {
            Fault const* fault;
            bool begins;
        };
        std::multimap<Duration, Step> steps;
        for (auto const& fault : plan) {
            steps.emplace(fault.at, Step {&fault, true});
            steps.emplace(fault.at + fault.span, Step {&fault, false});
        }
        for (auto const& [at, step] : steps) {
            sleep_until(fleet, start + at);
            step.begins ? fleet.begin(*step.fault) : fleet.undo(*step.fault);
        }
    }

    auto seconds(Duration span) -> double
    {
        return std::chrono::duration<double>(span).count();
    }

    auto plan_text(std::vector<Fault> const& plan) -> std::string
    {
        std::string text;
        for (auto const& fault : plan)
            text += fmt::format("  {:6.2f} s to {:6.2f} s  {} {}\n", seconds(fault.at),
                seconds(fault.at + fault.span), name_of(fault.kind), fault.target);
        return text;
    }

    /// "2 kill_router, 1 lose_disk".
    auto kinds_text(std::vector<Fault> const& plan) -> std::string
    {
        std::map<std::string_view, int> kinds;
        for (auto const& fault : plan)
            ++kinds[name_of(fault.kind)];
        std::string text;
        for (auto const& [name, n] : kinds)
            text += fmt::format("{}{} {}", text.empty() ? "" : ", ", n, name);
        return text;
    }

    auto breaches_text(std::vector<Breach> const& breaches) -> std::string
    {
        std::map<std::string, int> told;
        std::string text;
        for (auto const& breach : breaches) {
            if (++told[breach.promise] <= breaches_told)
                text += fmt::format("  BROKEN {}: {}\n", breach.promise, breach.detail);
        }
        for (auto const& [promise, n] : told) {
            if (n > breaches_told)
                text += fmt::format("  BROKEN {}: {} more\n", promise, n - breaches_told);
        }
        return text;
    }

    /// "fences_rise 2, held_alone 1", or "none".
    auto promises_text(std::vector<Breach> const& breaches) -> std::string
    {
        std::map<std::string, int> broken;
        for (auto const& breach : breaches)
            ++broken[breach.promise];
        std::string text;
        for (auto const& [promise, n] : broken)
            text += fmt::format("{}{} {}", text.empty() ? "" : ", ", promise, n);
        return text.empty() ? "none" : text;
    }

    auto count_end(Observed& seen, Instant from) -> void
    {
        for (auto const& answer : seen.answers) {
            if (answer.sent < from)
                continue;
            ++seen.asked_at_the_end;
            if (answer.status == 200)
                ++seen.served_at_the_end;
        }
    }

    auto caller_options(RunShape const& shape, std::uint64_t seed) -> std::vector<CallerOptions>
    {
        std::vector<CallerOptions> all;
        auto const add = [&](std::uint32_t n, CallerStyle style, bool limited = false) {
            for (std::uint32_t i = 0; i < n; ++i)
                all.push_back({seed + all.size() + 1, "a" + std::to_string(all.size()), style, limited});
        };
        // A router runs 16 requests of a connection in parallel.
        constexpr std::size_t more_than_in_parallel = 24;
        add(shape.pooled_callers, CallerStyle::Pooled);
        add(shape.kept_callers, CallerStyle::Kept);
        add(shape.fresh_callers, CallerStyle::Fresh);
        add(shape.hesitant_callers, CallerStyle::Hesitant);
        add(shape.ahead_callers, CallerStyle::Ahead);
        add(shape.safe_ahead_callers, CallerStyle::SafeAhead);
        add(shape.limited_callers, CallerStyle::Pooled, true);
        add(shape.unsafe_callers, CallerStyle::Unsafe);
        auto const before = all.size();
        add(shape.long_ahead_callers, CallerStyle::SafeAhead);
        for (auto i = before; i < all.size(); ++i)
            all[i].ahead_longest = more_than_in_parallel;
        return all;
    }

    /// Of one router, in their order.
    auto stops_of(std::vector<Fault> const& plan, std::uint32_t router, Instant start, std::uint64_t seed)
        -> std::vector<PlannedStop>
    {
        std::vector<PlannedStop> stops;
        for (auto const& fault : plan) {
            if (fault.kind == FaultKind::StopRouter && fault.target == router)
                stops.push_back({router, start + fault.at, seed ^ fault.choice});
        }
        return stops;
    }

    auto fleet_options(RunShape const& shape, std::uint64_t seed, Arguments const& arguments) -> FleetOptions
    {
        FleetOptions options;
        options.programs = arguments.programs;
        options.templates = arguments.templates;
        options.folder = arguments.folder + "/seed-" + std::to_string(seed);
        options.controls = shape.controls;
        options.routers = shape.routers;
        options.seed = seed;
        options.keyed_workers = shape.keyed_workers;
        options.leased_workers = shape.leased_workers;
        options.pool_workers = shape.pool_workers;
        options.heartbeat = shape.heartbeat;
        options.losses_tolerated = shape.losses_tolerated;
        options.processor = shape.processor;
        options.router_processor = shape.router_processor;
        options.router_link_mbps = shape.router_link_mbps;
        options.stating = shape.stating;
        options.warming = shape.warming;
        options.coordinating = shape.coordinating;
        options.starving = shape.starving;
        options.faulty_answers = shape.faulty_answers;
        options.list_lag = shape.list_lag;
        return options;
    }

    /// The first accepted change proves that the group founded itself; routers find it within `settling`.
    auto settled_at(Observed const& seen) -> Instant
    {
        constexpr Duration settling {3'000'000};
        auto const it = std::find_if(
            seen.changes.begin(), seen.changes.end(), [](auto const& change) { return change.accepted; });
        return it == seen.changes.end() ? Instant::max() : it->ended + settling;
    }

    /// Plays the plan under load until the fleet had its time to recover.
    auto observe(SoakedFleet& fleet, RunShape const& shape, std::vector<Fault> const& plan,
        PlanBounds const& bounds, std::uint64_t seed, ProgramNames const& names) -> Observed
    {
        Endpoints endpoints {{}, fleet.registries(), names.exchange, shape.coordinating};
        for (std::uint32_t i = 0; i < shape.routers; ++i)
            endpoints.routers.push_back(fleet.caller_address(i));
        auto hostile_targets = endpoints.routers;
        auto const first_registries = endpoints.registries->Addresses();
        hostile_targets.insert(hostile_targets.end(), first_registries.begin(), first_registries.end());
        Observed seen;
        SeenByOperator by_operator;
        AcceptedVersions accepted;
        std::vector<SeenAnswer> crashing;
        ProbeRounds rounds;
        auto const callers = caller_options(shape, seed);
        std::vector<std::vector<SeenAnswer>> answers(callers.size());
        std::vector<std::vector<SeenAnswer>> resting(std::size_t {shape.routers} * shape.resting_callers);
        auto const start = runtime::BootTimeNow();
        auto const settled = start + bounds.last + recovery;
        {
            std::vector<std::jthread> threads;
            threads.emplace_back([&](std::stop_token const& stop) {
                by_operator = run_operator(endpoints, seed, shape.operator_pause, accepted, stop);
            });
            threads.emplace_back(
                [&](std::stop_token const& stop) { seen.probes = run_prober(endpoints, accepted, stop); });
            threads.emplace_back(
                [&](std::stop_token const& stop) { rounds = run_probe_rounds(endpoints, accepted, stop); });
            for (std::size_t i = 0; i < callers.size(); ++i) {
                threads.emplace_back([&, i](std::stop_token const& stop) {
                    answers[i] = run_caller(endpoints, callers[i], stop);
                });
            }
            for (std::size_t i = 0; i < resting.size(); ++i) {
                threads.emplace_back([&, i](std::stop_token const& stop) {
                    auto const router = static_cast<std::uint32_t>(i / shape.resting_callers);
                    CallerOptions const options {seed + i, "r" + std::to_string(i), CallerStyle::Kept, false};
                    resting[i]
                        = run_resting_caller(endpoints, options, stops_of(plan, router, start, seed), stop);
                });
            }
            if (shape.crashing) {
                threads.emplace_back(
                    [&](std::stop_token const& stop) { crashing = run_crasher(endpoints, seed, stop); });
            }
            for (std::uint32_t i = 0; i < shape.hostile_clients; ++i) {
                threads.emplace_back([&hostile_targets, seed, i](std::stop_token const& stop) {
                    run_hostile_client(hostile_targets, seed + i, stop);
                });
            }
            play(fleet, plan, start);
            sleep_until(fleet, settled + final_look);
            seen.ended = runtime::BootTimeNow();
        }
        answers.push_back(std::move(crashing));
        std::move(resting.begin(), resting.end(), std::back_inserter(answers));
        for (auto& it : answers)
            std::move(it.begin(), it.end(), std::back_inserter(seen.answers));
        seen.changes = std::move(by_operator.changes);
        seen.reads = std::move(by_operator.reads);
        seen.read_tries = std::move(by_operator.read_tries);
        add_rounds(rounds, seen);
        for (auto const& probe : seen.probes)
            seen.answers.push_back(probe.answer);
        seen.settled = settled_at(seen);
        fleet.collect(seen);
        count_end(seen, settled);
        return seen;
    }

    /// Runs that began before another run of the same caller ended.
    auto runs_in_parallel(Observed const& seen) -> std::size_t
    {
        std::map<std::string, std::vector<WorkerRun const*>> by_caller;
        for (auto const& run : seen.runs)
            by_caller[run.attempt.substr(0, run.attempt.rfind('-'))].push_back(&run);
        std::size_t n = 0;
        for (auto& [caller, runs] : by_caller) {
            std::sort(runs.begin(), runs.end(), [](auto* a, auto* b) { return a->begun < b->begun; });
            Instant ended {};
            for (auto const* run : runs) {
                n += run->begun < ended ? 1 : 0;
                ended = std::max(ended, run->ended);
            }
        }
        return n;
    }

    /// What a run's line tells, whatever came of it.
    auto summary_text(Observed const& seen, RunShape const& shape, std::vector<Fault> const& plan)
        -> std::string
    {
        auto const count = [&](auto const& which) {
            return std::count_if(seen.answers.begin(), seen.answers.end(), which);
        };
        auto const looked = looked_at(seen);
        return fmt::format(
            "{} routers, {} orders + {} leases + {} pool workers; {} faults ({}); "
            "{} attempts, {} served, {} kept-connection requests, {} of them lost; {} runs ({} in parallel), "
            "{} grants held, {} changes sent, {} reads, {} probes ({} of changing routes in calm, "
            "{} that tell an older version; {} rounds of all routers, {} of them in calm that tell one), "
            "{} workers crashed; at the end {} of {} served",
            shape.routers, shape.keyed_workers, shape.leased_workers, shape.pool_workers, plan.size(),
            kinds_text(plan), seen.answers.size(), count([](auto const& it) { return it.status == 200; }),
            count([](auto const& it) { return it.kept; }), lost_on_kept_connections(seen).size(),
            seen.runs.size(), runs_in_parallel(seen), seen.holds.size(), seen.changes.size(),
            seen.reads.size(), seen.probes.size(), looked.in_calm, looked.telling, seen.probe_rounds,
            looked.telling_rounds, seen.crashes.size(), seen.served_at_the_end, seen.asked_at_the_end);
    }

    /// "; slots: 812 granted, 3 rejected, 5 timeouts", by what routers logged.
    auto slots_text(std::string const& folder) -> std::string
    {
        std::map<std::string_view, std::size_t> events {
            {"slot_granted", 0}, {"slot_rejected", 0}, {"slot_timeout", 0}};
        for (auto const& entry : std::filesystem::directory_iterator(folder)) {
            if (entry.path().extension() != ".log")
                continue;
            std::ifstream log(entry.path());
            for (std::string line; std::getline(log, line);) {
                for (auto& [event, n] : events)
                    n += line.find(fmt::format("\"event\":\"{}\"", event)) != std::string::npos ? 1 : 0;
            }
        }
        return fmt::format("; slots: {} granted, {} rejected, {} timeouts", events["slot_granted"],
            events["slot_rejected"], events["slot_timeout"]);
    }

    /// "; most memory: router 31 MB, control 44 MB".
    auto memory_text(Observed const& seen) -> std::string
    {
        std::map<std::string, std::uint64_t> most;
        for (auto const& memory : seen.memory)
            most[memory.program] = std::max(most[memory.program], memory.peak_bytes);
        return fmt::format("; most memory: router {} MB, control {} MB", most["router"] / bytes_per_megabyte,
            most["control"] / bytes_per_megabyte);
    }

    /// What came of requests that were sent to stopping routers around their close or later.
    auto closes_text(Observed const& seen) -> std::string
    {
        // Resting callers send from 2.3 s after a stop on; a router ends 6 s after it.
        constexpr Duration from {2'300'000};
        constexpr Duration until {6'000'000};
        std::size_t sent = 0;
        std::size_t answered = 0;
        std::size_t ended = 0;
        std::size_t reset = 0;
        for (auto const& answer : seen.answers) {
            auto const near_close = std::any_of(seen.stops.begin(), seen.stops.end(), [&](auto const& stop) {
                return stop.router == answer.router && stop.at + from <= answer.sent
                    && answer.sent <= stop.at + until;
            });
            if (!near_close)
                continue;
            ++sent;
            answered += answer.status != 0 ? 1 : 0;
            reset += answer.reset ? 1 : 0;
            ended += answer.closed && !answer.reset ? 1 : 0;
        }
        return fmt::format("; sent to stopping routers around their close {}: {} answered, {} ended in order "
                           "without an answer, {} reset",
            sent, answered, ended, reset);
    }

    /// "; most retries: 0.63 of the bound".
    auto retries_text(Observed const& seen) -> std::string
    {
        double most = 0;
        for (auto const& use : most_retries(seen))
            most = std::max(most, use.part());
        return fmt::format("; most retries: {:.2f} of the bound", most);
    }

    /// What was told of requests that may run once, and which faults answers got.
    auto answers_text(Observed const& seen, AnswerFaultCounts const& faults) -> std::string
    {
        std::map<int, int> statuses;
        for (auto const& answer : seen.answers) {
            if (!answer.may_repeat)
                ++statuses[answer.status];
        }
        std::string text = "; unsafe by status:";
        for (auto const& [status, n] : statuses)
            text += fmt::format(" {} {},", status, n);
        text += " faulty answers:";
        for (std::size_t i = 1; i < kAnswerFaults; ++i) {
            auto const fault = static_cast<AnswerFault>(i);
            text += fmt::format(" {} {},", NameOf(fault), faults.of(fault));
        }
        text.pop_back();
        return text;
    }

    /// "; 7 control processes replaced for good, 0 of the first ones left".
    auto replaced_text(Replacements const& replaced) -> std::string
    {
        return fmt::format("; {} control processes replaced for good, {} of the first ones left",
            replaced.of_controls, replaced.first_controls_left);
    }

    auto links_text(RunShape const& shape, SoakedFleet const& fleet) -> std::string
    {
        if (shape.router_link_mbps == 0)
            return "";
        return "; longest wait at a link " + InMs(fleet.longest_link_wait());
    }

    auto shape_of(std::uint64_t seed, Arguments const& arguments) -> RunShape
    {
        auto shape = draw_shape(seed, arguments.size);
        if (arguments.stopping)
            shape = for_stopping(shape);
        if (arguments.rejecting)
            shape = for_rejecting(shape);
        if (arguments.faulty_answers)
            shape = for_faulty_answers(shape);
        if (arguments.replacing)
            shape = for_replacing(shape, seed);
        shape.hostile_clients = arguments.hostile_clients ? hostile_clients_each * processes_of(shape) : 0;
        shape.crashing = shape.crashing || arguments.crashing;
        shape.silencing = arguments.silencing;
        shape.starving = arguments.starving;
        shape.stating = arguments.stating;
        shape.warming = arguments.warming;
        shape.coordinating = arguments.coordinating;
        shape.long_ahead_callers = shape.coordinating ? 2 : 0;
        shape.processor = arguments.processor.value_or(shape.processor);
        shape.router_processor = arguments.processor.value_or(shape.router_processor);
        return shape;
    }

    /// @return the promises of which one was broken at least.
    auto soak(std::uint64_t seed, Arguments const& arguments, ProgramNames const& names)
        -> std::set<std::string>
    {
        auto const shape = shape_of(seed, arguments);
        PlanBounds bounds;
        bounds.controls = shape.controls;
        bounds.routers = shape.routers;
        bounds.workers = workers_of(shape);
        bounds.crowded = shape.crowded;
        bounds.silencing = shape.silencing;
        bounds.starving = shape.starving;
        bounds.stating = shape.stating;
        bounds.rejecting = shape.rejecting;
        bounds.replacing = shape.replacing;
        bounds.losses_tolerated = shape.losses_tolerated;
        bounds.only = arguments.only;
        if (shape.stopping) {
            bounds.only = bounds.only.empty() ? planned_router_work() : bounds.only;
            bounds.last = last_planned_work;
        }
        if (shape.rejecting && bounds.only.empty())
            bounds.only = beside_rejections();
        if (shape.replacing) {
            bounds.only = bounds.only.empty() ? beside_replacements() : bounds.only;
            bounds.first = first_replacement;
            bounds.last = last_replacement;
        }
        bounds.faults = arguments.faults.value_or(shape.faults);
        auto const plan = plan_faults(seed, bounds);
        auto const options = fleet_options(shape, seed, arguments);
        std::filesystem::remove_all(options.folder);
        std::string text;
        std::vector<Breach> breaches;
        {
            SoakedFleet fleet(options, names);
            auto const seen = observe(fleet, shape, plan, bounds, seed, names);
            breaches = check_promises(seen);
            auto const replaced = fleet.replacements();
            fleet.end_links();
            text = fmt::format(
                "seed {}: {}{}; replaced at the same address {}, elsewhere {}; promises broken: {}\n", seed,
                summary_text(seen, shape, plan),
                (shape.coordinating ? slots_text(options.folder) : "")
                    + (shape.stopping ? closes_text(seen) : "")
                    + (shape.faulty_answers ? answers_text(seen, fleet.answer_faults()) : "")
                    + (shape.replacing ? replaced_text(replaced) : "") + retries_text(seen)
                    + memory_text(seen) + links_text(shape, fleet),
                replaced.at_same_address, replaced.elsewhere, promises_text(breaches));
        }
        if (!breaches.empty()) {
            text += breaches_text(breaches) + plan_text(plan);
            text += fmt::format("  logs and data: {}\n", options.folder);
            static_cast<void>(Attempt([&] { return WriteTextFile(options.folder + "/soak.txt", text); }));
        } else if (!arguments.keep) {
            std::filesystem::remove_all(options.folder);
        }
        // One call: runs side by side do not write into each other's lines.
        std::fputs(text.c_str(), stdout);
        std::fflush(stdout);
        std::set<std::string> broken;
        for (auto const& breach : breaches)
            broken.insert(breach.promise);
        return broken;
    }

    /// Seeds that are to be played, and what came of those that were. Thread safe.
    class Seeds {
    public:
        explicit Seeds(Arguments const& arguments)
            : m_arguments(arguments)
        {
        }

        /// Takes the next seed, and waits until there is room for its processes.
        auto take() -> std::optional<std::uint64_t>
        {
            std::unique_lock lock(m_mutex);
            if (m_taken == m_arguments.seeds)
                return std::nullopt;
            auto const seed = m_arguments.first_seed + m_taken++;
            auto const needed = processes(seed);
            m_room.wait(lock, [&] { return m_running == 0 || m_running + needed <= processes_maximum; });
            m_running += needed;
            return seed;
        }

        auto put_back(std::uint64_t seed, std::set<std::string> const& broken) -> void
        {
            std::lock_guard const lock(m_mutex);
            m_running -= processes(seed);
            if (!broken.empty())
                m_failed.insert(seed);
            for (auto const& promise : broken)
                ++m_broken[promise];
            m_room.notify_all();
        }

        auto failed() const -> std::set<std::uint64_t> const& { return m_failed; }
        auto broken() const -> std::map<std::string, int> const& { return m_broken; }

    private:
        auto processes(std::uint64_t seed) const -> std::uint32_t
        {
            return processes_of(shape_of(seed, m_arguments));
        }

        Arguments const& m_arguments;
        std::mutex m_mutex;
        std::condition_variable m_room;
        std::uint64_t m_taken = 0;
        std::uint32_t m_running = 0; ///< Processes.
        std::set<std::uint64_t> m_failed;
        std::map<std::string, int> m_broken; ///< Seeds by promise.
    };

    auto print_count(Seeds const& seeds, std::uint64_t played) -> void
    {
        std::printf("%llu seeds: %llu kept every promise, %zu broke one\n",
            static_cast<unsigned long long>(played),
            static_cast<unsigned long long>(played - seeds.failed().size()), seeds.failed().size());
        for (auto const& [promise, n] : seeds.broken())
            std::printf("  %s: broken by %d\n", promise.c_str(), n);
        for (auto const seed : seeds.failed())
            std::printf("  failed seed %llu\n", static_cast<unsigned long long>(seed));
    }

} // namespace

auto run_soak(ProgramNames const& names, int argc, char** argv) -> int
{
    if (argc > 2 && std::string_view(argv[1]) == run_closed_word)
        return run_closed(argv + 2);
    auto const arguments = read_arguments(argc, argv);
    if (!arguments)
        return exit_usage;
    Seeds seeds(*arguments);
    {
        std::vector<std::jthread> threads;
        for (std::uint64_t i = 0; i < std::min(arguments->parallel, arguments->seeds); ++i) {
            threads.emplace_back([&] {
                while (auto const seed = seeds.take())
                    seeds.put_back(*seed, soak(*seed, *arguments, names));
            });
        }
    }
    print_count(seeds, arguments->seeds);
    return seeds.failed().empty() ? 0 : exit_breach;
}

} // namespace graniteseam::testbed::soak
