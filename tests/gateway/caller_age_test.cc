// The age of a request, from the time that its caller states to wait.
#include "src/gateway/caller_age.h"

#include <criterion/criterion.h>

#include <random>

using namespace graniteseam;
using namespace graniteseam::gateway;

using std::chrono::milliseconds;

namespace {

const traffic::RouteName kRoute{"route"};

/// Gives the route `count` stated times between two bounds in ms, drawn evenly.
void State(CallerAge& ages, int count, int low, int high, std::mt19937& random) {
  std::uniform_int_distribution<int> drawn(low, high);
  for (int caller = 0; caller < count; ++caller) ages.age_of(kRoute, milliseconds(drawn(random)));
}

}  // namespace

/// Guards against first attempts that pass for returned ones, at 5 s stated by between 85 and 100
/// %.
Test(caller_age, callers_that_state_85_to_100_percent_of_one_time_are_first_attempts) {
  for (unsigned seed = 1; seed <= 50; ++seed) {
    CallerAge ages;
    std::mt19937 random(seed);
    State(ages, 256, 4'250, 5'000, random);
    for (int stated = 4'250; stated <= 5'000; stated += 10) {
      cr_assert(ages.age_of(kRoute, milliseconds(stated)) == Duration{}, "seed %u, %d ms", seed,
                stated);
    }
  }
}

/// Guards against returned callers that pass for first attempts: one in four states what is left
/// after a refusal, between 40 and 80 % of the time.
Test(caller_age, callers_that_return_are_as_old_as_the_time_that_has_passed) {
  for (unsigned seed = 1; seed <= 50; ++seed) {
    CallerAge ages;
    std::mt19937 random(seed);
    for (int turn = 0; turn < 64; ++turn) {
      State(ages, 3, 4'250, 5'000, random);
      State(ages, 1, 2'000, 4'000, random);
    }
    const Duration age = ages.age_of(kRoute, milliseconds(3'000));
    // The middle of the first attempts is 4,625 ms.
    cr_assert(age > milliseconds(1'500) && age < milliseconds(1'750), "seed %u, age %lld us", seed,
              static_cast<long long>(age.count()));
    cr_assert(ages.age_of(kRoute, milliseconds(4'700)) == Duration{});
  }
}

/// Guards against returned callers that pass for first attempts when most callers return: three of
/// five requests state between 30 and 80 % of the time.
Test(caller_age, callers_that_return_are_told_apart_where_most_requests_return) {
  int known = 0;
  for (unsigned seed = 1; seed <= 100; ++seed) {
    CallerAge ages;
    std::mt19937 random(seed);
    for (int turn = 0; turn < 52; ++turn) {
      State(ages, 2, 4'250, 5'000, random);
      State(ages, 3, 1'500, 4'000, random);
    }
    if (ages.age_of(kRoute, milliseconds(2'000)) > milliseconds(2'000)) ++known;
  }
  cr_assert(known >= 95, "%d of 100", known);
}

/// Guards against a few callers with unusually long times that make all others pass for returned.
Test(caller_age, few_callers_that_state_much_more_do_not_age_the_others) {
  CallerAge ages;
  std::mt19937 random(1);
  for (int turn = 0; turn < 4; ++turn) {
    State(ages, 63, 4'250, 5'000, random);
    State(ages, 1, 60'000, 60'000, random);
  }
  cr_assert(ages.age_of(kRoute, milliseconds(4'300)) == Duration{});
  cr_assert(ages.age_of(kRoute, milliseconds(60'000)) == Duration{});
  cr_assert(ages.age_of(kRoute, milliseconds(2'500)) > milliseconds(2'000));
}

/// Guards against a division of nothing into buckets.
Test(caller_age, callers_that_all_state_the_same_time_are_first_attempts) {
  CallerAge ages;
  for (int caller = 0; caller < 300; ++caller) {
    cr_assert(ages.age_of(kRoute, milliseconds(5'000)) == Duration{});
  }
  cr_assert(ages.age_of(kRoute, milliseconds(2'000)) > milliseconds(2'500));
}

/// Guards against ages where callers simply differ: any stated time may be a first attempt's.
/// Chance may leave a gap among 256 drawn times, but rarely.
Test(caller_age, callers_that_state_all_different_times_have_no_age) {
  constexpr int kRoutes = 1'000;
  int with_age = 0;
  for (unsigned seed = 1; seed <= kRoutes; ++seed) {
    CallerAge ages;
    std::mt19937 random(seed);
    State(ages, 256, 1, 5'000, random);
    if (ages.age_of(kRoute, milliseconds(5)) != Duration{}) ++with_age;
  }
  cr_assert(with_age <= kRoutes / 100, "%d of %d", with_age, kRoutes);
}

/// Guards against conclusions from the first few callers of a route.
Test(caller_age, too_few_stated_times_show_no_age) {
  CallerAge ages;
  for (int caller = 0; caller < 38; ++caller) ages.age_of(kRoute, milliseconds(5'000));
  cr_assert(ages.age_of(kRoute, milliseconds(1'000)) == Duration{});
}

/// Guards against a range that is kept when callers begin to state another time.
Test(caller_age, range_follows_callers_that_begin_to_state_less) {
  CallerAge ages;
  for (int caller = 0; caller < 256; ++caller) ages.age_of(kRoute, milliseconds(5'000));
  for (int caller = 0; caller < 256; ++caller) ages.age_of(kRoute, milliseconds(2'000));
  cr_assert(ages.age_of(kRoute, milliseconds(2'000)) == Duration{});
}

/// Guards against times without meaning, which callers may state.
Test(caller_age, zero_and_negative_times_are_taken) {
  CallerAge ages;
  for (int caller = 0; caller < 300; ++caller) {
    ages.age_of(kRoute, milliseconds(caller % 2 == 0 ? 0 : -100));
  }
  cr_assert(ages.age_of(kRoute, milliseconds(5'000)) == Duration{});
}
