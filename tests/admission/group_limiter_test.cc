#include "graniteseam/admission/group_limiter.h"

#include <criterion/criterion.h>
#include <rapidcheck.h>

#include <set>

#include "tests/support/fixed_seed.h"

using graniteseam::Duration;
using graniteseam::GroupName;
using graniteseam::Instant;
using graniteseam::InstantFromMicros;
using graniteseam::admission::GroupLimiter;
using graniteseam::admission::OfferedRequest;
using graniteseam::admission::RequestNumber;
using graniteseam::admission::Verdict;

namespace {

const GroupName kFirst{"first"};
const GroupName kSecond{"second"};
constexpr Instant kNow = InstantFromMicros(1'000'000);

GroupLimiter MakeLimiter(std::uint32_t queue_maximum = 4) {
  GroupLimiter limiter;
  limiter.Configure({{kFirst, 1.0, queue_maximum}, {kSecond, 1.0, queue_maximum}});
  return limiter;
}

OfferedRequest Request(RequestNumber number, const GroupName& group, int deadline_ms,
                       std::uint32_t lane = 0) {
  return {number, group, lane, kNow + std::chrono::milliseconds(deadline_ms)};
}

}  // namespace

Test(group_limiter, admits_while_the_lane_has_room_and_the_group_is_below_its_limit) {
  GroupLimiter limiter = MakeLimiter();
  limiter.SetLimit(kFirst, 1.0);
  cr_assert(limiter.Offer(Request(1, kFirst, 100), 9, kNow).verdict == Verdict::kAdmitted);
  cr_assert(limiter.Offer(Request(2, kFirst, 100), 9, kNow).verdict == Verdict::kQueued);
  cr_assert(limiter.Offer(Request(3, kSecond, 100), 9, kNow).verdict == Verdict::kAdmitted);
  cr_assert(limiter.Offer(Request(4, kSecond, 100), 0, kNow).verdict == Verdict::kQueued);
  cr_assert(limiter.InFlight(kFirst) == 1);
  cr_assert(limiter.Queued(kFirst) == 1);
}

Test(group_limiter, an_unknown_group_is_refused) {
  GroupLimiter limiter = MakeLimiter();
  cr_assert(limiter.Offer(Request(1, GroupName{"other"}, 100), 0, kNow).verdict ==
            Verdict::kRefused);
}

Test(group_limiter, a_full_queue_gives_up_its_earliest_deadline) {
  GroupLimiter limiter = MakeLimiter(2);
  limiter.Offer(Request(1, kFirst, 300), 0, kNow);
  limiter.Offer(Request(2, kFirst, 100), 0, kNow);
  const auto result = limiter.Offer(Request(3, kFirst, 200), 0, kNow);
  cr_assert(result.verdict == Verdict::kQueued);
  cr_assert(result.displaced == RequestNumber{2});
  cr_assert(result.retry_after > Duration{0});
  cr_assert_not(limiter.Withdraw(2));
  // One with the earliest deadline of all is itself refused, at once.
  const auto refused = limiter.Offer(Request(4, kFirst, 50), 0, kNow);
  cr_assert(refused.verdict == Verdict::kRefused);
  cr_assert_not(refused.displaced.has_value());
}

Test(group_limiter, waits_at_most_half_of_the_time_left) {
  GroupLimiter limiter = MakeLimiter();
  const auto result = limiter.Offer(Request(1, kFirst, 100), 0, kNow);
  cr_assert(result.give_up_at == kNow + std::chrono::milliseconds(50));
}

Test(group_limiter, refuses_at_once_what_the_queue_will_not_reach_in_time) {
  GroupLimiter limiter = MakeLimiter(100);
  for (RequestNumber number = 1; number <= 60; ++number) {
    limiter.Offer(Request(number, kFirst, 10'000), 100, kNow);
  }
  limiter.Offer(Request(100, kFirst, 10'000), 0, kNow);
  Instant now = kNow;
  for (int release = 0; release < 50; ++release) {
    now += std::chrono::milliseconds(100);
    limiter.Release(kFirst, now);
  }
  cr_assert(limiter.ExpectedWait(kFirst) > std::chrono::milliseconds(50));
  OfferedRequest hurried{200, kFirst, 0, now + std::chrono::milliseconds(60)};
  cr_assert(limiter.Offer(hurried, 0, now).verdict == Verdict::kRefused);
  OfferedRequest patient{201, kFirst, 0, now + std::chrono::seconds(5)};
  cr_assert(limiter.Offer(patient, 0, now).verdict == Verdict::kQueued);
}

Test(group_limiter, dispatch_serves_the_group_with_fewest_in_flight_per_weight) {
  GroupLimiter limiter;
  limiter.Configure({{kFirst, 3.0, 100}, {kSecond, 1.0, 100}});
  for (RequestNumber number = 0; number < 50; ++number) {
    limiter.Offer(Request(number, kFirst, 100), 0, kNow);
    limiter.Offer(Request(1000 + number, kSecond, 100), 0, kNow);
  }
  const auto admitted = limiter.Dispatch(0, 40);
  cr_assert(admitted.size() == 40);
  cr_assert(limiter.InFlight(kFirst) == 30);
  cr_assert(limiter.InFlight(kSecond) == 10);
}

Test(group_limiter, a_full_server_does_not_hold_up_work_for_another) {
  GroupLimiter limiter = MakeLimiter();
  cr_assert(limiter.Offer(Request(1, kFirst, 100, 1), 0, kNow).verdict == Verdict::kQueued);
  cr_assert(limiter.Offer(Request(2, kFirst, 100, 2), 1, kNow).verdict == Verdict::kAdmitted);
  cr_assert(limiter.WaitingLanes() == std::vector<std::uint32_t>{1});
}

Test(group_limiter, random_traffic_agrees_with_a_count_of_every_request) {
  cr_assert(rc::check([] {
    GroupLimiter limiter = MakeLimiter(3);
    const double limit = *rc::gen::inRange(1, 6);
    limiter.SetLimit(kFirst, limit);
    limiter.SetLimit(kSecond, limit);
    std::set<RequestNumber> running;
    std::set<RequestNumber> waiting;
    const auto group_of = [](RequestNumber number) { return number % 2 == 0 ? kFirst : kSecond; };
    const int steps = *rc::gen::inRange(1, 200);
    Instant now = kNow;
    for (int step = 0; step < steps; ++step) {
      now += Duration(*rc::gen::inRange(0, 5'000));
      const auto number = static_cast<RequestNumber>(step);
      switch (*rc::gen::inRange(0, 4)) {
        case 0:
        case 1: {
          const std::size_t room = *rc::gen::inRange(0, 3);
          const Instant deadline = now + std::chrono::milliseconds(*rc::gen::inRange(1, 2'000));
          const auto result = limiter.Offer({number, group_of(number), 0, deadline}, room, now);
          if (result.verdict == Verdict::kAdmitted) running.insert(number);
          if (result.verdict == Verdict::kQueued) waiting.insert(number);
          if (result.displaced) RC_ASSERT(waiting.erase(*result.displaced) == 1U);
          break;
        }
        case 2: {
          if (running.empty()) break;
          limiter.Release(group_of(*running.begin()), now);
          running.erase(running.begin());
          for (const RequestNumber admitted : limiter.Dispatch(0, 1)) {
            RC_ASSERT(waiting.erase(admitted) == 1U);
            running.insert(admitted);
          }
          break;
        }
        default: {
          if (waiting.empty()) break;
          RC_ASSERT(limiter.Withdraw(*waiting.begin()));
          waiting.erase(waiting.begin());
        }
      }
      RC_ASSERT(limiter.InFlight(kFirst) + limiter.InFlight(kSecond) == running.size());
      RC_ASSERT(limiter.QueuedTotal() == waiting.size());
      RC_ASSERT(static_cast<double>(limiter.InFlight(kFirst)) <= limit);
      RC_ASSERT(limiter.Queued(kFirst) <= 3U);
      RC_ASSERT(limiter.Queued(kSecond) <= 3U);
    }
  }));
}
