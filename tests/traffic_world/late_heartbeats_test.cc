/// @file
/// Heartbeats that arrive after any delay: over the end of their sender, the start of the next process
/// at its address, and changes of leader.

#include <criterion/criterion.h>

#include <map>
#include <string>

#include "simulation/traffic_world/traffic_run.h"

using namespace graniteseam;
using namespace graniteseam::simulation;

namespace {

auto options_of(std::uint64_t seed, bool nothing_else) -> TrafficRunOptions
{
    TrafficRunOptions options;
    options.run.seed = seed;
    options.world.late_heartbeats = true;
    options.world.nothing_else = nothing_else;
    return options;
}

/// All violations under the seeds from 1 to `last`.
auto violations(std::uint64_t last, bool nothing_else) -> std::string
{
    std::string found;
    for (std::uint64_t seed = 1; seed <= last; ++seed) {
        for (auto const& violation : run_traffic(options_of(seed, nothing_else)).violations)
            found += "seed " + std::to_string(seed) + ": " + violation + "\n";
    }
    return found;
}

} // namespace

/// Guards against OWNER: a heartbeat of a process that has crashed ends the ownership of the living one at
/// its address.
Test(late_heartbeats, end_no_living_owner, .timeout = 300)
{
    auto const found = violations(20, true);
    cr_assert(found.empty(), "%s", found.c_str());
}

/// Guards against two owners where orders, answers and links fail as well.
Test(late_heartbeats, end_no_living_owner_whatever_else_fails, .timeout = 300)
{
    auto const found = violations(20, false);
    cr_assert(found.empty(), "%s", found.c_str());
}

Test(late_heartbeats, arrive_after_the_end_of_their_sender, .timeout = 300)
{
    std::map<std::string, std::uint64_t> counts;
    for (std::uint64_t seed = 1; seed <= 5; ++seed) {
        for (auto const& [name, count] : run_traffic(options_of(seed, true)).counts)
            counts[name] += count;
    }
    for (auto const* name :
        {"heartbeat held up", "heartbeat left behind", "former process heard", "leader changed"})
        cr_expect(counts[name] > 0, "no run had: %s", name);
}
