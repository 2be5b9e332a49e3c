/// @file
/// A configuration of many routes is changed, read and copied to members that come back, under faults.

#include <criterion/criterion.h>

#include <string>

#include "simulation/traffic_world/traffic_run.h"

using namespace graniteseam;
using namespace graniteseam::simulation;

namespace {

constexpr std::uint64_t kSeeds = 3;
constexpr int kFurtherRoutes = 1'762;

} // namespace

Test(large_configuration, keeps_all_promises, .timeout = 120)
{
    for (std::uint64_t seed = 1; seed <= kSeeds; ++seed) {
        TrafficRunOptions options;
        options.run.seed = seed;
        options.world.further_routes = kFurtherRoutes;
        auto const result = run_traffic(options);
        std::string found;
        for (auto const& violation : result.violations)
            found += "seed " + std::to_string(seed) + ": " + violation + "\n";
        cr_assert(found.empty(), "%s", found.c_str());
    }
}
