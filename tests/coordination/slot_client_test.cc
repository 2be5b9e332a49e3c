// What a gateway does when coordinators answer, are silent, restart or lose messages.
#include "src/coordination/slot_client.h"

#include <criterion/criterion.h>

#include <string>

using namespace graniteseam;
using namespace graniteseam::coordination;

namespace {

constexpr Instant start = InstantFromMicros(1'000'000'000);
constexpr std::uint64_t client_incarnation = 11;
constexpr std::uint64_t first_incarnation = 21;
constexpr std::uint64_t second_incarnation = 22;

auto at(std::int64_t ms) -> Instant
{
    return start + std::chrono::milliseconds(ms);
}

auto coordinator(std::string const& name) -> traffic::GatewayPeer
{
    return {{name}, name + ":1", {"z-1"}, 1};
}

auto const first = coordinator("c-1");
auto const second = coordinator("c-2");

auto request() -> SlotRequest
{
    SlotRequest request;
    request.service = {"reads"};
    request.instance = {"s-1"};
    request.slots = 3;
    request.target_left_us = 800'000;
    request.time_left_us = 5'000'000;
    request.hold_us = 1'250'000;
    return request;
}

auto answer(std::uint64_t number, SlotVerdict verdict, std::int64_t start_in_ms = 0) -> SlotAnswer
{
    SlotAnswer answer;
    answer.number = number;
    answer.verdict = verdict;
    answer.start_in_us = start_in_ms * 1'000;
    return answer;
}

auto batch(std::vector<SlotAnswer> answers, std::uint64_t incarnation = first_incarnation,
    traffic::GatewayPeer const& from = first) -> SlotBatch
{
    SlotBatch batch;
    batch.sender = from.id;
    batch.incarnation = incarnation;
    batch.answers = std::move(answers);
    return batch;
}

/// A client whose messages to all coordinators are collected.
struct Client {
    SlotClient client {{"g-1"}, client_incarnation};
    std::vector<SlotRequest> requests; ///< Of the last take().
    std::vector<SlotRelease> releases;

    auto ask(std::int64_t ms, traffic::GatewayPeer const& peer = first) -> std::uint64_t
    {
        auto const number = client.ask(peer, request(), at(ms));
        take();
        return number;
    }

    auto take() -> void
    {
        requests.clear();
        releases.clear();
        for (auto const& send : client.take_sends()) {
            cr_assert_eq(send.batch.incarnation, client_incarnation);
            requests.insert(requests.end(), send.batch.requests.begin(), send.batch.requests.end());
            releases.insert(releases.end(), send.batch.releases.begin(), send.batch.releases.end());
        }
    }

    auto answered(SlotAnswer const& answer, std::int64_t ms, std::uint64_t incarnation = first_incarnation)
        -> std::vector<SlotResult>
    {
        auto results = client.on_batch(batch({answer}, incarnation), at(ms));
        take();
        return results;
    }

    auto tick(std::int64_t ms) -> std::vector<SlotResult>
    {
        auto results = client.tick(at(ms));
        take();
        return results;
    }

    auto suspend(std::int64_t ms) -> void
    {
        ask(ms);
        ask(ms);
        cr_assert_eq(tick(ms + 100).size(), 2);
        cr_assert_not(client.may_ask(first.id, at(ms + 100)));
    }
};

} // namespace

Test(slot_client, granted_request_ends_with_its_release)
{
    Client client;
    auto const number = client.ask(0);
    auto const results = client.answered(answer(number, SlotVerdict::kGranted), 4);
    cr_assert_eq(results.size(), 1);
    cr_assert(results[0].kind == SlotResult::Kind::kGranted);
    cr_assert(results[0].waited == std::chrono::milliseconds(4));
    cr_assert(client.client.next_tick() == Instant::max(), "A grant has no time limit here.");
    SlotRelease release;
    release.number = number;
    release.outcome = SlotOutcome::kServed;
    client.client.end(release);
    client.take();
    cr_assert(client.releases == std::vector {release});
    cr_assert_eq(client.client.open(), 0);
}

Test(slot_client, rejected_request_is_over_and_needs_no_release)
{
    Client client;
    auto const number = client.ask(0);
    auto rejection = answer(number, SlotVerdict::kRejected);
    rejection.retry_after_us = 300'000;
    auto const results = client.answered(rejection, 4);
    cr_assert(results.at(0).kind == SlotResult::Kind::kRejected);
    cr_assert(results[0].retry_after == std::chrono::milliseconds(300));
    SlotRelease release;
    release.number = number;
    client.client.end(release);
    client.take();
    cr_assert(client.releases.empty());
}

Test(slot_client, silent_coordinator_costs_a_request_one_time_limit)
{
    Client client;
    auto const number = client.ask(0);
    cr_assert(client.client.next_tick() == at(100));
    cr_assert(client.tick(99).empty());
    auto const results = client.tick(100);
    cr_assert_eq(results.size(), 1);
    cr_assert(results[0].kind == SlotResult::Kind::kUnanswered);
    cr_assert_eq(client.releases.size(), 1, "The slot request is withdrawn.");
    cr_assert_eq(client.releases[0].number, number);
    cr_assert(client.releases[0].outcome == SlotOutcome::kUnused);
    cr_assert(client.client.next_tick() == Instant::max());
    cr_assert(client.client.may_ask(first.id, at(100)), "One silence may be chance.");
    cr_assert(client.client.take_silent().empty());
}

Test(slot_client, coordinator_that_is_silent_twice_is_suspended_and_its_connection_closed)
{
    Client client;
    client.ask(0);
    client.tick(100);
    client.ask(150);
    client.tick(250);
    cr_assert_not(client.client.may_ask(first.id, at(250)));
    cr_assert_not(client.client.may_ask(first.id, at(1'249)));
    cr_assert(client.client.may_ask(second.id, at(250)), "Others are asked as before.");
    cr_assert(client.client.take_silent() == std::vector {first.address});
    cr_assert(client.client.take_silent().empty(), "Each silence is reported once.");
    cr_assert(client.client.may_ask(first.id, at(1'250)));
}

// All its slot requests are overdue then, and its coordinators' answers wait in its sockets.
Test(slot_client, gateway_that_stood_still_reads_answers_before_it_suspends_coordinators)
{
    Client client;
    auto const number = client.ask(0);
    client.ask(1);
    cr_assert(client.tick(300).empty(), "Given up before the answers that arrived meanwhile were read.");
    cr_assert_eq(client.answered(answer(number, SlotVerdict::kGranted), 301).size(), 1);
    cr_assert_eq(client.tick(320).size(), 1, "The other one stays unanswered.");
    cr_assert(client.client.may_ask(first.id, at(320)));
}

Test(slot_client, silence_with_an_answer_between_suspends_nobody)
{
    Client client;
    client.ask(0);
    client.tick(100);
    client.answered(answer(client.ask(150), SlotVerdict::kGranted), 160);
    client.ask(200);
    client.tick(300);
    cr_assert(client.client.may_ask(first.id, at(300)));
}

Test(slot_client, suspended_coordinator_is_probed_by_one_request_at_a_time)
{
    Client client;
    client.suspend(0);
    cr_assert(client.client.may_ask(first.id, at(1'100)));
    client.ask(1'100);
    cr_assert_not(client.client.may_ask(first.id, at(1'110)), "A second probe beside the first one.");
    client.tick(1'200);
    cr_assert_not(client.client.may_ask(first.id, at(2'199)), "A failed probe suspends it again.");
    cr_assert(client.client.may_ask(first.id, at(2'200)));
    auto const number = client.ask(2'200);
    client.answered(answer(number, SlotVerdict::kGranted), 2'210);
    client.ask(2'220);
    cr_assert(client.client.may_ask(first.id, at(2'220)), "It answered and is used again.");
}

// A coordinator that was frozen and resumed answers everything that has arrived meanwhile.
Test(slot_client, late_answer_to_a_withdrawn_request_is_ignored)
{
    Client client;
    auto const number = client.ask(0);
    client.tick(100);
    cr_assert(client.answered(answer(number, SlotVerdict::kGranted), 400).empty());
    cr_assert_eq(client.client.open(), 0);
    cr_assert(client.client.next_tick() == Instant::max());
}

Test(slot_client, answer_of_another_coordinator_than_the_asked_one_is_ignored)
{
    Client client;
    auto const number = client.ask(0);
    client.ask(0, second);
    auto const stray = batch({answer(number, SlotVerdict::kGranted)}, first_incarnation, second);
    cr_assert(client.client.on_batch(stray, at(4)).empty());
    cr_assert(client.answered(answer(number, SlotVerdict::kGranted), 5).size() == 1);
}

Test(slot_client, repeated_grant_is_reported_once)
{
    Client client;
    auto const number = client.ask(0);
    cr_assert_eq(client.answered(answer(number, SlotVerdict::kGranted), 4).size(), 1);
    cr_assert(client.answered(answer(number, SlotVerdict::kGranted), 5).empty());
}

Test(slot_client, lost_grant_is_asked_for_again_under_the_same_number)
{
    Client client;
    auto const number = client.ask(0);
    cr_assert_eq(client.answered(answer(number, SlotVerdict::kQueued, 200), 4).size(), 1);
    cr_assert(client.client.next_tick() == at(304));
    cr_assert(client.tick(303).empty());
    cr_assert(client.requests.empty());
    cr_assert(client.tick(304).empty());
    cr_assert_eq(client.requests.size(), 1);
    cr_assert_eq(client.requests[0].number, number);
    cr_assert_eq(client.requests[0].hold_us, 1'250'000 - 304'000, "With the times that are left.");
    cr_assert_eq(client.requests[0].time_left_us, 5'000'000 - 304'000);
    cr_assert_eq(client.requests[0].target_left_us, 800'000 - 304'000);
    auto const results = client.answered(answer(number, SlotVerdict::kGranted), 308);
    cr_assert(results.at(0).kind == SlotResult::Kind::kGranted);
    cr_assert(results[0].start_error == std::chrono::milliseconds(104));
}

Test(slot_client, lost_grant_is_given_up_when_the_repeated_request_is_not_answered)
{
    Client client;
    auto const number = client.ask(0);
    client.answered(answer(number, SlotVerdict::kQueued, 200), 4);
    client.tick(304);
    cr_assert(client.tick(403).empty());
    auto const results = client.tick(404);
    cr_assert_eq(results.size(), 1);
    cr_assert(results[0].kind == SlotResult::Kind::kUnanswered);
    cr_assert_eq(client.releases.size(), 1);
    cr_assert_eq(client.client.open(), 0);
}

Test(slot_client, restarted_coordinator_is_asked_again_for_what_waited_at_the_former_incarnation)
{
    Client client;
    auto const waiting = client.ask(0);
    client.answered(answer(waiting, SlotVerdict::kQueued, 500), 4);
    auto const granted = client.ask(10);
    client.answered(answer(granted, SlotVerdict::kGranted), 14);
    auto const later = client.ask(200);
    client.answered(answer(later, SlotVerdict::kQueued, 100), 204, second_incarnation);
    cr_assert_eq(client.requests.size(), 1, "Neither the granted one nor the one answered just now.");
    cr_assert_eq(client.requests[0].number, waiting);
    cr_assert(client.client.next_tick() == at(304));
}

Test(slot_client, open_requests_stay_with_their_coordinator_when_new_ones_go_to_another)
{
    Client client;
    auto const number = client.ask(0);
    client.answered(answer(number, SlotVerdict::kQueued, 200), 4);
    client.ask(10, second);
    cr_assert(client.answered(answer(number, SlotVerdict::kGranted), 50).size() == 1);
    SlotRelease release;
    release.number = number;
    client.client.end(release);
    auto const sends = client.client.take_sends();
    cr_assert_eq(sends.size(), 1);
    cr_assert_eq(sends[0].address, first.address);
}

Test(slot_client, senseless_times_in_answers_leave_finite_timers)
{
    Client client;
    for (auto const time : {INT64_MIN, std::int64_t {-1}, INT64_MAX}) {
        auto const number = client.ask(0);
        auto senseless = answer(number, SlotVerdict::kQueued);
        senseless.start_in_us = time;
        client.answered(senseless, 1);
        cr_assert_geq(client.client.next_tick(), at(100));
        cr_assert_leq(client.client.next_tick(), at(3'600'000 + 101));
        senseless.verdict = SlotVerdict::kRejected;
        senseless.retry_after_us = time;
        auto const results = client.answered(senseless, 2);
        cr_assert_geq(results.at(0).retry_after.count(), 0);
    }
    cr_assert_eq(client.client.open(), 0);
}

// The coordinator handles releases first: a request that follows its own withdrawal would be granted, and the
// slot stay taken until the end of its time.
Test(slot_client, request_that_ends_before_it_is_sent_is_not_sent)
{
    Client client;
    auto const kept = client.client.ask(first, request(), at(0));
    SlotRelease release;
    release.number = client.client.ask(first, request(), at(0));
    client.client.end(release);
    client.take();
    cr_assert_eq(client.requests.size(), 1);
    cr_assert_eq(client.requests[0].number, kept);
    cr_assert(client.releases.empty());
}

Test(slot_client, request_that_ends_before_it_is_repeated_is_only_withdrawn)
{
    Client client;
    auto const number = client.ask(0);
    client.answered(answer(number, SlotVerdict::kQueued, 200), 4);
    client.client.tick(at(304));
    SlotRelease release;
    release.number = number;
    client.client.end(release);
    client.take();
    cr_assert(client.requests.empty());
    cr_assert(client.releases == std::vector {release});
}

// A request that the new incarnation has just answered would be decided on twice, and the second grant be
// used by nobody.
Test(slot_client, restarted_coordinator_is_not_asked_again_for_what_it_answers_just_then)
{
    Client client;
    auto const number = client.ask(0);
    client.answered(answer(number, SlotVerdict::kQueued, 100), 4);
    client.tick(204);
    cr_assert_eq(client.requests.size(), 1, "The grant is lost with the coordinator.");
    client.answered(answer(number, SlotVerdict::kRejected), 208, second_incarnation);
    cr_assert(client.requests.empty());
    cr_assert_eq(client.client.open(), 0);
}

// Each name in a message of a faulty or foreign gateway was kept for good.
Test(slot_client, answers_of_gateways_that_were_never_asked_leave_no_state)
{
    Client client;
    for (int number = 0; number < 100; ++number) {
        auto const stranger = coordinator("x-" + std::to_string(number));
        client.client.on_batch(batch({answer(1, SlotVerdict::kGranted)}, 1, stranger), at(number));
    }
    cr_assert_eq(client.client.coordinators(), 0);
}

// Gateways that are replaced under new names, over months.
Test(slot_client, coordinators_of_the_past_are_forgotten)
{
    Client client;
    client.suspend(0);
    for (int number = 0; number < 3'000; ++number) {
        auto const peer = coordinator("x-" + std::to_string(number));
        SlotRelease release;
        release.number = client.ask(200, peer);
        client.client.on_batch(batch({answer(release.number, SlotVerdict::kGranted)}, 1, peer), at(200));
        client.client.end(release);
        client.take();
    }
    cr_assert_leq(client.client.coordinators(), 1'024);
    cr_assert_not(client.client.may_ask(first.id, at(200)), "It is suspended still.");
}

// The coordinator was killed after it had answered with a time far off.
Test(slot_client, queued_request_waits_no_longer_than_its_hold_time)
{
    Client client;
    auto const number = client.ask(0);
    client.answered(answer(number, SlotVerdict::kQueued, 4'000), 4);
    cr_assert(client.client.next_tick() == at(1'350));
    auto const results = client.tick(1'350);
    cr_assert_eq(results.size(), 1);
    cr_assert(results[0].kind == SlotResult::Kind::kUnanswered);
    cr_assert_eq(client.releases.size(), 1);
}

// A coordinator that estimates wrongly each time would be asked again without end.
Test(slot_client, request_that_is_queued_again_and_again_ends_with_its_hold_time)
{
    Client client;
    auto const number = client.ask(0);
    std::int64_t ms = 4;
    std::size_t ended = 0;
    for (; ended == 0 && ms < 5'000; ms += 4) {
        client.answered(answer(number, SlotVerdict::kQueued, 10), ms);
        ms = (client.client.next_tick() - start) / std::chrono::milliseconds(1);
        ended = client.tick(ms).size();
    }
    cr_assert_eq(ended, 1);
    cr_assert_leq(ms, 1'460);
}
