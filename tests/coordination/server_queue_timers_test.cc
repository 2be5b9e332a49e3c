// When a server's queue is to be looked at again, under loads that set many timers.
#include <criterion/criterion.h>

#include "src/coordination/server_queue.h"

using namespace graniteseam;
using namespace graniteseam::coordination;

namespace {

constexpr Instant start = InstantFromMicros(1'000'000'000);

auto at(std::int64_t ms) -> Instant
{
    return start + std::chrono::milliseconds(ms);
}

auto ask(ServerQueue& queue, std::uint64_t number, std::uint32_t slots, std::int64_t left_ms) -> SlotVerdict
{
    SlotRequest request;
    request.number = number;
    request.instance = {"s-1"};
    request.slots = slots;
    request.target_left_us = request.time_left_us = request.hold_us = left_ms * 1'000;
    return queue.ask({{"g-1"}, number}, request, at(0)).answer.verdict;
}

} // namespace

// A gateway that knew the former number of slots asked first.
Test(server_queue_timers, waiting_requests_use_slots_that_a_later_request_makes_known)
{
    ServerQueue queue(1);
    for (std::uint64_t number = 1; number <= 5; ++number)
        ask(queue, number, 1, 5'000);
    cr_assert_eq(queue.granted(), 2);
    cr_assert_eq(queue.queued(), 3);
    ask(queue, 9, 3, 5'000);
    cr_assert_leq(queue.next_tick(), at(0));
    queue.tick(at(0));
    cr_assert_eq(queue.granted(), 4);
    cr_assert_gt(queue.next_tick(), at(0), "The timer does not advance.");
}

// The timer was due for each of the other senders' requests: some 100,000 times a second.
Test(server_queue_timers, senseless_load_report_causes_no_busy_timer)
{
    ServerQueue queue(1);
    for (std::uint64_t number = 1; number <= 3; ++number)
        ask(queue, number, 1, 60'000);
    cr_assert_eq(queue.queued(), 1);
    SlotRelease release;
    release.outcome = SlotOutcome::kServed;
    release.has_load = true;
    release.running = 1e300;
    queue.release({{"g-1"}, 1}, release, at(250));
    int ticks = 0;
    for (; queue.queued() > 0 && ticks < 1'000; ++ticks)
        queue.tick(queue.next_tick());
    cr_assert_lt(ticks, 10);
    cr_assert_eq(queue.granted(), 2);
}
