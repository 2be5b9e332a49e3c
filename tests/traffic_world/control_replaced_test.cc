/// @file
/// A control group that repairs its membership itself, while its control processes are replaced at other
/// addresses until no founder is left.

#include <criterion/criterion.h>

#include <string>

#include "simulation/simulator/run.h"

using namespace graniteseam;
using namespace graniteseam::simulation;

namespace {

constexpr std::uint64_t kSeeds = 8;

} // namespace

/// Guards against repairs that come to rest with voters that are gone, and groups that a later loss ends.
Test(control_replaced, group_has_a_leader_and_all_its_voters_when_no_founder_is_left, .timeout = 240)
{
    auto const* const scenario = FindScenario("control-replaced");
    cr_assert(scenario != nullptr);
    std::string found;
    for (std::uint64_t seed = 1; seed <= kSeeds; ++seed) {
        RunOptions options;
        options.seed = seed;
        for (auto const& violation : RunScenario(*scenario, options).violations)
            found += "seed " + std::to_string(seed) + ": " + violation + "\n";
    }
    cr_assert(found.empty(), "%s", found.c_str());
}
