/// @file
/// The traffic world: a seed is one run, and each promise is shown to catch its defect.

#include <criterion/criterion.h>

#include <algorithm>
#include <map>
#include <string>
#include <string_view>

#include "simulation/traffic_world/traffic_run.h"

using namespace graniteseam;
using namespace graniteseam::simulation;

namespace {

constexpr std::uint64_t kSeeds = 20;

/// The world in which the code as it is keeps its promises under the seeds below kSeeds.
auto options_of(std::uint64_t seed, TrafficDefect defect) -> TrafficRunOptions
{
    TrafficRunOptions options;
    options.run.seed = seed;
    options.world.defect = defect;
    return options;
}

/// The same, with workers that reject requests and answer twice.
auto with_surplus_answers(std::uint64_t seed, TrafficDefect defect) -> TrafficRunOptions
{
    auto options = options_of(seed, defect);
    options.world.surplus_answers = true;
    return options;
}

/// Whether a run breaks the promise of this name.
auto breaks(RunResult const& result, std::string_view promise) -> bool
{
    auto const said = " us: " + std::string(promise) + ": ";
    return std::any_of(result.violations.begin(), result.violations.end(),
        [&](auto const& violation) { return violation.find(said) != std::string::npos; });
}

auto is_caught(TrafficDefect defect, TrafficRunOptions (*options)(std::uint64_t, TrafficDefect) = options_of)
    -> bool
{
    auto const all = seeded_traffic_defects();
    auto const seeded
        = std::find_if(all.begin(), all.end(), [&](auto const& one) { return one.defect == defect; });
    for (std::uint64_t seed = 1; seed <= kSeeds; ++seed) {
        if (breaks(run_traffic(options(seed, defect)), seeded->promise))
            return true;
    }
    return false;
}

} // namespace

Test(traffic_world, a_seed_is_one_run)
{
    auto const one = run_traffic(options_of(3, TrafficDefect::kNone));
    auto const two = run_traffic(options_of(3, TrafficDefect::kNone));
    cr_assert_eq(one.trace_hash, two.trace_hash);
    cr_assert_eq(one.events, two.events);
    cr_assert(one.counts == two.counts);
    cr_assert_neq(one.trace_hash, run_traffic(options_of(4, TrafficDefect::kNone)).trace_hash);
}

Test(traffic_world, each_fault_is_injected)
{
    std::map<std::string, std::uint64_t> counts;
    for (std::uint64_t seed = 1; seed <= kSeeds; ++seed) {
        for (auto const& [name, count] : run_traffic(options_of(seed, TrafficDefect::kNone)).counts)
            counts[name] += count;
    }
    for (auto const* name :
        {"heartbeat late", "heartbeat repeated", "heartbeat lost", "heartbeat's answer lost",
            "heartbeat left behind", "former process heard", "order lost", "order carried out late",
            "order's answer lost", "order for another instance refused", "answer lost", "surplus answer read",
            "lease form turned", "leader changed", "keys ran out", "change refused", "request refused"})
        cr_expect(counts[name] > 0, "no run had: %s", name);
}

Test(traffic_world, one_owner_catches_a_lease_that_never_ends)
{
    cr_assert(is_caught(TrafficDefect::kLeaseNeverEnds));
}

Test(traffic_world, fences_catch_an_order_taken_by_any_instance)
{
    cr_assert(is_caught(TrafficDefect::kOrderTakenByAnyInstance));
}

Test(traffic_world, at_most_once_catches_a_request_that_is_sent_twice)
{
    cr_assert(is_caught(TrafficDefect::kRequestSentTwice));
}

Test(traffic_world, refusal_true_catches_a_lost_attempt_that_counts_as_refused)
{
    cr_assert(is_caught(TrafficDefect::kLostCountsAsRefused));
}

Test(traffic_world, own_answer_catches_a_surplus_answer)
{
    cr_assert(is_caught(TrafficDefect::kSurplusAnswerTaken));
}

/// Guards against requests that are refused as not run and run: a second copy of a rejection is taken for the
/// answer to the next attempt of the same request.
Test(traffic_world, refusal_true_catches_attempts_that_share_a_connection)
{
    cr_assert(is_caught(TrafficDefect::kAttemptsShareConnection, with_surplus_answers));
}

/// Guards against keys that get another owner while the former one works on them: a second answer to an
/// earlier order is taken for the answer to their release.
Test(traffic_world, one_owner_catches_order_answers_that_are_believed)
{
    cr_assert(is_caught(TrafficDefect::kOrderAnswersBelieved, with_surplus_answers));
}

Test(traffic_world, promises_are_kept_beside_surplus_answers)
{
    std::map<std::string, std::uint64_t> counts;
    for (std::uint64_t seed = 1; seed <= kSeeds; ++seed) {
        auto const result = run_traffic(with_surplus_answers(seed, TrafficDefect::kNone));
        cr_expect(result.violations.empty(), "seed %lu: %s", seed,
            result.violations.empty() ? "" : result.violations.front().c_str());
        for (auto const& [name, count] : result.counts)
            counts[name] += count;
    }
    for (auto const* name : {"surplus answer read", "surplus answer to an order read", "request shed"})
        cr_expect(counts[name] > 0, "no run had: %s", name);
}

Test(traffic_world, drained_catches_a_drain_that_is_forgotten)
{
    cr_assert(is_caught(TrafficDefect::kDrainForgotten));
}

Test(traffic_world, accepted_stays_catches_an_acknowledgement_before_the_commit)
{
    cr_assert(is_caught(TrafficDefect::kAcknowledgedBeforeCommit));
}

Test(traffic_world, recovers_catches_gateways_that_stay_cut_off)
{
    cr_assert(is_caught(TrafficDefect::kCutNeverHealed));
}
