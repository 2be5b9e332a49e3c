/// @file
/// What a gateway that stops still takes, while servers are slow.
///
/// A request was read 3.5 s after the stop signal, waited 0.7 s at its server and was at work there
/// when the gateway gave up what had no answer, 2 s later. Whoever reads a request must leave it
/// the time that a slow answer takes.

#include "src/daemon/gateway/stop_schedule.h"

#include <criterion/criterion.h>

using namespace graniteseam;
using namespace graniteseam::daemon;

Test(stop_schedule, what_is_read_last_has_two_fifths_of_the_limit_for_its_answer) {
  constexpr Duration kLimit{6'000'000};
  const StopSchedule schedule = ScheduleStop(kLimit);
  cr_assert(schedule.answer_rest - schedule.begin_latest >= kLimit * 2 / 5);
  cr_assert(schedule.close <= schedule.begin_latest);
  cr_assert(schedule.leave_earliest <= schedule.close);
  // Callers are led elsewhere by readiness, which is asked for each second and must fail twice.
  cr_assert(schedule.leave_earliest >= Duration{2'500'000});
  cr_assert(schedule.answer_rest < schedule.end && schedule.end < kLimit);
}

// Guards against requests that came later than 3 s after the signal and were broken off at the end:
// with a long limit, requests are taken for much longer than that.
Test(stop_schedule, what_may_outlast_the_stop_begins_no_later_than_may_be_broken_off) {
  for (const std::int64_t seconds : {2, 6, 12, 60, 600}) {
    const StopSchedule schedule = ScheduleStop(std::chrono::seconds(seconds));
    cr_assert(schedule.begin_only_what_ends + kSignalDelay <= kMayBreakOffSentBy);
    cr_assert(schedule.begin_only_what_ends <= schedule.close);
  }
}
