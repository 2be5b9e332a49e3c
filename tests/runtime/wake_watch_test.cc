// A suspension of the machine is noticed once.
#include "src/runtime/wake_watch.h"

#include <criterion/criterion.h>

using namespace graniteseam;

namespace {

Duration suspended{7'000'000};

Duration Suspended() { return suspended; }

}  // namespace

Test(wake_watch, tells_once_of_each_suspension) {
  runtime::WakeWatch watch(Suspended);
  cr_assert(!watch.Woke());
  suspended += Duration{3'000'000};
  cr_assert(watch.Woke());
  cr_assert(!watch.Woke());
}

Test(wake_watch, readings_of_the_clocks_that_lie_apart_are_no_suspension) {
  runtime::WakeWatch watch(Suspended);
  suspended += Duration{900};
  cr_assert(!watch.Woke());
}

Test(wake_watch, boot_time_is_never_behind_the_clock_of_timers) {
  cr_assert(runtime::SuspendedTime() > Duration{-1'000'000});
}
