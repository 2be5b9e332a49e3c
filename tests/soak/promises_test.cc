#include "testbed/soak/promises.h"

#include <criterion/criterion.h>

#include <algorithm>

#include "testbed/soak/tenants.h"

using namespace graniteseam;
using namespace graniteseam::testbed;
using namespace graniteseam::testbed::soak;

namespace {

constexpr auto start = InstantFromMicros(1'000'000'000);

auto at(std::int64_t ms) -> Instant
{
    return start + std::chrono::milliseconds(ms);
}

auto answer(std::string attempt, bool may_repeat, int status) -> SeenAnswer
{
    return {std::move(attempt), may_repeat, status, true, at(0), at(10)};
}

auto run(std::string worker, std::string attempt, std::uint64_t fence, std::int64_t begun, std::int64_t ended)
    -> WorkerRun
{
    return {std::move(worker), std::move(attempt), 7, fence, at(begun), at(ended), "keyed"};
}

auto hold(std::string worker, std::uint64_t fence, std::int64_t since, std::int64_t until) -> WorkerHold
{
    return {std::move(worker), "keyed", {100, 200, fence, at(until), at(since)}};
}

/// A request on a kept connection to router 0 that ran, and whose connection was closed.
auto lose_on_kept_connection(Observed& seen, std::string const& attempt) -> void
{
    auto lost = answer(attempt, true, 0);
    lost.kept = lost.closed = true;
    lost.sent = at(10'100);
    lost.ended = at(10'150);
    seen.answers.push_back(lost);
    seen.runs.push_back(run("w-2", attempt, 8, 10'110, 10'140));
}

auto lose_four(Observed& seen) -> void
{
    for (auto const* attempt : {"k-1", "k-2", "k-3", "k-4"})
        lose_on_kept_connection(seen, attempt);
}

/// A request that was sent to router 0 at 10,100 ms, had no answer when its connection ended in order 300 ms
/// later, and reached no worker; the router had been told to stop 2.7 s before it was sent.
auto lose_around_a_stop(Observed& seen) -> SeenAnswer&
{
    auto lost = answer("s-1", true, 0);
    lost.closed = true;
    lost.sent = at(10'100);
    lost.ended = at(10'400);
    lost.known_open = std::chrono::milliseconds(280);
    seen.answers.push_back(lost);
    seen.stops = {{0, at(7'400)}};
    return seen.answers.back();
}

auto change(std::uint64_t base, std::uint64_t version, std::string body, std::int64_t ended) -> SeenChange
{
    return {base, version, std::move(body), true, at(ended - 5), at(ended)};
}

/// Requests of one service, one each 10 ms from 10 ms on, all of which are rejected. Each of the first
/// `repeated` arrives at a worker again at 10 s.
auto repeat_requests(Observed& seen, int requests, int repeated) -> void
{
    for (int i = 1; i <= requests; ++i) {
        auto sent = answer("q-" + std::to_string(i), true, 503);
        sent.service = "pool";
        sent.sent = at(i * 10);
        seen.answers.push_back(sent);
        seen.arrivals.push_back({"pool", sent.attempt, at(i * 10)});
        if (i <= repeated)
            seen.arrivals.push_back({"pool", sent.attempt, at(10'000)});
    }
}

/// Everything held.
auto whole() -> Observed
{
    Observed seen;
    seen.answers
        = {answer("a", true, 200), answer("b", false, 200), answer("c", false, 503), answer("d", true, 502)};
    seen.runs = {run("w-1", "a", 3, 0, 5), run("w-1", "b", 3, 6, 9), run("w-2", "d", 8, 20, 25),
        run("w-2", "d", 8, 30, 35)};
    seen.changes = {change(0, 1, "one", 10), change(0, 1, "one", 20), change(1, 3, "three", 30)};
    seen.reads = {{1, "one", at(15)}, {3, "three", at(40)}};
    seen.drains = {{"w-1", {}}};
    seen.holds = {hold("w-1", 3, 0, 10), hold("w-1", 3, 8, 15), hold("w-2", 8, 15, 60)};
    seen.asked_at_the_end = 100;
    seen.served_at_the_end = 100;
    return seen;
}

auto assert_only(Observed const& seen, std::string const& promise) -> void
{
    auto const breaches = check_promises(seen);
    cr_assert(!breaches.empty(), "%s was not found to be broken", promise.c_str());
    for (auto const& it : breaches)
        cr_assert(it.promise == promise, "%s: %s", it.promise.c_str(), it.detail.c_str());
}

} // namespace

Test(promises, nothing_is_said_of_a_run_in_which_everything_held)
{
    cr_assert(check_promises(whole()).empty());
}

Test(promises, second_run_of_what_may_not_be_repeated)
{
    auto seen = whole();
    seen.runs.push_back(run("w-2", "b", 8, 40, 45));
    assert_only(seen, "at_most_once");
}

Test(promises, run_of_a_request_that_was_refused_by_any_status_that_promises)
{
    for (auto const status : {408, 421, 429, 503}) {
        auto seen = whole();
        auto const refused = std::find_if(seen.answers.begin(), seen.answers.end(),
            [](auto const& answer) { return answer.attempt == "c"; });
        refused->status = status;
        seen.runs.push_back(run("w-2", "c", 8, 40, 45));
        assert_only(seen, "not_run");
    }
}

Test(promises, run_of_a_refused_request)
{
    auto seen = whole();
    seen.runs.push_back(run("w-2", "c", 8, 40, 45));
    assert_only(seen, "not_run");
}

Test(promises, answer_of_another_request_and_success_without_a_run)
{
    auto seen = whole();
    seen.answers[0].own = false;
    assert_only(seen, "own_answer");
    seen = whole();
    seen.answers.push_back(answer("e", true, 200));
    assert_only(seen, "own_answer");
}

Test(promises, answer_in_the_place_of_another_attempt_is_seen)
{
    auto seen = whole();
    seen.answers.front().out_of_order = true;
    assert_only(seen, "answers_in_order");
}

Test(promises, run_of_another_tenant_or_with_a_key_is_seen)
{
    auto seen = whole();
    seen.runs.front().tenant = "somebody";
    assert_only(seen, "own_tenant");
    seen = whole();
    seen.runs.front().saw_api_key = true;
    assert_only(seen, "key_hidden");
    seen = whole();
    auto const ran = std::find_if(seen.answers.begin(), seen.answers.end(),
        [&](auto const& it) { return it.attempt == seen.runs.front().attempt; });
    ran->unknown_key = true;
    assert_only(seen, "known_key");
}

Test(promises, more_than_a_quota_within_a_window_is_seen)
{
    auto seen = whole();
    auto const allowed = static_cast<std::int64_t>(allowed_in_window(limited_tenant()));
    auto const add = [&](std::int64_t number, std::int64_t ms) {
        auto const attempt = "q-" + std::to_string(number);
        seen.answers.push_back(answer(attempt, true, 200));
        seen.answers.back().tenant = limited_tenant().name;
        auto one = run("w-2", attempt, 8, ms, ms + 1);
        one.key.reset();
        one.tenant = limited_tenant().name;
        seen.runs.push_back(one);
    };
    for (std::int64_t number = 0; number < allowed; ++number)
        add(number, 10'000 + number);
    cr_assert(check_promises(seen).empty());
    // Within five seconds of the first.
    add(allowed, 14'999);
    assert_only(seen, "quota");
}

Test(promises, more_retries_in_a_window_than_its_requests_allow_are_seen)
{
    auto seen = whole();
    repeat_requests(seen, 1'000, 250);
    cr_assert(check_promises(seen).empty());
    seen = whole();
    repeat_requests(seen, 1'000, 251);
    assert_only(seen, "retries");
    // The requests of the window before count as well.
    for (auto& arrival : seen.arrivals) {
        if (arrival.at == at(10'000))
            arrival.at = at(19'000);
    }
    assert_only(seen, "retries");
}

Test(promises, run_that_nobody_asked_for)
{
    auto seen = whole();
    seen.runs.push_back(run("w-2", "z", 8, 40, 45));
    assert_only(seen, "asked_for");
}

Test(promises, two_owners_at_work_on_a_key)
{
    auto seen = whole();
    seen.answers.push_back(answer("e", true, 502));
    seen.runs.push_back(run("w-3", "e", 9, 33, 40));
    assert_only(seen, "one_owner");
}

Test(promises, key_that_goes_on_under_a_fence_that_is_not_higher)
{
    auto seen = whole();
    seen.answers.push_back(answer("e", true, 502));
    seen.runs.push_back(run("w-3", "e", 8, 50, 55));
    assert_only(seen, "fences_rise");
}

Test(promises, two_winners_on_one_version)
{
    auto seen = whole();
    seen.changes.push_back(change(1, 4, "rival", 50));
    assert_only(seen, "one_winner");
}

Test(promises, accepted_change_that_is_lost_or_reads_otherwise)
{
    auto seen = whole();
    seen.reads.push_back({1, "one", at(60)});
    assert_only(seen, "accepted_stays");
    seen = whole();
    seen.reads.push_back({3, "other", at(60)});
    assert_only(seen, "accepted_stays");
}

Test(promises, work_after_a_drain_and_a_fleet_that_does_not_recover)
{
    auto seen = whole();
    seen.drains[0].late_arrivals = {"a"};
    assert_only(seen, "drained_rests");
    seen = whole();
    seen.served_at_the_end = 24;
    assert_only(seen, "recovers");
}

Test(promises, process_that_holds_more_than_its_machine_has)
{
    for (auto const& [program, bound] :
        {std::pair {"router", router_memory_bytes}, {"control", control_memory_bytes}}) {
        auto seen = whole();
        seen.memory.push_back({program, 2, bound});
        cr_assert(check_promises(seen).empty());
        seen.memory.push_back({program, 2, bound + 1});
        assert_only(seen, "memory");
    }
}

Test(promises, same_key_number_of_two_services_is_two_keys)
{
    auto seen = whole();
    seen.answers.push_back(answer("e", true, 502));
    seen.runs.push_back(run("w-3", "e", 2, 33, 40));
    seen.runs.back().service = "leased";
    seen.holds.push_back(hold("w-3", 2, 20, 50));
    seen.holds.back().service = "leased";
    cr_assert(check_promises(seen).empty());
}

Test(promises, keys_held_by_two_at_once_without_any_request)
{
    auto seen = whole();
    seen.holds.push_back(hold("w-3", 9, 59, 70));
    assert_only(seen, "held_alone");
}

Test(promises, keys_taken_by_another_instance_under_an_equal_or_a_lower_fence)
{
    auto seen = whole();
    seen.holds.push_back(hold("w-3", 8, 61, 70));
    assert_only(seen, "held_under_higher_fence");
    seen = whole();
    seen.holds.push_back(hold("w-3", 7, 61, 70));
    assert_only(seen, "held_under_higher_fence");
    seen = whole();
    seen.holds.push_back(hold("w-3", 9, 61, 70));
    cr_assert(check_promises(seen).empty());
}

Test(promises, keys_taken_under_a_fence_of_long_ago)
{
    // Not the last holder's fence, but that of one before it.
    auto seen = whole();
    seen.holds.push_back(hold("w-3", 3, 70, 80));
    assert_only(seen, "held_under_higher_fence");
}

Test(promises, keys_that_come_back_to_the_same_instance_under_its_own_fence_are_the_same_grant)
{
    auto seen = whole();
    seen.holds.push_back(hold("w-2", 8, 90, 95));
    cr_assert(check_promises(seen).empty());
}

Test(promises, grant_just_after_its_sender_went_on_does_not_count)
{
    auto seen = whole();
    seen.holds.push_back(hold("w-3", 8, 1'200, 1'300));
    seen.thaws = {at(1'000)};
    cr_assert(check_promises(seen).empty());
    seen.thaws = {at(800)};
    assert_only(seen, "held_under_higher_fence");
}

Test(promises, kept_connections_closed_without_an_answer_more_than_three_times)
{
    auto seen = whole();
    lose_four(seen);
    assert_only(seen, "kept_is_answered");
    seen.answers.back().closed = false;
    cr_assert(check_promises(seen).empty());
}

Test(promises, close_that_crosses_a_request_does_not_count)
{
    auto seen = whole();
    lose_four(seen);
    seen.runs.pop_back();
    cr_assert(lost_on_kept_connections(seen).size() == 3);
    cr_assert(check_promises(seen).empty());
}

Test(promises, close_by_a_disturbed_router_or_beside_a_worker_that_ended_does_not_count)
{
    auto seen = whole();
    lose_four(seen);
    seen.disturbances = {{0, at(7'500), at(8'000)}};
    cr_assert(check_promises(seen).empty());
    seen.disturbances = {{1, at(7'500), at(8'000)}};
    assert_only(seen, "kept_is_answered");
    seen.disturbances = {{0, at(5'500), at(6'000)}};
    assert_only(seen, "kept_is_answered");
    seen.worker_ends["w-2"] = at(10'145);
    cr_assert(check_promises(seen).empty());
}

/// Guards against requests that lie unread in the sockets of a router when it closes its connections.
Test(promises, read_request_without_an_answer_around_a_stop)
{
    auto seen = whole();
    lose_around_a_stop(seen);
    assert_only(seen, "read_is_answered");
    // At the end of the time that the router may still take, and after it.
    seen.stops = {{0, at(3'400)}};
    assert_only(seen, "read_is_answered");
    seen.stops = {{0, at(3'399)}};
    cr_assert(check_promises(seen).empty());
    seen.stops = {{0, at(10'401)}};
    cr_assert(check_promises(seen).empty());
    seen.stops = {{1, at(7'400)}};
    cr_assert(check_promises(seen).empty());
}

Test(promises, request_whose_connection_stayed_open_is_no_loss)
{
    auto seen = whole();
    lose_around_a_stop(seen).closed = false;
    cr_assert(check_promises(seen).empty());
}

Test(promises, request_that_crosses_the_end_of_its_connection_does_not_count)
{
    auto seen = whole();
    auto& lost = lose_around_a_stop(seen);
    lost.known_open = std::chrono::milliseconds(200);
    cr_assert(check_promises(seen).empty());
    lost.known_open = std::chrono::milliseconds(201);
    assert_only(seen, "read_is_answered");
}

Test(promises, request_that_a_worker_ran_counts_however_soon_its_connection_ended)
{
    auto seen = whole();
    auto& lost = lose_around_a_stop(seen);
    lost.known_open = {};
    lost.reset = true;
    lost.ended = at(10'150);
    seen.runs.push_back(run("w-2", "s-1", 8, 10'110, 10'140));
    assert_only(seen, "read_is_answered");
    seen.worker_ends["w-2"] = at(10'145);
    cr_assert(check_promises(seen).empty());
    seen.worker_ends["w-2"] = at(10'160);
    assert_only(seen, "read_is_answered");
}

Test(promises, reset_of_a_connection_whose_request_reached_no_worker_does_not_count)
{
    auto seen = whole();
    lose_around_a_stop(seen).reset = true;
    cr_assert(check_promises(seen).empty());
}

Test(promises, loss_by_a_disturbed_router_or_after_the_deadline_does_not_count)
{
    auto seen = whole();
    lose_around_a_stop(seen);
    seen.disturbances = {{0, at(7'050), at(7'100)}};
    cr_assert(check_promises(seen).empty());
    seen.disturbances = {{0, at(10'400), at(10'500)}};
    cr_assert(check_promises(seen).empty());
    seen.disturbances = {{1, at(7'050), at(7'100)}};
    assert_only(seen, "read_is_answered");
    seen.disturbances = {{0, at(7'050), at(7'099)}};
    assert_only(seen, "read_is_answered");
    seen.answers.back().ended = at(12'099);
    assert_only(seen, "read_is_answered");
    seen.answers.back().ended = at(12'100);
    cr_assert(check_promises(seen).empty());
}

Test(promises, request_at_which_a_worker_still_worked_near_the_end_of_a_stop_does_not_count)
{
    auto seen = whole();
    auto& lost = lose_around_a_stop(seen);
    lost.sent = at(13'000);
    lost.ended = at(14'900);
    seen.stops = {{0, at(10'000)}};
    seen.runs.push_back(run("w-2", "s-1", 8, 13'010, 15'001));
    cr_assert(check_promises(seen).empty());
    seen.runs.back().ended = at(15'000);
    assert_only(seen, "read_is_answered");
    seen.runs.back().ended = at(15'001);
    lost.sent = at(13'001);
    assert_only(seen, "read_is_answered");
}

Test(promises, read_request_without_an_answer_around_a_reload)
{
    auto seen = whole();
    lose_around_a_stop(seen);
    seen.stops.clear();
    cr_assert(check_promises(seen).empty());
    seen.reloads = {{0, at(8'100)}};
    assert_only(seen, "read_is_answered");
    seen.reloads = {{0, at(8'099)}};
    cr_assert(check_promises(seen).empty());
    seen.reloads = {{0, at(10'401)}};
    cr_assert(check_promises(seen).empty());
    seen.reloads = {{1, at(8'100)}};
    cr_assert(check_promises(seen).empty());
}

Test(promises, read_request_without_an_answer_around_a_change_of_the_configuration)
{
    auto seen = whole();
    lose_around_a_stop(seen);
    seen.stops.clear();
    seen.changes.push_back(change(3, 4, "four", 7'400));
    assert_only(seen, "read_is_answered");
    seen.changes.back() = change(3, 4, "four", 7'399);
    cr_assert(check_promises(seen).empty());
    seen.changes.back() = change(3, 4, "four", 10'500);
    cr_assert(check_promises(seen).empty());
    // It had been sent before, and had no clear answer.
    auto unanswered = change(3, 4, "four", 10'000);
    unanswered.accepted = false;
    seen.changes.insert(seen.changes.end() - 1, unanswered);
    assert_only(seen, "read_is_answered");
}

Test(promises, work_after_a_drain_that_a_disturbed_router_sent_does_not_count)
{
    auto seen = whole();
    seen.drains[0].late_arrivals = {"a"};
    seen.disturbances = {{0, at(-500), at(5)}};
    cr_assert(check_promises(seen).empty());
    seen.disturbances = {{1, at(-500), at(5)}};
    assert_only(seen, "drained_rests");
}

Test(promises, a_request_that_ended_no_worker_is_not_quarantined)
{
    Observed seen;
    seen.answers.push_back(answer("a-1", true, 503));
    cr_assert(check_promises(seen).empty());
    seen.answers.back().quarantined = true;
    cr_assert_eq(check_promises(seen).front().promise, "spared");
}

namespace {

/// A fleet that is calm from the start: everything settled at 0, and observed for 20 s.
auto calm() -> Observed
{
    Observed seen;
    seen.settled = at(0);
    seen.ended = at(20'000);
    seen.asked_at_the_end = seen.served_at_the_end = 1;
    return seen;
}

auto probe(std::uint32_t router, int status, std::int64_t acknowledged, std::int64_t sent) -> SeenProbe
{
    SeenProbe probe;
    probe.answer.attempt = "p-0";
    probe.answer.router = router;
    probe.answer.status = status;
    probe.answer.sent = at(sent);
    probe.version = 7;
    probe.acknowledged = at(acknowledged);
    return probe;
}

auto breaks(Observed const& seen, std::string const& promise) -> bool
{
    auto const breaches = check_promises(seen);
    return std::any_of(
        breaches.begin(), breaches.end(), [&](auto const& it) { return it.promise == promise; });
}

} // namespace

Test(promises, accepted_change_that_a_router_in_touch_does_not_know_breaks_in_force)
{
    auto seen = calm();
    seen.probes = {probe(3, 404, 5'000, 7'600)};
    cr_assert(breaks(seen, "in_force"));
    seen.probes = {probe(3, 200, 5'000, 7'600)};
    cr_assert(!breaks(seen, "in_force"));
    seen.probes = {probe(3, 503, 5'000, 7'600)};
    cr_assert(!breaks(seen, "in_force"));
    seen.probes[0].answer.unconfirmed = true;
    cr_assert(breaks(seen, "in_force"));
}

Test(promises, router_out_of_touch_and_disturbed_control_excuse_an_old_configuration)
{
    auto seen = calm();
    seen.probes = {probe(3, 404, 5'000, 7'600)};
    seen.disturbances = {{3, at(4'000), at(5'000)}};
    cr_assert(!breaks(seen, "in_force"));
    seen.disturbances = {{2, at(4'000), at(5'000)}};
    cr_assert(breaks(seen, "in_force"));
    seen.core_disturbances = {{at(1'000), at(3'000)}};
    cr_assert(!breaks(seen, "in_force"));
}

Test(promises, strained_control_excuses_refusals_and_slow_answers_and_no_older_configuration)
{
    auto seen = calm();
    seen.core_strains = {{at(4'000), at(6'000)}};
    seen.probes = {probe(3, 503, 5'000, 7'600)};
    seen.probes[0].answer.unconfirmed = true;
    cr_assert(!breaks(seen, "in_force"));
    seen.probes = {probe(3, 404, 5'000, 7'600)};
    cr_assert(breaks(seen, "in_force"));
    seen.probes.clear();
    seen.changes = {{4, 5, "body", false, at(6'000), at(7'000), false}};
    seen.read_tries = {{at(6'000), at(7'000), false}, {at(7'100), at(8'000), false}};
    cr_assert(!breaks(seen, "acknowledged") && !breaks(seen, "readable"));
    seen.core_strains.clear();
    cr_assert(breaks(seen, "acknowledged") && breaks(seen, "readable"));
}

/// Guards against groups without a leader that pass since each change was first sent in a disturbance.
Test(promises, change_that_is_resent_in_calm_without_a_clear_answer_breaks_acknowledged)
{
    auto seen = calm();
    seen.core_disturbances = {{at(2'000), at(3'000)}};
    seen.changes = {{4, 5, "body", false, at(2'500), at(2'600), false},
        {4, 5, "body", false, at(6'500), at(6'600), false}};
    cr_assert(!breaks(seen, "acknowledged"));
    seen.changes.push_back({4, 5, "body", false, at(10'500), at(10'600), false});
    seen.ended = at(11'000);
    cr_assert(breaks(seen, "acknowledged"));
    seen.changes.insert(seen.changes.begin() + 2, {4, 5, "body", true, at(8'000), at(8'100), false});
    cr_assert(!breaks(seen, "acknowledged"));
}

Test(promises, change_without_a_clear_answer_in_calm_breaks_acknowledged)
{
    auto seen = calm();
    seen.changes = {{4, 5, "body", false, at(6'000), at(7'000), false}};
    cr_assert(breaks(seen, "acknowledged"));
    auto resent = seen;
    resent.changes.push_back({4, 5, "body", true, at(7'500), at(9'900), false});
    cr_assert(!breaks(resent, "acknowledged"));
    resent.changes.back().ended = at(10'100);
    cr_assert(breaks(resent, "acknowledged"));
    auto refused = seen;
    refused.changes[0].refused = true;
    cr_assert(!breaks(refused, "acknowledged"));
    seen.core_disturbances = {{at(8'000), at(8'500)}};
    cr_assert(!breaks(seen, "acknowledged"));
}

Test(promises, configuration_that_nobody_tells_in_calm_breaks_readable)
{
    auto seen = calm();
    seen.read_tries = {{at(6'000), at(7'000), false}, {at(7'100), at(8'000), false}};
    cr_assert(breaks(seen, "readable"));
    seen.read_tries.push_back({at(8'100), at(8'200), true});
    cr_assert(!breaks(seen, "readable"));
    seen.read_tries.pop_back();
    seen.core_disturbances = {{at(4'000), at(4'500)}};
    cr_assert(!breaks(seen, "readable"));
}

Test(promises, request_that_goes_on_to_end_workers_breaks_contained)
{
    auto seen = calm();
    auto const crash = [&](std::int64_t ms) {
        auto const attempt = "x-" + std::to_string(seen.crashes.size());
        seen.crashes.push_back({"w-" + attempt, "/safe/crashing-0", attempt, at(ms)});
        SeenAnswer answer;
        answer.attempt = attempt;
        answer.crashes = answer.quarantined = true;
        seen.answers.push_back(answer);
    };
    for (std::int64_t ms : {1'000, 2'000, 3'000, 4'000, 5'500, 7'000, 8'000, 9'000})
        crash(ms);
    cr_assert(!breaks(seen, "contained"));
    crash(10'000);
    cr_assert(breaks(seen, "contained"));
    cr_assert(!breaks(seen, "spared"));
    auto without_leader = seen;
    without_leader.core_disturbances = {{at(2'500), at(6'500)}};
    cr_assert(!breaks(without_leader, "contained"));
    without_leader.core_disturbances = {{at(500), at(1'500)}};
    cr_assert(breaks(without_leader, "contained"));
    seen.answers.back().crashes = false;
    cr_assert(breaks(seen, "spared"));
}

namespace {

/// A worker that named a limit of one a second from 0 s to 20 s, and was reached each 100 ms by router 0.
auto limited_worker(Observed& seen) -> WorkerStated
{
    WorkerStated stated {"w-1", 1.0, at(0), at(20'000)};
    for (std::int64_t ms = 0; ms < 20'000; ms += 100) {
        auto const attempt = "a-" + std::to_string(ms);
        seen.answers.push_back(answer(attempt, true, 200));
        seen.answers.back().ended = at(ms + 20);
        seen.runs.push_back(run("w-1", attempt, 8, ms, ms + 10));
        stated.arrivals.emplace_back(at(ms), attempt);
    }
    return stated;
}

} // namespace

/// Guards against a soak that does not see a worker flooded while it warms up.
Test(promises, breach_of_the_bound_of_a_warm_up_is_found)
{
    Observed seen;
    WorkerStated stated {"w-1"};
    for (std::int64_t ms = 0; ms < 5'000; ms += 70)
        stated.arrivals.emplace_back(at(ms), "a-" + std::to_string(ms));
    seen.stated.push_back(stated);
    cr_assert(!breaks(seen, "warm_up"), "it was warm");
    seen.stated[0].warm_at = at(3'000);
    cr_assert(breaks(seen, "warm_up"), "15 in a second");
    seen.stated[0].warm_at = at(970);
    cr_assert(!breaks(seen, "warm_up"), "14 before it was warm");
}

Test(promises, breach_of_a_limit_by_routers_that_were_told_is_found)
{
    Observed seen;
    seen.stated.push_back(limited_worker(seen));
    cr_assert(breaks(seen, "limit"));
    auto rare = seen;
    rare.stated[0].limit_per_second = 10;
    cr_assert(!breaks(rare, "limit"));
    auto untold = seen;
    for (auto& one : untold.answers)
        one.status = 503;
    cr_assert(!breaks(untold, "limit"));
    seen.disturbances.push_back({0, at(1'000), at(30'000)});
    cr_assert(!breaks(seen, "limit"));
}

Test(promises, breach_of_a_rest_by_the_router_that_was_asked_is_found)
{
    Observed seen;
    WorkerStated stated {"w-1"};
    for (auto const& [attempt, ms] : {std::pair {"a", 0}, {"b", 600}, {"c", 900}, {"d", 2'000}}) {
        seen.answers.push_back(answer(attempt, true, 503));
        stated.arrivals.emplace_back(at(ms), attempt);
    }
    stated.rests.push_back({"a", at(0), std::chrono::seconds(3)});
    seen.stated.push_back(stated);
    cr_assert(breaks(seen, "rest"));
    seen.answers.back().router = 1;
    cr_assert(!breaks(seen, "rest"));
}

Test(promises, request_to_a_worker_that_said_long_ago_that_it_leaves_is_found)
{
    Observed seen;
    WorkerStated stated {"w-1"};
    stated.leaving_from = at(0);
    seen.answers.push_back(answer("a", true, 200));
    seen.runs.push_back(run("w-1", "a", 8, 0, 10));
    seen.answers.push_back(answer("b", true, 200));
    seen.answers.back().sent = at(2'100);
    stated.arrivals.emplace_back(at(2'110), "b");
    seen.stated.push_back(stated);
    cr_assert(breaks(seen, "leaving"));
    seen.answers.back().sent = at(1'900);
    cr_assert(!breaks(seen, "leaving"));
}

/// Guards against a check that lets a cut excuse requests to a worker that leaves, or counts successes alone.
Test(promises, request_to_a_worker_that_leaves_is_found_after_a_failed_answer_and_beside_a_cut)
{
    Observed seen;
    WorkerStated stated {"w-1"};
    stated.leaving_from = at(0);
    seen.answers.push_back(answer("a", true, 500));
    seen.runs.push_back(run("w-1", "a", 8, 0, 10));
    seen.answers.push_back(answer("b", true, 200));
    seen.answers.back().sent = at(2'100);
    stated.arrivals.emplace_back(at(2'110), "b");
    seen.stated.push_back(stated);
    cr_assert(!breaks(seen, "leaving"));
    seen.answers.front().sealed = true;
    cr_assert(breaks(seen, "leaving"));
    seen.disturbances.push_back({0, at(500), at(1'500), true});
    cr_assert(breaks(seen, "leaving"));
    seen.disturbances.push_back({0, at(600), at(700)});
    cr_assert(!breaks(seen, "leaving"));
}
