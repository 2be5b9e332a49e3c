/// @file
/// What workers state of the requests that they take holds over all gateways together.

#include <criterion/criterion.h>

#include <algorithm>
#include <string>
#include <vector>

#include "simulation/traffic_world/traffic_run.h"

using namespace graniteseam;
using namespace graniteseam::simulation;

namespace {

/// Breaches of these promises under the seeds from 1 to `last`.
auto breaches(TrafficWorldOptions const& world, std::uint64_t last, std::vector<std::string> const& promises)
    -> std::string
{
    std::string found;
    for (std::uint64_t seed = 1; seed <= last; ++seed) {
        TrafficRunOptions options;
        options.run.seed = seed;
        options.world = world;
        for (auto const& violation : run_traffic(options).violations) {
            auto const is_of = [&](std::string const& promise) {
                return violation.find(" us: " + promise + ": ") != std::string::npos;
            };
            if (std::any_of(promises.begin(), promises.end(), is_of))
                found += "seed " + std::to_string(seed) + ": " + violation + "\n";
        }
    }
    return found;
}

auto only_stated_limits(std::uint32_t gateways, double load) -> TrafficWorldOptions
{
    TrafficWorldOptions world;
    world.stated_limits = true;
    world.nothing_else = true;
    world.gateways = gateways;
    world.load = load;
    return world;
}

} // namespace

/// Guards against servers that name a limit and are sent as much as before by gateways that were told.
Test(stated_limits, server_gets_no_more_than_its_limit_from_all_gateways, .timeout = 300)
{
    auto const found = breaches(only_stated_limits(11, 2), 6, {"limit"});
    cr_assert(found.empty(), "%s", found.c_str());
}

/// Guards against bounds that hold for a few gateways only, where each lets in a request by itself.
Test(stated_limits, server_gets_no_more_than_its_limit_from_90_gateways, .timeout = 300)
{
    auto const found = breaches(only_stated_limits(90, 3), 2, {"limit"});
    cr_assert(found.empty(), "%s", found.c_str());
}

/// Guards against sums that hold only while gateways, control and servers are well.
Test(stated_limits, server_gets_no_more_than_its_limit_whatever_else_fails, .timeout = 300)
{
    TrafficWorldOptions world;
    world.stated_limits = true;
    auto const found = breaches(world, 20, {"limit"});
    cr_assert(found.empty(), "%s", found.c_str());
}

/// Guards against gateways that go on sending to a server which asked them for rest.
Test(stated_limits, server_rests_for_as_long_as_it_asked, .timeout = 300)
{
    auto const found = breaches(only_stated_limits(11, 2), 6, {"rest"});
    cr_assert(found.empty(), "%s", found.c_str());
}

/// Guards against a gateway that knows from a server's answers that it leaves, and waits for control's
/// word; and against rests that are kept only while all else is well.
Test(stated_limits, server_rests_and_leaves_whatever_else_fails, .timeout = 300)
{
    TrafficWorldOptions world;
    world.stated_limits = true;
    auto const found = breaches(world, 20, {"rest", "leaving"});
    cr_assert(found.empty(), "%s", found.c_str());
}
