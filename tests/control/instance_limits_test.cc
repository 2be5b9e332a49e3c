// Limits that instances name, as the leader shares them among routers.
#include "src/control/instance_limits.h"

#include <criterion/criterion.h>

#include <algorithm>
#include <chrono>
#include <vector>

using namespace graniteseam;
using control::InstanceLimits;

namespace {

constexpr Instant kStart = InstantFromMicros(1'000'000'000);
const traffic::InstanceId kOwner{"i-1"};

Instant At(std::int64_t ms) { return kStart + std::chrono::milliseconds(ms); }

traffic::InstanceLimit Word(double limit, std::int64_t heard_ms_ago) {
  return {kOwner, limit, heard_ms_ago};
}

}  // namespace

/// Guards against more requests than a limit allows when many routers ask for tokens all the time,
/// also after a span in which none did.
Test(instance_limits, tokens_of_any_four_seconds_stay_below_what_the_limit_allows) {
  for (const double limit : {0.5, 5.2, 17.0}) {
    InstanceLimits limits;
    std::vector<std::int64_t> given;
    for (std::int64_t ms = 0; ms < 30'000; ms += 5) {
      const bool idle = 10'000 <= ms && ms < 18'000;
      if (idle) continue;
      const auto grant = limits.TakeTokens({Word(limit, 0), 3}, At(ms));
      given.insert(given.end(), grant.requests, ms);
      cr_assert(grant.requests == 3 || grant.retry_after_ms > 0);
    }
    for (const std::int64_t from : given) {
      const auto in_window = std::count_if(given.begin(), given.end(), [&](std::int64_t at) {
        return from <= at && at < from + 4'000;
      });
      cr_assert_leq(static_cast<double>(in_window), 4.5 * limit + 2, "limit %.1f", limit);
    }
    cr_assert_geq(static_cast<double>(given.size()), 0.9 * 22 * limit, "most of it is given out");
  }
}

/// Guards against an answer that was sent earlier and read later, at another router.
Test(instance_limits, word_that_was_heard_last_counts) {
  InstanceLimits limits;
  limits.Take(Word(5, 0), At(0));
  limits.Take(Word(0, 100), At(1'000));
  limits.Take(Word(5, 600), At(1'100));
  cr_assert(!limits.LimitOf(kOwner));
  cr_assert_eq(limits.TakeTokens({Word(5, 900), 40}, At(1'200)).requests, 40);
  limits.Take(Word(2, 50), At(1'300));
  cr_assert(limits.LimitOf(kOwner) == 2.0);
}

Test(instance_limits, routers_are_told_of_what_begins_and_ends_once) {
  InstanceLimits limits;
  limits.Take(Word(5, 0), At(0));
  cr_assert_eq(limits.TakeChanges(At(10)).size(), 1);
  limits.Take(Word(5.1, 0), At(100));
  cr_assert(limits.TakeChanges(At(110)).empty(), "a small change is not worth a message");
  cr_assert_eq(limits.All(At(120)).size(), 1);
  limits.Take(Word(0, 0), At(200));
  const auto over = limits.TakeChanges(At(210));
  cr_assert_eq(over.size(), 1);
  cr_assert_eq(over.front().requests_per_second, 0);
  cr_assert(limits.All(At(220)).empty());
}

Test(instance_limits, instance_that_asks_for_rest_again_and_again_is_avoided_for_longer) {
  InstanceLimits limits;
  limits.Take(traffic::InstanceRest{kOwner, 500}, At(0));
  cr_assert(!limits.IsBackingOff(kOwner, At(100)), "over before keys have moved");
  limits.Take(traffic::InstanceRest{kOwner, 3'000}, At(1'000));
  cr_assert(limits.IsBackingOff(kOwner, At(5'900)) && !limits.IsBackingOff(kOwner, At(6'100)));
  limits.Take(traffic::InstanceRest{kOwner, 3'000}, At(7'000));
  cr_assert(limits.IsBackingOff(kOwner, At(13'900)) && !limits.IsBackingOff(kOwner, At(14'100)));
}
