#include "src/control/router_registry.h"

#include <criterion/criterion.h>

#include <string>

using namespace graniteseam;
using namespace graniteseam::control;

namespace {

constexpr Instant kStart = InstantFromMicros(1'000'000'000);

RouterId Router(int number) { return {"r-" + std::to_string(10'000 + number)}; }

}  // namespace

Test(router_census, counts_routers_that_were_heard_of_lately_once_all_had_time) {
  RouterRegistry census(kStart);
  for (int number = 0; number < 3; ++number) census.RecordPoll(Router(number), kStart);
  cr_assert_eq(census.Count(kStart), 0U);
  const Instant settled = kStart + std::chrono::seconds(3);
  cr_assert_eq(census.Count(settled), 3U);
  cr_assert_eq(census.IndexOf(Router(2), settled), 2U);
  census.RecordPoll(Router(1), kStart + std::chrono::seconds(10));
  const Instant later = kStart + std::chrono::seconds(16);
  cr_assert_eq(census.Count(later), 1U);
  cr_assert_eq(census.IndexOf(Router(1), later), 0U);
}

// Each poll looked at all routers: two thousand polls a second of a thousand routers.
Test(router_census, poll_does_not_look_at_all_routers) {
  constexpr int kRouters = 1'000;
  RouterRegistry census(kStart);
  for (int number = 0; number < kRouters; ++number) census.RecordPoll(Router(number), kStart);
  const std::uint64_t before = census.router_evaluations();
  for (int poll = 0; poll < 2 * kRouters; ++poll) {
    const Instant now = kStart + std::chrono::seconds(4) + std::chrono::microseconds(500 * poll);
    const RouterId router = Router(poll % kRouters);
    census.RecordPoll(router, now);
    cr_assert_eq(census.Count(now), static_cast<std::uint32_t>(kRouters));
    cr_assert_eq(census.IndexOf(router, now), static_cast<std::uint32_t>(poll % kRouters));
  }
  // Ten counts in the second that these polls take.
  cr_assert_leq(census.router_evaluations() - before, 11U * kRouters);
}
