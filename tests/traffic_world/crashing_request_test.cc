/// @file
/// Seen: a lookup ended nine servers of a keyed service one after the other. Its caller came again at any
/// gateway, under a new id each time; while the servers were away, the other requests for their keys failed.
///
/// How it came about: each gateway took it for a new request and sent it to the key's next owner. What one
/// gateway had seen of it no other one knew, and nothing counted the servers that had ended under it.
///
/// Cause: limits of attempts and the retry budget end with one request at one gateway; what a request did to
/// servers was remembered nowhere. Proof: of the targets lost at the servers that ended, one was lost at all
/// of them, each other one at a single server.

#include <criterion/criterion.h>

#include <algorithm>
#include <string>

#include "simulation/traffic_world/traffic_run.h"

using namespace graniteseam;
using namespace graniteseam::simulation;

namespace {

/// Breaches of the promises about such requests, under the seeds from 1 to `seeds`.
auto breaches(TrafficWorldOptions const& world, std::uint64_t seeds) -> std::string
{
    std::string found;
    for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
        TrafficRunOptions options;
        options.run.seed = seed;
        options.world = world;
        for (auto const& violation : run_traffic(options).violations)
            found += "seed " + std::to_string(seed) + ": " + violation + "\n";
    }
    return found;
}

} // namespace

Test(crashing_request, reaches_few_servers_after_it_has_ended_three)
{
    TrafficWorldOptions world;
    world.crashing_requests = true;
    world.nothing_else = true;
    auto const found = breaches(world, 12);
    cr_assert(found.empty(), "%s", found.c_str());
}

Test(crashing_request, reaches_few_servers_whatever_else_fails, .timeout = 300)
{
    TrafficWorldOptions world;
    world.crashing_requests = true;
    auto const found = breaches(world, 20);
    cr_assert(found.empty(), "%s", found.c_str());
}
