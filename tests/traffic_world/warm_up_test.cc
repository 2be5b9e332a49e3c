/// @file
/// What workers get while they warm up holds over all gateways together, in touch or not.

#include <criterion/criterion.h>

#include <algorithm>
#include <string>
#include <vector>

#include "simulation/traffic_world/traffic_run.h"

using namespace graniteseam;
using namespace graniteseam::simulation;

namespace {

/// Breaches of the bound under the seeds from `first` to `last`.
auto breaches(TrafficWorldOptions const& world, std::uint64_t first, std::uint64_t last) -> std::string
{
    std::string found;
    for (std::uint64_t seed = first; seed <= last; ++seed) {
        TrafficRunOptions options;
        options.run.seed = seed;
        options.world = world;
        for (auto const& violation : run_traffic(options).violations) {
            if (violation.find(" us: warm_up: ") != std::string::npos)
                found += "seed " + std::to_string(seed) + ": " + violation + "\n";
        }
    }
    return found;
}

auto only(std::vector<std::string> const& faults, std::uint32_t gateways, double load) -> TrafficWorldOptions
{
    TrafficWorldOptions world;
    world.warm_ups = true;
    world.nothing_else = true;
    world.only_faults = faults;
    world.gateways = gateways;
    world.load = load;
    return world;
}

} // namespace

/// Guards against a server that is flooded while it warms up, by gateways that each send at once when
/// their places change.
Test(warm_up, bound_holds_while_gateways_return_to_a_new_leader, .timeout = 300)
{
    auto const found = breaches(only({"gateways returned to a new leader"}, 76, 8), 5, 8);
    cr_assert(found.empty(), "%s", found.c_str());
}

/// Guards against an owner that is flooded while it warms up, since a drain of its zone ended before
/// its keys had moved.
Test(warm_up, bound_holds_for_owners_that_kept_their_keys, .timeout = 300)
{
    auto const found = breaches(only({"zone drained and taken back"}, 76, 4), 3, 6);
    cr_assert(found.empty(), "%s", found.c_str());
}

/// Guards against a server that is flooded while it warms up, since a heartbeat from before counts as
/// its end.
Test(warm_up, bound_holds_while_heartbeats_arrive_late, .timeout = 300)
{
    auto const found = breaches(only({"zone drained and taken back", "heartbeats disturbed"}, 76, 1), 5, 10);
    cr_assert(found.empty(), "%s", found.c_str());
}

/// Guards against a server that is flooded while it warms up, by gateways that are cut from control and
/// do not hear that its zone was drained and taken back.
Test(warm_up, bound_holds_for_gateways_cut_from_control, .timeout = 300)
{
    auto const found
        = breaches(only({"zone drained and taken back", "gateways cut from control"}, 76, 2), 7, 10);
    cr_assert(found.empty(), "%s", found.c_str());
}
