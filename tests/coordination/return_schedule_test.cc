// When rejected callers are told to return.
#include "src/coordination/return_schedule.h"

#include <criterion/criterion.h>

#include <limits>
#include <map>

using namespace graniteseam;
using namespace graniteseam::coordination;

namespace {

constexpr Instant start = InstantFromMicros(1'000'000'000);

auto at(std::int64_t ms) -> Instant
{
    return start + std::chrono::milliseconds(ms);
}

auto step_of(Instant time) -> std::int64_t
{
    return (time - start) / ReturnSchedule::step;
}

} // namespace

Test(return_schedule, burst_of_rejections_returns_at_the_rate_of_the_server)
{
    ReturnSchedule schedule;
    std::map<std::int64_t, int> returns;
    for (int caller = 0; caller < 40; ++caller)
        ++returns[step_of(schedule.book(at(200), at(5'000), 4, at(0)))];
    cr_assert_eq(returns.size(), 10);
    for (auto const& [step, count] : returns) {
        cr_assert_geq(step, 2);
        cr_assert_eq(count, 4);
    }
}

Test(return_schedule, callers_of_one_step_return_at_different_times)
{
    ReturnSchedule schedule;
    std::map<Instant, int> times;
    for (int caller = 0; caller < 20; ++caller)
        ++times[schedule.book(at(200), at(5'000), 4, at(0))];
    cr_assert_eq(times.size(), 20);
}

Test(return_schedule, overload_beyond_what_callers_honour_gives_the_latest_time)
{
    ReturnSchedule schedule;
    for (int caller = 0; caller < 16; ++caller)
        schedule.book(at(0), at(1'600), 1, at(0));
    cr_assert(schedule.book(at(0), at(1'600), 1, at(0)) == at(1'600));
    cr_assert(schedule.book(at(9'000), at(1'600), 1, at(0)) == at(9'000), "Never before there is room.");
}

Test(return_schedule, time_is_neither_before_the_earliest_nor_after_the_latest)
{
    ReturnSchedule schedule;
    for (int caller = 0; caller < 200; ++caller) {
        auto const time = schedule.book(at(130), at(770), 3.7, at(0));
        cr_assert_geq(time, at(130));
        cr_assert_leq(time, at(770));
    }
}

Test(return_schedule, places_of_the_past_are_not_kept)
{
    ReturnSchedule schedule;
    for (int caller = 0; caller < 16; ++caller)
        schedule.book(at(0), at(1'600), 1, at(0));
    cr_assert_eq(step_of(schedule.book(at(1'700), at(3'000), 1, at(1'650))), 17);
}

Test(return_schedule, senseless_rates_give_a_time_within_the_limits)
{
    ReturnSchedule schedule;
    for (auto const rate : {0.0, -1.0, 1e-300, 1e9, std::numeric_limits<double>::quiet_NaN()}) {
        auto const time = schedule.book(at(100), at(900), rate, at(0));
        cr_assert_geq(time, at(100));
        cr_assert_leq(time, at(900));
    }
}

// One slot and a second of work: each step had a place of its own.
Test(return_schedule, slow_server_gets_no_more_returns_than_it_starts_whenever_callers_are_rejected)
{
    constexpr double starts_per_step = 0.1;
    ReturnSchedule schedule;
    std::map<std::int64_t, int> returns;
    for (int rejection = 0; rejection < 30; ++rejection) {
        auto const now = at(rejection * 100);
        ++returns[step_of(schedule.book(now, at(30'000), starts_per_step, now)) / 10];
    }
    for (auto const& [second, count] : returns)
        cr_assert_leq(count, 2, "%d returns within a second.", count);
    cr_assert_geq(returns.size(), 25);
}
