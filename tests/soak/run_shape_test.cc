#include "testbed/soak/run_shape.h"

#include <criterion/criterion.h>

using namespace graniteseam;
using namespace graniteseam::testbed::soak;

Test(run_shape, follows_from_its_seed_alone_and_both_sizes_come_up)
{
    int large = 0;
    for (std::uint64_t seed = 0; seed < 200; ++seed) {
        auto const shape = draw_shape(seed, {});
        cr_assert(shape == draw_shape(seed, {}));
        cr_assert(shape.keyed_workers >= 2 && shape.leased_workers >= 2 && shape.pool_workers >= 2);
        large += shape.routers >= 9 ? 1 : 0;
    }
    cr_assert(large > 20 && large < 100);
}

Test(run_shape, wide_run_has_the_processor_shares_and_links_of_the_users_machines)
{
    auto const shape = draw_shape(1, RunSize::Wide);
    cr_assert(shape.controls == 3 && shape.routers == 93 && workers_of(shape) == 264);
    cr_assert(shape.processor == 0.3 && shape.router_processor == 0.1 && shape.router_link_mbps == 2);
}

Test(run_shape, large_runs_stay_within_a_few_hundred_processes)
{
    for (std::uint64_t seed = 0; seed < 200; ++seed) {
        auto const shape = draw_shape(seed, RunSize::Large);
        cr_assert(shape.routers >= 9 && shape.routers <= 20);
        cr_assert(workers_of(shape) >= 60 && workers_of(shape) <= 150);
        cr_assert(processes_of(shape) <= 23);
    }
}

Test(run_shape, run_of_faulty_answers_has_callers_whose_requests_may_run_once)
{
    auto const small = draw_shape(1, RunSize::Small);
    auto const shape = for_faulty_answers(small);
    cr_assert(shape.faulty_answers && shape.unsafe_callers > 0);
    cr_assert(workers_of(shape) == workers_of(small) && processes_of(shape) == processes_of(small));
}

Test(run_shape, run_of_planned_stops_has_routers_with_little_processor_time_and_callers_that_rest)
{
    auto const small = draw_shape(1, RunSize::Small);
    auto const shape = for_stopping(small);
    cr_assert(shape.routers == 6 && shape.router_processor < 0.1 && shape.processor == 1);
    cr_assert(shape.resting_callers > 0 && shape.hesitant_callers > 0);
    cr_assert(workers_of(shape) == workers_of(small));
    cr_assert(for_stopping(draw_shape(1, RunSize::Wide)).routers == 93);
}

Test(run_shape, runs_of_replaced_control_processes_have_three_or_six_of_them_by_their_seed)
{
    auto const small = draw_shape(1, RunSize::Small);
    int six = 0;
    for (std::uint64_t seed = 0; seed < 100; ++seed) {
        auto const shape = for_replacing(small, seed);
        cr_assert(shape == for_replacing(small, seed));
        cr_assert(shape.replacing && shape.list_lag == Duration {3'000'000});
        cr_assert(shape.controls == 3 * shape.losses_tolerated);
        six += shape.controls == 6 ? 1 : 0;
    }
    cr_assert(six > 20 && six < 80);
}
