// Which request a server gets next, under the loads that coordinated admission is for.
#include "src/coordination/server_queue.h"

#include <criterion/criterion.h>

#include <cmath>
#include <map>
#include <queue>
#include <random>
#include <string>

using namespace graniteseam;
using namespace graniteseam::coordination;

namespace {

constexpr Instant start = InstantFromMicros(1'000'000'000);
constexpr std::uint32_t slots = 3;

auto at(std::int64_t ms) -> Instant
{
    return start + std::chrono::milliseconds(ms);
}

/// A request of a service with a target of 800 ms and a deadline of 5 s.
auto request(std::uint64_t number) -> SlotRequest
{
    SlotRequest request;
    request.number = number;
    request.service = {"reads"};
    request.instance = {"s-1"};
    request.slots = slots;
    request.target_left_us = 800'000;
    request.time_left_us = 5'000'000;
    request.hold_us = 1'250'000;
    return request;
}

auto late(std::uint64_t number, std::int64_t time_left_ms) -> SlotRequest
{
    auto late = request(number);
    late.target_left_us = -100'000;
    late.time_left_us = time_left_ms * 1'000;
    late.returned = true;
    return late;
}

auto served(std::int64_t ms) -> SlotRelease
{
    SlotRelease release;
    release.outcome = SlotOutcome::kServed;
    release.served_us = ms * 1'000;
    return release;
}

auto key(std::uint64_t number, std::string const& gateway = "g-1") -> SlotKey
{
    return {{gateway}, number};
}

auto ask(ServerQueue& queue, SlotRequest const& request, std::int64_t ms) -> SlotAnswer
{
    return queue.ask(key(request.number), request, at(ms)).answer;
}

/// Takes all slots and the one request that waits at the server, with the numbers from 1 on.
auto fill(ServerQueue& queue, std::int64_t ms) -> void
{
    for (std::uint64_t number = 1; number <= slots + 1; ++number)
        cr_assert(ask(queue, request(number), ms).verdict == SlotVerdict::kGranted);
}

auto granted(std::vector<SlotDecision> const& decisions) -> std::vector<std::uint64_t>
{
    std::vector<std::uint64_t> numbers;
    for (auto const& decision : decisions) {
        if (decision.answer.verdict == SlotVerdict::kGranted)
            numbers.push_back(decision.key.number);
    }
    return numbers;
}

} // namespace

Test(server_queue, idle_server_takes_requests_at_once_up_to_its_slots_and_one_more)
{
    ServerQueue queue(slots);
    fill(queue, 0);
    auto const answer = ask(queue, request(5), 0);
    cr_assert(answer.verdict == SlotVerdict::kQueued);
    cr_assert_gt(answer.start_in_us, 0);
    cr_assert_eq(queue.queued(), 1);
}

Test(server_queue, freed_slot_goes_to_the_waiting_request)
{
    ServerQueue queue(slots);
    fill(queue, 0);
    ask(queue, request(5), 0);
    cr_assert(granted(queue.release(key(1), served(100), at(100))) == std::vector<std::uint64_t> {5});
    cr_assert_eq(queue.queued(), 0);
}

// In order of arrival, a request that is late already would delay one that can still be in time.
Test(server_queue, overloaded_owner_takes_requests_in_time_before_late_ones)
{
    ServerQueue queue(slots);
    fill(queue, 0);
    cr_assert(ask(queue, late(5, 3'000), 0).verdict == SlotVerdict::kQueued);
    cr_assert(ask(queue, request(6), 10).verdict == SlotVerdict::kQueued);
    cr_assert(granted(queue.release(key(1), served(100), at(100))) == std::vector<std::uint64_t> {6});
    cr_assert(granted(queue.release(key(2), served(100), at(110))) == std::vector<std::uint64_t> {5});
}

Test(server_queue, two_kinds_of_unequal_urgency_are_served_by_priority)
{
    ServerQueue queue(slots);
    fill(queue, 0);
    auto less_urgent = request(5);
    less_urgent.priority = 2;
    cr_assert(ask(queue, less_urgent, 0).verdict == SlotVerdict::kQueued);
    cr_assert(ask(queue, request(6), 10).verdict == SlotVerdict::kQueued);
    cr_assert(granted(queue.release(key(1), served(100), at(100))) == std::vector<std::uint64_t> {6});
    cr_assert(granted(queue.release(key(2), served(100), at(110))) == std::vector<std::uint64_t> {5});
}

// Requests whose callers wait for a second only were not run at an owner whose queue held requests of callers
// that wait for six.
Test(server_queue, overloaded_owner_serves_short_deadlines_before_longer_ones)
{
    ServerQueue queue(slots);
    fill(queue, 0);
    cr_assert(ask(queue, request(5), 0).verdict == SlotVerdict::kQueued);
    auto short_deadline = request(6);
    short_deadline.time_left_us = 600'000;
    short_deadline.hold_us = 600'000;
    cr_assert(ask(queue, short_deadline, 10).verdict == SlotVerdict::kQueued);
    cr_assert(granted(queue.release(key(1), served(100), at(100))) == std::vector<std::uint64_t> {6});
}

Test(server_queue, callers_that_return_are_served_by_the_time_that_they_have_left)
{
    ServerQueue queue(slots);
    fill(queue, 0);
    cr_assert(ask(queue, late(5, 3'000), 0).verdict == SlotVerdict::kQueued);
    cr_assert(ask(queue, late(6, 2'000), 10).verdict == SlotVerdict::kQueued);
    cr_assert(granted(queue.release(key(1), served(100), at(100))) == std::vector<std::uint64_t> {6});
}

Test(server_queue, burst_rejects_at_once_what_cannot_start_within_its_hold_time)
{
    ServerQueue queue(slots);
    fill(queue, 0);
    auto rejected = 0;
    for (std::uint64_t number = 5; number < 60; ++number) {
        auto const answer = ask(queue, request(number), 1);
        if (answer.verdict != SlotVerdict::kRejected)
            continue;
        ++rejected;
        cr_assert_gt(answer.retry_after_us, 0);
    }
    cr_assert_gt(rejected, 20);
    // 1.25 s of work at 250 ms over three slots.
    cr_assert_leq(queue.queued(), 16);
}

Test(server_queue, request_whose_target_passes_makes_way_for_those_in_time)
{
    ServerQueue queue(slots);
    fill(queue, 0);
    for (std::uint64_t number = 5; number <= 8; ++number)
        cr_assert(ask(queue, request(number), 0).verdict == SlotVerdict::kQueued);
    // A server that stands still: by now the first ones are late.
    queue.tick(at(700));
    cr_assert(ask(queue, request(9), 700).verdict == SlotVerdict::kQueued);
    auto const next = granted(queue.release(key(1), served(250), at(710)));
    cr_assert(next == std::vector<std::uint64_t> {9}, "%llu",
        next.empty() ? 0ULL : static_cast<unsigned long long>(next[0]));
}

Test(server_queue, wait_ends_with_a_rejection_at_the_end_of_the_hold_time)
{
    ServerQueue queue(slots);
    fill(queue, 0);
    cr_assert(ask(queue, late(5, 3'000), 0).verdict == SlotVerdict::kQueued);
    cr_assert(queue.next_tick() <= at(1'250));
    auto const decisions = queue.tick(at(1'250));
    cr_assert_eq(decisions.size(), 1);
    cr_assert(decisions[0].answer.verdict == SlotVerdict::kRejected);
    cr_assert_eq(queue.queued(), 0);
}

Test(server_queue, rejected_callers_are_told_different_times_to_return)
{
    ServerQueue queue(slots);
    fill(queue, 0);
    std::map<std::int64_t, int> by_step;
    for (std::uint64_t number = 5; number < 40; ++number) {
        auto returning = late(number, 4'800);
        returning.hold_us = 0;
        auto const answer = ask(queue, returning, 0);
        cr_assert(answer.verdict == SlotVerdict::kRejected);
        cr_assert_leq(answer.retry_after_us, 1'600'000, "Longer than callers honour.");
        ++by_step[answer.retry_after_us / 100'000];
    }
    cr_assert_gt(by_step.size(), 10);
}

Test(server_queue, caller_with_little_time_left_is_told_a_third_of_it_at_most)
{
    ServerQueue queue(slots);
    fill(queue, 0);
    auto hopeless = late(5, 600);
    hopeless.hold_us = 0;
    auto const answer = ask(queue, hopeless, 0);
    cr_assert(answer.verdict == SlotVerdict::kRejected);
    cr_assert_leq(answer.retry_after_us, 200'000);
}

Test(server_queue, slow_owner_is_expected_to_start_requests_later)
{
    ServerQueue fast(slots);
    ServerQueue slow(slots);
    for (std::uint64_t number = 1; number <= 30; ++number) {
        fast.ask(key(number), request(number), at(0));
        fast.release(key(number), served(100), at(100));
        slow.ask(key(number), request(number), at(0));
        slow.release(key(number), served(600), at(600));
    }
    cr_assert_lt(fast.service_time().count(), 150'000);
    cr_assert_gt(slow.service_time().count(), 450'000);
    fill(fast, 1'000);
    fill(slow, 1'000);
    auto const soon = ask(fast, request(50), 1'000);
    auto const later = ask(slow, request(50), 1'000);
    cr_assert(soon.verdict == SlotVerdict::kQueued);
    cr_assert(later.verdict != SlotVerdict::kGranted);
    cr_assert(later.verdict == SlotVerdict::kRejected || later.start_in_us > soon.start_in_us);
}

// On links that large responses fill, a release and the next grant take so long that slots were idle between
// two requests at an overloaded server.
Test(server_queue, slow_exchange_with_gateways_keeps_more_requests_at_the_server)
{
    ServerQueue queue(slots);
    cr_assert_eq(queue.extra_grants(), 1);
    std::int64_t ms = 0;
    for (std::uint64_t number = 1; number <= 60; ++number) {
        queue.ask(key(number), request(number), at(ms));
        // 200 ms at the server, 150 ms on the way of the grant and of the release.
        ms += 350;
        queue.release(key(number), served(200), at(ms));
    }
    cr_assert_eq(queue.extra_grants(), slots);
    for (std::uint64_t number = 100; number < 100 + 2 * slots; ++number)
        cr_assert(ask(queue, request(number), ms).verdict == SlotVerdict::kGranted);
    cr_assert(ask(queue, request(200), ms).verdict != SlotVerdict::kGranted);
}

// The release is lost: the slot would stay taken for good.
Test(server_queue, grant_without_a_release_ends_by_itself)
{
    ServerQueue queue(slots);
    fill(queue, 0);
    cr_assert_eq(queue.granted(), slots + 1);
    queue.tick(at(5'499));
    cr_assert_eq(queue.granted(), slots + 1);
    queue.tick(at(5'501));
    cr_assert_eq(queue.granted(), 0);
}

Test(server_queue, lower_load_than_granted_shows_lost_releases)
{
    ServerQueue queue(slots);
    fill(queue, 0);
    auto release = served(200);
    release.has_load = true;
    release.running = 1;
    queue.release(key(4), release, at(200));
    cr_assert_eq(queue.granted(), 1);
    // The oldest are dropped; a grant that the server cannot have seen yet stays.
    cr_assert(ask(queue, request(10), 210).verdict == SlotVerdict::kGranted);
    release.running = 1;
    queue.release(key(3), release, at(220));
    cr_assert_eq(queue.granted(), 1);
}

Test(server_queue, requests_of_uncoordinated_senders_take_slots_until_they_fade)
{
    ServerQueue queue(slots);
    fill(queue, 0);
    auto release = served(250);
    release.has_load = true;
    release.running = 3;
    release.waiting = 5;
    queue.release(key(1), release, at(250));
    auto const answer = ask(queue, request(10), 251);
    cr_assert(answer.verdict == SlotVerdict::kQueued);
    cr_assert_neq(queue.next_tick(), Instant::max());
    Instant now = at(251);
    for (auto ticks = 0; ticks < 100 && queue.queued() > 0; ++ticks) {
        cr_assert_gt(queue.next_tick(), now, "The timer does not advance.");
        now = queue.next_tick();
        queue.tick(now);
    }
    cr_assert_eq(queue.queued(), 0);
    cr_assert_lt((now - at(251)).count(), 1'250'000);
}

Test(server_queue, repeated_slot_request_gets_its_present_state)
{
    ServerQueue queue(slots);
    fill(queue, 0);
    ask(queue, request(5), 0);
    cr_assert(queue.state_of(key(5), at(1))->answer.verdict == SlotVerdict::kQueued);
    queue.release(key(1), served(100), at(100));
    cr_assert(queue.state_of(key(5), at(101))->answer.verdict == SlotVerdict::kGranted);
    cr_assert_not(queue.state_of(key(99), at(101)).has_value());
}

Test(server_queue, gateway_that_ended_leaves_its_slots_to_others)
{
    ServerQueue queue(slots);
    fill(queue, 0);
    cr_assert(queue.ask(key(5, "g-2"), request(5), at(0)).answer.verdict == SlotVerdict::kQueued);
    auto const decisions = queue.forget({"g-1"}, at(10));
    cr_assert(granted(decisions) == std::vector<std::uint64_t> {5});
    cr_assert_eq(queue.granted(), 1);
}

Test(server_queue, senseless_numbers_change_nothing_else)
{
    ServerQueue queue(slots);
    auto senseless = request(1);
    senseless.slots = 0;
    senseless.target_left_us = INT64_MIN;
    senseless.time_left_us = INT64_MAX;
    senseless.hold_us = INT64_MIN;
    cr_assert(ask(queue, senseless, 0).verdict == SlotVerdict::kGranted);
    auto release = served(0);
    release.served_us = INT64_MAX;
    release.has_load = true;
    release.running = std::nan("");
    queue.release(key(1), release, at(10));
    cr_assert_leq(queue.service_time().count(), 10'000'000);
    auto over = request(2);
    over.time_left_us = -1;
    cr_assert(ask(queue, over, 10).verdict == SlotVerdict::kRejected);
}

namespace {

/// One server with log-normal work and random arrivals, in virtual time; without coordination its queue holds
/// 12 requests in order of arrival.
class LoadedServer {
public:
    LoadedServer(double utilisation, bool coordinated)
        : m_coordinated(coordinated)
        , m_gap(utilisation * slots / mean_ms)
    {
    }

    /// The share of requests that are answered within their target.
    auto share_in_time() -> double
    {
        constexpr double end_ms = 400'000;
        auto arrival = m_gap(m_random);
        while (arrival < end_ms) {
            auto const end = m_ends.empty() ? never : m_ends.top().first;
            auto const tick = next_tick();
            if (end <= std::min(arrival, tick)) {
                finish(end);
            } else if (tick <= arrival) {
                send(m_queue.tick(at(static_cast<std::int64_t>(std::ceil(tick)))), tick);
            } else {
                arrive(arrival);
                arrival += m_gap(m_random);
            }
        }
        return static_cast<double>(m_in_time) / static_cast<double>(m_arrivals.size());
    }

private:
    static constexpr double mean_ms = 300;
    static constexpr double target_ms = 800;
    static constexpr std::size_t server_queue_maximum = 12;
    static constexpr double never = 1e18;
    using End = std::pair<double, std::uint64_t>;

    static auto instant(double ms) -> Instant { return at(static_cast<std::int64_t>(ms)); }

    auto next_tick() const -> double
    {
        if (!m_coordinated || m_queue.next_tick() == Instant::max())
            return never;
        return std::chrono::duration<double, std::milli>(m_queue.next_tick() - start).count();
    }

    auto arrive(double now) -> void
    {
        m_arrivals.push_back(now);
        m_sent_at.push_back(now);
        auto const number = m_arrivals.size() - 1;
        if (m_coordinated)
            return send({m_queue.ask(key(number), request(number), instant(now))}, now);
        if (m_at_server.size() < server_queue_maximum)
            m_at_server.push(number);
        start_work(now);
    }

    auto send(std::vector<SlotDecision> const& decisions, double now) -> void
    {
        for (auto const number : granted(decisions)) {
            m_sent_at[number] = now;
            m_at_server.push(number);
        }
        start_work(now);
    }

    auto start_work(double now) -> void
    {
        for (; m_ends.size() < slots && !m_at_server.empty(); m_at_server.pop())
            m_ends.emplace(now + m_work(m_random), m_at_server.front());
    }

    auto finish(double now) -> void
    {
        auto const number = m_ends.top().second;
        m_ends.pop();
        if (now - m_arrivals[number] <= target_ms)
            ++m_in_time;
        if (!m_coordinated)
            return start_work(now);
        auto const taken = static_cast<std::int64_t>(now - m_sent_at[number]);
        send(m_queue.release(key(number), served(taken), instant(now)), now);
    }

    bool const m_coordinated;
    std::mt19937_64 m_random {7};
    std::exponential_distribution<double> m_gap;
    std::lognormal_distribution<double> m_work {std::log(mean_ms) - 0.2, 0.63};
    ServerQueue m_queue {slots};
    std::vector<double> m_arrivals; ///< By request number.
    std::vector<double> m_sent_at;
    std::queue<std::uint64_t> m_at_server;
    std::priority_queue<End, std::vector<End>, std::greater<>> m_ends;
    std::size_t m_in_time = 0;
};

auto coordinated(double utilisation) -> double
{
    return LoadedServer(utilisation, true).share_in_time();
}

auto in_order_of_arrival(double utilisation) -> double
{
    return LoadedServer(utilisation, false).share_in_time();
}

} // namespace

// At twice the load, a queue in order of arrival answers almost everything late.
Test(server_queue, overload_serves_more_in_time_than_order_of_arrival)
{
    for (auto const utilisation : {1.0, 1.5, 2.0}) {
        auto const ordered = coordinated(utilisation);
        auto const arrival = in_order_of_arrival(utilisation);
        cr_log_info("%.1f: %.3f, %.3f", utilisation, ordered, arrival);
        cr_assert_gt(
            ordered, arrival, "At %.1f: %.3f, in order of arrival %.3f.", utilisation, ordered, arrival);
    }
    // The server can run half of what is asked; most of that is to be in time.
    cr_assert_gt(coordinated(2.0), 0.4);
}

Test(server_queue, calm_load_is_served_as_in_order_of_arrival)
{
    auto const ordered = coordinated(0.6);
    auto const arrival = in_order_of_arrival(0.6);
    cr_assert_gt(ordered, arrival - 0.01, "%.3f, in order of arrival %.3f", ordered, arrival);
}
