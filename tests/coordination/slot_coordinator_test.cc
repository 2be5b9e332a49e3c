// What a coordinator does with the slot requests of many gateways, and when gateways or messages are lost.
#include "src/coordination/slot_coordinator.h"

#include <criterion/criterion.h>

#include <boost/describe/enum_to_string.hpp>
#include <map>
#include <string>

using namespace graniteseam;
using namespace graniteseam::coordination;

namespace {

constexpr Instant start = InstantFromMicros(1'000'000'000);
constexpr std::uint64_t coordinator_incarnation = 21;
constexpr std::uint32_t slots = 3;
constexpr std::uint32_t grants_maximum = slots + 1;

auto at(std::int64_t ms) -> Instant
{
    return start + std::chrono::milliseconds(ms);
}

auto request(std::uint64_t number, std::string const& server = "s-1") -> SlotRequest
{
    SlotRequest request;
    request.number = number;
    request.service = {"reads"};
    request.instance = {server};
    request.slots = slots;
    request.target_left_us = 800'000;
    request.time_left_us = 5'000'000;
    request.hold_us = 1'250'000;
    return request;
}

auto release(std::uint64_t number, SlotOutcome outcome = SlotOutcome::kUnused) -> SlotRelease
{
    SlotRelease release;
    release.number = number;
    release.outcome = outcome;
    return release;
}

auto served(std::uint64_t number, double running, double waiting) -> SlotRelease
{
    auto served = release(number, SlotOutcome::kServed);
    served.served_us = 250'000;
    served.has_load = true;
    served.running = running;
    served.waiting = waiting;
    served.slots = slots;
    return served;
}

/// A coordinator whose answers are collected by the address that they go to.
struct Coordinator {
    SlotCoordinator coordinator {{"c-1"}, coordinator_incarnation};
    std::map<std::string, std::vector<SlotAnswer>> answers; ///< Of the last event.

    auto collect(std::vector<SlotSend> const& sends) -> void
    {
        answers.clear();
        for (auto const& send : sends) {
            cr_assert_eq(send.batch.sender.value, "c-1");
            cr_assert_eq(send.batch.incarnation, coordinator_incarnation);
            cr_assert_not(answers.contains(send.address), "Two batches to one gateway.");
            answers[send.address] = send.batch.answers;
        }
    }

    /// Messages of a gateway, from an address that is its name with a "#".
    auto receive(std::string const& gateway, std::vector<SlotRequest> requests,
        std::vector<SlotRelease> releases, std::int64_t ms, std::uint64_t incarnation = 1) -> void
    {
        SlotBatch batch {{gateway}, incarnation, std::move(requests), std::move(releases), {}};
        collect(coordinator.on_batch("#" + gateway, batch, at(ms)));
    }

    auto tick(std::int64_t ms) -> void { collect(coordinator.tick(at(ms))); }

    /// The verdict on a request of a gateway in the last event.
    auto verdict(std::string const& gateway, std::uint64_t number) const -> std::string
    {
        auto const found = answers.find("#" + gateway);
        if (found == answers.end())
            return "none";
        for (auto const& answer : found->second) {
            if (answer.number == number)
                return boost::describe::enum_to_string(answer.verdict, "unknown");
        }
        return "none";
    }

    /// Takes all slots of a server for a gateway, with the numbers from 1 on.
    auto fill(std::string const& gateway, std::int64_t ms = 0) -> void
    {
        for (std::uint64_t number = 1; number <= grants_maximum; ++number) {
            receive(gateway, {request(number)}, {}, ms);
            cr_assert_eq(verdict(gateway, number), "kGranted");
        }
    }
};

} // namespace

Test(slot_coordinator, slots_are_shared_by_all_gateways_that_ask)
{
    Coordinator coordinator;
    for (std::uint32_t gateway = 1; gateway <= grants_maximum; ++gateway) {
        auto const name = "g-" + std::to_string(gateway);
        coordinator.receive(name, {request(1)}, {}, 0);
        cr_assert_eq(coordinator.verdict(name, 1), "kGranted");
    }
    coordinator.receive("g-9", {request(1)}, {}, 1);
    cr_assert_eq(coordinator.verdict("g-9", 1), "kQueued");
    cr_assert_eq(coordinator.coordinator.queued(), 1);
    coordinator.receive("g-2", {}, {release(1)}, 2);
    cr_assert_eq(coordinator.verdict("g-9", 1), "kGranted", "A freed slot goes to another gateway.");
    cr_assert_eq(coordinator.coordinator.queued(), 0);
}

Test(slot_coordinator, servers_have_slots_of_their_own)
{
    Coordinator coordinator;
    coordinator.fill("g-1");
    coordinator.receive("g-1", {request(9, "s-2")}, {}, 1);
    cr_assert_eq(coordinator.verdict("g-1", 9), "kGranted");
}

Test(slot_coordinator, messages_of_one_event_to_one_gateway_share_a_batch)
{
    Coordinator coordinator;
    coordinator.receive("g-1", {request(1), request(2), request(3)}, {}, 0);
    cr_assert_eq(coordinator.answers.at("#g-1").size(), 3);
}

Test(slot_coordinator, repeated_slot_request_takes_no_second_slot)
{
    Coordinator coordinator;
    for (int repetition = 0; repetition < 10; ++repetition) {
        coordinator.receive("g-1", {request(1)}, {}, repetition);
        cr_assert_eq(coordinator.verdict("g-1", 1), "kGranted");
    }
    for (std::uint64_t number = 2; number <= grants_maximum; ++number) {
        coordinator.receive("g-1", {request(number)}, {}, 20);
        cr_assert_eq(coordinator.verdict("g-1", number), "kGranted");
    }
    coordinator.receive("g-1", {request(9)}, {}, 21);
    coordinator.receive("g-1", {request(9)}, {}, 22);
    cr_assert_eq(coordinator.verdict("g-1", 9), "kQueued");
    cr_assert_eq(coordinator.coordinator.queued(), 1);
}

Test(slot_coordinator, lost_grant_is_granted_again_when_the_request_is_repeated)
{
    Coordinator coordinator;
    coordinator.fill("g-1");
    coordinator.receive("g-2", {request(1)}, {}, 10);
    coordinator.receive("g-1", {}, {release(1)}, 20);
    cr_assert_eq(coordinator.verdict("g-2", 1), "kGranted");
    coordinator.receive("g-2", {request(1)}, {}, 200);
    cr_assert_eq(coordinator.verdict("g-2", 1), "kGranted");
}

Test(slot_coordinator, answers_follow_a_gateway_to_its_new_connection)
{
    Coordinator coordinator;
    coordinator.fill("g-1");
    coordinator.receive("g-2", {request(1)}, {}, 10);
    SlotBatch const again {{"g-2"}, 1, {request(2)}, {}, {}};
    coordinator.collect(coordinator.coordinator.on_batch("#7", again, at(20)));
    coordinator.receive("g-1", {}, {release(1)}, 30);
    cr_assert(coordinator.answers.contains("#7"));
}

Test(slot_coordinator, withdrawal_of_a_queued_request_leaves_its_place)
{
    Coordinator coordinator;
    coordinator.fill("g-1");
    coordinator.receive("g-2", {request(1)}, {}, 10);
    coordinator.receive("g-2", {}, {release(1)}, 20);
    cr_assert_eq(coordinator.coordinator.queued(), 0);
    coordinator.receive("g-1", {}, {release(1)}, 30);
    cr_assert(coordinator.answers.empty(), "A withdrawn request was granted.");
}

Test(slot_coordinator, release_with_an_unknown_number_is_ignored)
{
    Coordinator coordinator;
    coordinator.fill("g-1");
    coordinator.receive("g-2", {request(1)}, {}, 10);
    coordinator.receive("g-1", {}, {release(77), release(0)}, 20);
    coordinator.receive("g-3", {}, {release(1)}, 30);
    cr_assert(coordinator.answers.empty());
    cr_assert_eq(coordinator.coordinator.queued(), 1);
}

Test(slot_coordinator, wait_that_ends_is_rejected_by_the_timer)
{
    Coordinator coordinator;
    coordinator.fill("g-1");
    coordinator.receive("g-2", {request(1)}, {}, 0);
    cr_assert_eq(coordinator.verdict("g-2", 1), "kQueued");
    int ticks = 0;
    for (; coordinator.coordinator.queued() > 0 && ticks < 20; ++ticks) {
        auto const due = coordinator.coordinator.next_tick();
        cr_assert_leq(due, at(1'250));
        coordinator.collect(coordinator.coordinator.tick(due));
    }
    cr_assert_eq(coordinator.verdict("g-2", 1), "kRejected");
    cr_assert_lt(ticks, 5);
}

Test(slot_coordinator, killed_gateway_loses_its_grants_when_it_is_listed_no_more)
{
    Coordinator coordinator;
    coordinator.fill("g-1");
    coordinator.receive("g-2", {request(1)}, {}, 10);
    coordinator.collect(coordinator.coordinator.forget_gateway({"g-1"}, at(2'000)));
    cr_assert_eq(coordinator.verdict("g-2", 1), "kRejected", "It waited longer than its hold time.");
    coordinator.receive("g-2", {request(2)}, {}, 2'001);
    cr_assert_eq(coordinator.verdict("g-2", 2), "kGranted");
}

Test(slot_coordinator, gateway_listed_no_more_leaves_its_slots_to_those_that_wait)
{
    Coordinator coordinator;
    coordinator.fill("g-1");
    coordinator.receive("g-1", {request(9)}, {}, 5);
    coordinator.receive("g-2", {request(1)}, {}, 10);
    coordinator.collect(coordinator.coordinator.forget_gateway({"g-1"}, at(100)));
    cr_assert_eq(coordinator.verdict("g-2", 1), "kGranted");
    cr_assert_eq(coordinator.answers.size(), 1, "The gateway that is gone got an answer.");
    cr_assert_eq(coordinator.coordinator.queued(), 0);
}

Test(slot_coordinator, killed_gateway_loses_its_grants_when_it_restarts)
{
    Coordinator coordinator;
    coordinator.fill("g-1");
    coordinator.receive("g-2", {request(1)}, {}, 10);
    coordinator.receive("g-1", {request(1)}, {}, 300, 2);
    cr_assert_eq(coordinator.verdict("g-2", 1), "kGranted");
    cr_assert_eq(coordinator.verdict("g-1", 1), "kGranted");
}

Test(slot_coordinator, killed_gateway_that_nobody_reports_loses_its_grants_after_their_time)
{
    Coordinator coordinator;
    coordinator.fill("g-1");
    auto const due = coordinator.coordinator.next_tick();
    cr_assert(due == at(5'500));
    coordinator.tick(5'500);
    cr_assert(coordinator.coordinator.next_tick() == Instant::max());
    coordinator.receive("g-2", {request(1)}, {}, 5'501);
    cr_assert_eq(coordinator.verdict("g-2", 1), "kGranted");
}

Test(slot_coordinator, lost_releases_are_noticed_by_the_load_of_the_server)
{
    Coordinator coordinator;
    coordinator.fill("g-1");
    coordinator.receive("g-2", {request(1), request(2)}, {}, 10);
    // Three of the four requests ended; the releases of two were lost.
    coordinator.receive("g-1", {}, {served(4, 1, 0)}, 300);
    cr_assert_eq(coordinator.verdict("g-2", 1), "kGranted");
    cr_assert_eq(coordinator.verdict("g-2", 2), "kGranted");
}

// For up to a second after a change of the list, a server may have two coordinators.
Test(slot_coordinator, two_coordinators_of_one_server_hold_back_by_its_load)
{
    Coordinator one;
    Coordinator other;
    one.fill("g-1");
    other.fill("g-2");
    // The server runs three requests, and the queue there has the other five.
    other.receive("g-2", {}, {served(1, 3, 5)}, 250);
    one.receive("g-1", {}, {served(1, 3, 4)}, 250);
    one.receive("g-1", {request(9)}, {}, 251);
    other.receive("g-2", {request(9)}, {}, 251);
    cr_assert_eq(one.verdict("g-1", 9), "kQueued");
    cr_assert_eq(other.verdict("g-2", 9), "kQueued");
}

Test(slot_coordinator, restarted_coordinator_starts_empty_and_takes_repeated_requests)
{
    Coordinator before;
    before.fill("g-1");
    before.receive("g-2", {request(1)}, {}, 10);
    Coordinator after;
    after.receive("g-1", {}, {served(1, 3, 0)}, 20);
    cr_assert(after.answers.empty(), "Grants of the former coordinator are unknown here.");
    after.receive("g-2", {request(1)}, {}, 30);
    cr_assert_eq(after.verdict("g-2", 1), "kGranted");
}

Test(slot_coordinator, server_that_is_gone_leaves_no_timers)
{
    Coordinator coordinator;
    coordinator.fill("g-1");
    coordinator.receive("g-2", {request(1)}, {}, 10);
    coordinator.coordinator.forget_server({"s-1"});
    cr_assert_eq(coordinator.coordinator.queued(), 0);
    cr_assert(coordinator.coordinator.next_tick() == Instant::max());
    coordinator.receive("g-1", {}, {release(1)}, 20);
    cr_assert(coordinator.answers.empty());
}

Test(slot_coordinator, answers_in_a_batch_are_ignored)
{
    Coordinator coordinator;
    SlotBatch const batch {{"g-1"}, 1, {}, {}, {SlotAnswer {}}};
    coordinator.collect(coordinator.coordinator.on_batch("#g-1", batch, at(0)));
    cr_assert(coordinator.answers.empty());
}

// Nothing else was heard of the gateway for a minute: the grant had no address to go to.
Test(slot_coordinator, gateway_with_a_long_wait_gets_its_grant)
{
    Coordinator coordinator;
    auto patient = request(1);
    patient.target_left_us = patient.time_left_us = patient.hold_us = 300'000'000;
    for (patient.number = 1; patient.number <= grants_maximum; ++patient.number)
        coordinator.receive("g-1", {patient}, {}, 0);
    coordinator.receive("g-2", {patient}, {}, 0);
    cr_assert_eq(coordinator.verdict("g-2", patient.number), "kQueued");
    for (std::int64_t ms = 10'000; ms <= 100'000; ms += 10'000)
        coordinator.receive("g-1", {}, {}, ms);
    coordinator.receive("g-1", {}, {release(1)}, 100'001);
    cr_assert_eq(coordinator.verdict("g-2", patient.number), "kGranted");
}
