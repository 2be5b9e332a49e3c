/// @file
/// Gateways keep all promises, and requests go on, while one failure at a time hits gateways that coordinate
/// admission.

#include <criterion/criterion.h>

#include <string>

#include "simulation/traffic_world/traffic_run.h"

using namespace graniteseam;
using namespace graniteseam::simulation;

namespace {

/// Runs a few seeds with one kind of fault only, at three times the usual calls, which overload owners of
/// busy keys.
auto expect_promises_kept(std::string const& fault, std::string const& sign) -> void
{
    std::uint64_t signs = 0;
    for (std::uint64_t seed = 1; seed <= 4; ++seed) {
        TrafficRunOptions options;
        options.run.seed = seed;
        options.world.coordination = true;
        options.world.nothing_else = true;
        options.world.only_faults = {fault};
        options.world.gateways = 6;
        options.world.load = 3;
        auto const result = run_traffic(options);
        std::string found;
        for (auto const& violation : result.violations)
            found += "seed " + std::to_string(seed) + ": " + violation + "\n";
        cr_assert(found.empty(), "%s", found.c_str());
        if (auto const counted = result.counts.find(sign); counted != result.counts.end())
            signs += counted->second;
    }
    cr_assert(signs > 0, "no run shows the failure");
}

} // namespace

/// Guards against requests that wait for a coordinator that was killed, and answers to a former process.
Test(coordination, coordinators_killed_and_soon_started_again, .timeout = 120)
{
    expect_promises_kept("coordinator killed", "slot request unanswered");
}

/// Guards against servers without a coordinator after theirs has left the list.
Test(coordination, coordinators_replaced_after_they_have_left_the_list, .timeout = 120)
{
    expect_promises_kept("coordinator replaced", "slot request unanswered");
}

/// Guards against a request that runs twice, since a coordinator that was frozen answers late.
Test(coordination, coordinators_frozen_and_resumed, .timeout = 120)
{
    expect_promises_kept("coordinator frozen", "slot connection reset");
}

/// Guards against slots that stay taken when requests for slots arrive and answers do not.
Test(coordination, gateways_cut_from_one_another_in_one_direction, .timeout = 120)
{
    expect_promises_kept("gateway cut from another in one direction", "slot message cut");
}
