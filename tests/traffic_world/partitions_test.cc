/// @file
/// Gateways that are partitioned from all workers keep all promises, and their callers are served by others.

#include <criterion/criterion.h>

#include <string>

#include "simulation/traffic_world/traffic_run.h"

using namespace graniteseam;
using namespace graniteseam::simulation;

namespace {

/// @param only the names of the faults that hit the fleet; empty for all that the seed draws.
auto expect_promises_kept(std::uint64_t first, std::uint64_t last, std::vector<std::string> const& only)
    -> void
{
    std::uint64_t forwarded = 0;
    for (auto seed = first; seed <= last; ++seed) {
        TrafficRunOptions options;
        options.run.seed = seed;
        options.world.partitions = true;
        options.world.nothing_else = !only.empty();
        options.world.only_faults = only;
        options.world.gateways = 11;
        options.world.load = 2;
        auto const result = run_traffic(options);
        std::string found;
        for (auto const& violation : result.violations)
            found += "seed " + std::to_string(seed) + ": " + violation + "\n";
        cr_assert(found.empty(), "%s", found.c_str());
        if (auto const counted = result.counts.find("request forwarded"); counted != result.counts.end())
            forwarded += counted->second;
    }
    cr_assert(forwarded > 0, "no run shows a partition");
}

} // namespace

/// Guards against gateways that hardly serve their callers while they are partitioned from all workers, and
/// most gateways are.
Test(partitions, callers_of_most_gateways_are_served_by_the_others, .timeout = 120)
{
    expect_promises_kept(1, 6, {"most gateways partitioned from all workers"});
}

/// Guards against a refusal that promises that a request has not run, though it ran before it was forwarded,
/// and against requests that run twice over a hop.
Test(partitions, promises_hold_over_a_hop_beside_all_other_faults, .timeout = 240)
{
    expect_promises_kept(30, 60, {});
}
