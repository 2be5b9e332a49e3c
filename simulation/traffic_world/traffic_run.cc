#include "simulation/traffic_world/traffic_run.h"

#include <algorithm>

#include "simulation/traffic_world/configuration_operators.h"
#include "simulation/traffic_world/traffic_callers.h"
#include "simulation/traffic_world/traffic_faults.h"
#include "simulation/traffic_world/traffic_fleet.h"

namespace graniteseam::simulation {
namespace {

    /// Time to found the group, to accept the first configuration and to give out the keys.
    constexpr Duration kCalmAtStart {5'000'000};
    /// Time without faults at the end, in which all must recover: the users allow 15 s.
    constexpr Duration kCalmAtEnd {18'000'000};
    /// The last part of it, in which each service must answer.
    constexpr Duration kProbe {3'000'000};
    constexpr std::uint64_t kAnsweredMinimum = 200;
    /// Of the calls in that part, so many must be served.
    constexpr double kServedPart = 0.25;

    auto check_recovered(
        World const& world, TrafficOracle& oracle, TrafficFleet& fleet, TrafficCallers& callers) -> void
    {
        auto const missing = [&](std::string const& what) { oracle.violate("recovers", what, world.now()); };
        if (fleet.leader() == nullptr)
            missing("there is no leader");
        for (auto const& gateway : fleet.gateways) {
            if (!gateway->ready())
                missing(ToString(gateway->name()) + " is not ready");
            else if (gateway->configuration() < oracle.newest_accepted())
                missing(ToString(gateway->name()) + " has an old configuration");
        }
        auto served = callers.take_served();
        for (auto const* service : {kOrderedService, kLeasedService, kPooledService}) {
            auto const& count = served[service];
            if (static_cast<double>(count.served)
                < kServedPart * static_cast<double>(std::max<std::uint64_t>(1, count.calls)))
                missing(std::string(service) + " serves " + std::to_string(count.served) + " of "
                    + std::to_string(count.calls) + " calls");
        }
    }

    auto check_work_done(World const& world, TrafficOracle& oracle, TrafficCallers const& callers,
        ConfigurationOperators const& operators, TrafficWorldOptions const& options) -> void
    {
        auto const missing
            = [&](std::string const& what) { oracle.violate("the run proves nothing", what, world.now()); };
        if (callers.answered() < kAnsweredMinimum)
            missing("only " + std::to_string(callers.answered()) + " requests were answered");
        auto const& counts = world.counts();
        if (std::none_of(counts.begin(), counts.end(),
                [](auto const& count) { return count.first.starts_with("fault: "); }))
            missing("no fault was injected");
        if (options.coordination && (!counts.contains("slot granted") || !counts.contains("slot queued")))
            missing("no slot was granted, or no request waited for one");
        if (operators.accepted() < 2)
            missing("no change of the configuration was accepted");
        if (oracle.unsafe_runs() == 0)
            missing("no unsafe request ran");
    }

    /// The users' rule: first tries at gateways that are partitioned from all workers are served two thirds
    /// as often as those at others, unless hardly any fail.
    auto check_partitions(World& world, TrafficOracle& oracle, TrafficCallers const& callers) -> void
    {
        auto const& tries = callers.first_tries();
        auto const part = [](TrafficCallers::Served const& it) {
            return it.calls == 0 ? 1.0 : static_cast<double>(it.served) / static_cast<double>(it.calls);
        };
        constexpr double kLeast = 2.0 / 3;
        constexpr std::uint64_t kFailedAllowed = 10;
        constexpr std::uint64_t kFailedAllowedOneIn = 50;
        auto const failed = tries.partitioned.calls - tries.partitioned.served;
        auto const all = tries.partitioned.calls + tries.others.calls;
        auto const many = failed > kFailedAllowed + all / kFailedAllowedOneIn;
        if (many && part(tries.partitioned) < kLeast * part(tries.others))
            oracle.violate("reached",
                "partitioned gateways served " + std::to_string(tries.partitioned.served) + " of "
                    + std::to_string(tries.partitioned.calls) + " first tries, the others "
                    + std::to_string(tries.others.served) + " of " + std::to_string(tries.others.calls),
                world.now());
    }

} // namespace

auto run_traffic(TrafficRunOptions const& options) -> RunResult
{
    World world(options.run.seed, options.run.trace);
    TrafficOracle oracle(options.world.retry_bound);
    TrafficFleet fleet(world, oracle, options.world);
    TrafficCallers callers(world, oracle, fleet);
    ConfigurationOperators operators(world, oracle, fleet);
    TrafficFaults faults(world, fleet, operators);
    fleet.start();
    operators.start();
    auto const end = options.run.length.count();
    auto const calm_from = end - kCalmAtEnd.count();
    auto read = false;
    auto const overlapping = world.random.Chance(0.5);
    world.queue.After(kCalmAtStart, [&] {
        fleet.begin_traffic();
        callers.start();
        if (options.world.crashing_requests)
            callers.start_crashing(calm_from);
        if (!options.world.nothing_else || options.world.stated_limits || options.world.warm_ups
            || options.world.coordination || options.world.partitions || options.world.retries
            || options.world.restarts_at_failures || options.world.surplus_answers
            || options.world.late_heartbeats)
            faults.inject_until(calm_from, overlapping);
    });
    world.queue.At(calm_from, [&] {
        operators.rest();
        faults.heal();
    });
    world.queue.At(end - kProbe.count(), [&] {
        callers.take_served();
        operators.read_once([&] { read = true; });
    });
    while (world.queue.Step(end)) { }
    check_recovered(world, oracle, fleet, callers);
    check_partitions(world, oracle, callers);
    if (!read)
        oracle.violate("recovers", "the configuration cannot be read", world.now());
    check_work_done(world, oracle, callers, operators, options.world);
    RunResult result;
    result.seed = options.run.seed;
    result.violations = oracle.violations();
    auto const& others = world.oracle.violations();
    result.violations.insert(result.violations.end(), others.begin(), others.end());
    result.counts = world.counts();
    result.answered = callers.answered();
    result.checks = oracle.checks();
    result.events = world.queue.added();
    result.trace_hash = world.trace_hash();
    result.retry_bound_used = oracle.retry_bound_used();
    return result;
}

} // namespace graniteseam::simulation
