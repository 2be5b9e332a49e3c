#include "testbed/soak/fault_plan.h"

#include <criterion/criterion.h>

#include <algorithm>
#include <set>

using namespace graniteseam;
using namespace graniteseam::testbed::soak;

Test(fault_plan, follows_from_its_seed_alone)
{
    PlanBounds const bounds;
    cr_assert(plan_faults(7, bounds) == plan_faults(7, bounds));
    cr_assert(!(plan_faults(7, bounds) == plan_faults(8, bounds)));
}

Test(fault_plan, every_plan_can_be_borne_and_all_kinds_come_up)
{
    PlanBounds const bounds;
    std::set<FaultKind> kinds;
    for (std::uint64_t seed = 0; seed < 500; ++seed) {
        auto const plan = plan_faults(seed, bounds);
        cr_assert(plan.size() >= 4, "seed %lu has %zu faults", seed, plan.size());
        cr_assert(is_borne(plan, bounds), "seed %lu", seed);
        for (auto const& fault : plan)
            kinds.insert(fault.kind);
    }
    cr_assert(kinds.size() == 19);
}

Test(fault_plan, strains_are_drawn_only_where_asked_for_and_hit_one_control_process_at_a_time)
{
    PlanBounds bounds;
    bounds.starving = true;
    std::set<FaultKind> strains;
    for (std::uint64_t seed = 0; seed < 200; ++seed) {
        auto const plan = plan_faults(seed, bounds);
        cr_assert(is_borne(plan, bounds), "seed %lu", seed);
        for (auto const& fault : plan) {
            if (strains_core(fault.kind))
                strains.insert(fault.kind);
        }
    }
    cr_assert(strains.size() == 2);
    Fault const starved {FaultKind::StarveControl, Duration {5'000'000}, Duration {4'000'000}, 0};
    Fault const narrowed {FaultKind::NarrowControl, Duration {8'000'000}, Duration {4'000'000}, 1};
    Fault const later {FaultKind::NarrowControl, Duration {9'000'000}, Duration {4'000'000}, 1};
    cr_assert(!is_borne(std::vector {starved, narrowed}, bounds));
    cr_assert(is_borne(std::vector {starved, later}, bounds));
}

Test(fault_plan, only_the_kinds_that_were_named_are_drawn)
{
    PlanBounds bounds;
    bounds.only = {FaultKind::KillRouter, FaultKind::CutControl};
    for (std::uint64_t seed = 0; seed < 50; ++seed) {
        for (auto const& fault : plan_faults(seed, bounds))
            cr_assert(bounds.only.contains(fault.kind));
    }
    cr_assert(kind_named("kill_router") == FaultKind::KillRouter);
    cr_assert(!kind_named("kill"));
}

Test(fault_plan, planned_work_alone_stops_several_routers_at_once)
{
    PlanBounds bounds;
    bounds.only = planned_router_work();
    bounds.routers = 6;
    bounds.last = Duration {22'000'000};
    bounds.faults = 16;
    for (std::uint64_t seed = 0; seed < 100; ++seed) {
        auto const plan = plan_faults(seed, bounds);
        std::size_t beside = 0;
        for (auto const& fault : plan) {
            cr_assert(fault.kind == FaultKind::StopRouter || fault.kind == FaultKind::ReloadRouter);
            beside += std::count_if(plan.begin(), plan.end(), [&](auto const& other) {
                return fault.kind == FaultKind::StopRouter && other.kind == FaultKind::StopRouter
                    && other.at < fault.at && fault.at < other.at + other.span;
            });
        }
        cr_assert(beside >= 2, "seed %lu: %zu", seed, beside);
    }
}

Test(fault_plan, second_lost_disk_and_a_killed_member_beside_a_lost_disk_are_not_borne)
{
    PlanBounds const bounds;
    Fault const lost {FaultKind::LoseDisk, Duration {5'000'000}, Duration {1'000'000}, 0};
    Fault const other_lost {FaultKind::LoseDisk, Duration {10'000'000}, Duration {1'000'000}, 1};
    Fault const killed {FaultKind::KillControl, Duration {9'000'000}, Duration {1'000'000}, 2};
    Fault const much_later {FaultKind::LoseDisk, Duration {15'000'000}, Duration {1'000'000}, 1};
    cr_assert(!is_borne(std::vector {lost, other_lost}, bounds));
    cr_assert(!is_borne(std::vector {lost, killed}, bounds));
    cr_assert(is_borne(std::vector {lost, much_later}, bounds));
}

Test(fault_plan, faults_after_the_last_instant_are_not_borne)
{
    PlanBounds const bounds;
    Fault const late {FaultKind::KillRouter, Duration {25'500'000}, Duration {1'000'000}, 0};
    cr_assert(!is_borne(std::vector {late}, bounds));
}

Test(fault_plan, faults_overlap_and_come_in_series)
{
    PlanBounds const bounds;
    for (std::uint64_t seed = 0; seed < 500; ++seed) {
        auto const plan = plan_faults(seed, bounds);
        std::size_t beside = 0;
        for (std::size_t i = 1; i < plan.size(); ++i)
            beside += plan[i].at < plan[i - 1].at + plan[i - 1].span ? 1U : 0U;
        cr_assert(beside >= 1, "seed %lu: one fault at a time", seed);
    }
}

Test(fault_plan, router_bears_several_signals_at_once_and_one_restart)
{
    PlanBounds const bounds;
    Fault const stopped {FaultKind::StopRouter, Duration {5'000'000}, Duration {6'500'000}, 0};
    Fault const frozen {FaultKind::FreezeRouter, Duration {6'000'000}, Duration {1'000'000}, 0};
    Fault const reloaded {FaultKind::ReloadRouter, Duration {6'500'000}, Duration {1'000}, 0};
    Fault const killed {FaultKind::KillRouter, Duration {7'000'000}, Duration {1'000'000}, 0};
    cr_assert(is_borne(std::vector {stopped, frozen, reloaded}, bounds));
    cr_assert(!is_borne(std::vector {stopped, killed}, bounds));
}

Test(fault_plan, all_routers_start_again_soon_after_workers_begin_to_reject_requests)
{
    PlanBounds bounds;
    bounds.rejecting = true;
    for (std::uint64_t seed = 0; seed < 200; ++seed) {
        auto const plan = plan_faults(seed, bounds);
        cr_assert(is_borne(plan, bounds), "seed %lu", seed);
        auto const rejection = std::find_if(plan.begin(), plan.end(),
            [](auto const& fault) { return fault.kind == FaultKind::RejectRequests; });
        cr_assert(rejection != plan.end());
        for (std::uint32_t router = 0; router < bounds.routers; ++router) {
            auto const ends_soon = [&](Fault const& fault) {
                auto const after = fault.at - rejection->at;
                return (fault.kind == FaultKind::KillRouter || fault.kind == FaultKind::StopRouter)
                    && fault.target == router && after > Duration {1'500'000} && after < Duration {2'700'000};
            };
            cr_assert(std::any_of(plan.begin(), plan.end(), ends_soon), "seed %lu", seed);
        }
    }
}

namespace {

auto bounds_of_replacements(std::uint32_t controls, std::uint32_t losses_tolerated) -> PlanBounds
{
    PlanBounds bounds;
    bounds.replacing = true;
    bounds.controls = controls;
    bounds.losses_tolerated = losses_tolerated;
    bounds.first = Duration {8'000'000};
    bounds.last = Duration {38'000'000};
    bounds.only = beside_replacements();
    return bounds;
}

} // namespace

/// Guards against soaks that never replace a control process at another address, or leave a founder.
Test(fault_plan, replacements_leave_no_founder_and_overlap_within_the_tolerated_losses)
{
    for (auto const& bounds : {bounds_of_replacements(6, 2), bounds_of_replacements(3, 1)}) {
        std::set<FaultKind> kinds;
        std::size_t overlapping = 0;
        for (std::uint64_t seed = 0; seed < 300; ++seed) {
            auto const plan = plan_faults(seed, bounds);
            cr_assert(is_borne(plan, bounds), "seed %lu", seed);
            std::set<std::uint32_t> replaced;
            std::vector<Fault> replacements;
            for (auto const& fault : plan) {
                kinds.insert(fault.kind);
                if (!replaces_control(fault.kind))
                    continue;
                replaced.insert(fault.target);
                for (auto const& other : replacements) {
                    auto const planned = other.kind == FaultKind::TurnOverControl;
                    auto const lost_for = planned ? std::max(other.span, bounds.lost_after_start)
                                                  : other.span + bounds.lost_after_start;
                    overlapping += fault.at < other.at + lost_for ? 1 : 0;
                }
                replacements.push_back(fault);
            }
            cr_assert(replaced.size() == bounds.controls, "seed %lu", seed);
        }
        cr_assert(kinds == bounds.only);
        cr_assert((overlapping > 0) == (bounds.losses_tolerated > 1));
    }
}

/// Guards against plans by which more control processes are lost at once than the group is to bear.
Test(fault_plan, replaced_control_process_counts_as_lost_until_its_successor_has_had_its_time)
{
    auto const bounds = bounds_of_replacements(6, 2);
    Duration const second {1'000'000};
    Fault const lost {FaultKind::ReplaceControl, 10 * second, second, 0};
    Fault const other {FaultKind::KillControl, 11 * second, second, 1};
    Fault const third_too_soon {FaultKind::ReplaceControl, Duration {14'900'000}, second, 2};
    Fault const third {FaultKind::ReplaceControl, 15 * second, second, 2};
    cr_assert(is_borne(std::vector {lost, other}, bounds));
    cr_assert(!is_borne(std::vector {lost, other, third_too_soon}, bounds));
    cr_assert(is_borne(std::vector {lost, other, third}, bounds));
    auto const one = bounds_of_replacements(3, 1);
    Fault const planned {FaultKind::TurnOverControl, 10 * second, second, 0};
    Fault const next_too_soon {FaultKind::TurnOverControl, Duration {13'900'000}, second, 1};
    Fault const next {FaultKind::TurnOverControl, 14 * second, second, 1};
    cr_assert(!is_borne(std::vector {planned, next_too_soon}, one));
    cr_assert(is_borne(std::vector {planned, next}, one));
}
