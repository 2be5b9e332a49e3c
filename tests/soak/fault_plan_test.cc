#include "testbed/soak/fault_plan.h"

#include <criterion/criterion.h>

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
    cr_assert(kinds.size() == 13);
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
