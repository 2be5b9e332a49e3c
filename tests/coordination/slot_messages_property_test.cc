// Messages of faulty or foreign gateways: whatever arrives is refused or leaves bounded state and timers.
#include "src/coordination/slot_messages.h"

#include <criterion/criterion.h>
#include <rapidcheck.h>

#include <algorithm>
#include <cmath>
#include <limits>
#include <string>

#include "graniteseam/codec/codec.h"
#include "src/coordination/slot_client.h"
#include "src/coordination/slot_coordinator.h"
#include "tests/support/fixed_seed.h"

using namespace graniteseam;
using namespace graniteseam::coordination;

namespace {

constexpr Instant start = InstantFromMicros(1'000'000'000);
/// Longest time in a message that is honoured, with the time until its release is given up.
constexpr Duration timer_maximum {3'601'000'000};
constexpr std::size_t waiting_maximum = 512; ///< Of one server.
constexpr int servers = 3;

auto times() -> rc::Gen<std::int64_t>
{
    return rc::gen::oneOf(rc::gen::element<std::int64_t>(INT64_MIN, INT64_MIN + 1, -1, 0, 1, INT64_MAX),
        rc::gen::inRange<std::int64_t>(-1'000'000, 10'000'000), rc::gen::arbitrary<std::int64_t>());
}

auto reals() -> rc::Gen<double>
{
    using limits = std::numeric_limits<double>;
    return rc::gen::oneOf(rc::gen::element(0.0, -1.0, 1e300, limits::infinity(), -limits::infinity(),
                              limits::quiet_NaN(), limits::denorm_min()),
        rc::gen::map(rc::gen::inRange(0, 40), [](int value) { return static_cast<double>(value); }));
}

auto numbers() -> rc::Gen<std::uint64_t>
{
    return rc::gen::oneOf(
        rc::gen::inRange<std::uint64_t>(0, 12), rc::gen::element<std::uint64_t>(0, UINT64_MAX));
}

auto names(std::string const& prefix, int count) -> rc::Gen<std::string>
{
    return rc::gen::map(
        rc::gen::inRange(0, count), [prefix](int number) { return prefix + std::to_string(number); });
}

auto requests() -> rc::Gen<SlotRequest>
{
    return rc::gen::exec([] {
        SlotRequest request;
        request.number = *numbers();
        request.instance = {*names("s-", servers)};
        request.slots = *rc::gen::element<std::uint32_t>(0, 1, 3, 5, UINT32_MAX);
        request.priority = *times();
        request.target_left_us = *times();
        request.time_left_us = *times();
        request.hold_us = *times();
        return request;
    });
}

auto releases() -> rc::Gen<SlotRelease>
{
    return rc::gen::exec([] {
        SlotRelease release;
        release.number = *numbers();
        release.outcome = *rc::gen::element(
            SlotOutcome::kServed, SlotOutcome::kNotRun, SlotOutcome::kUnused, SlotOutcome::kLost);
        release.served_us = *times();
        release.has_load = *rc::gen::arbitrary<bool>();
        release.running = *reals();
        release.waiting = *reals();
        release.slots = *reals();
        return release;
    });
}

auto answers() -> rc::Gen<SlotAnswer>
{
    return rc::gen::exec([] {
        SlotAnswer answer;
        answer.number = *numbers();
        answer.verdict
            = *rc::gen::element(SlotVerdict::kGranted, SlotVerdict::kQueued, SlotVerdict::kRejected);
        answer.start_in_us = *times();
        answer.retry_after_us = *times();
        answer.queued = *rc::gen::arbitrary<std::uint32_t>();
        return answer;
    });
}

auto batches() -> rc::Gen<SlotBatch>
{
    return rc::gen::exec([] {
        SlotBatch batch;
        batch.sender = {*names("g-", 3)};
        batch.incarnation = *rc::gen::element<std::uint64_t>(0, 1, 2);
        batch.requests = *rc::gen::container<std::vector<SlotRequest>>(requests());
        batch.releases = *rc::gen::container<std::vector<SlotRelease>>(releases());
        batch.answers = *rc::gen::container<std::vector<SlotAnswer>>(answers());
        return batch;
    });
}

/// Decodes bytes to a batch that encodes again, or to a typed error.
auto check_decoding(std::string const& bytes) -> void
{
    auto const outcome = Attempt([&] { return codec::Decode<SlotBatch>(bytes); });
    if (auto const* const error = ErrorOf(outcome)) {
        RC_ASSERT(error->kind == ErrorKind::kMalformedMessage || error->kind == ErrorKind::kTooLarge);
        return;
    }
    auto const encoded = codec::Encode(std::get<SlotBatch>(outcome));
    auto const again = Attempt([&] { return codec::Decode<SlotBatch>(encoded); });
    RC_ASSERT(ErrorOf(again) == nullptr);
}

/// Handles all timers; each must advance the time, and they must end.
template<class Module>
auto run_timers(Module& module, Instant& now) -> void
{
    constexpr int ticks_maximum = 20'000;
    for (int ticks = 0; module.next_tick() != Instant::max(); ++ticks) {
        RC_ASSERT(ticks < ticks_maximum);
        RC_ASSERT(module.next_tick() <= now + timer_maximum);
        now = std::max(now, module.next_tick());
        module.tick(now);
        RC_ASSERT(module.next_tick() > now);
    }
}

} // namespace

Test(slot_messages, random_bytes_are_refused_or_give_a_batch)
{
    auto const held = rc::check([](std::string const& bytes) { check_decoding(bytes); });
    cr_assert(held);
}

Test(slot_messages, mutated_batches_are_refused_or_give_a_batch)
{
    auto const held = rc::check([] {
        auto bytes = codec::Encode(*batches());
        auto const mutations = *rc::gen::inRange(1, 4);
        for (int mutation = 0; mutation < mutations && !bytes.empty(); ++mutation) {
            auto const at = *rc::gen::inRange<std::size_t>(0, bytes.size());
            switch (*rc::gen::inRange(0, 3)) {
            case 0:
                bytes[at] = *rc::gen::arbitrary<char>();
                break;
            case 1:
                bytes.erase(at);
                break;
            default:
                bytes.insert(at, *rc::gen::arbitrary<std::string>());
            }
        }
        check_decoding(bytes);
    });
    cr_assert(held);
}

Test(slot_messages, batch_reads_back_as_it_was_written)
{
    auto const held = rc::check([] {
        auto batch = *batches();
        for (auto& release : batch.releases) {
            release.running = std::isnan(release.running) ? 0 : release.running; // NaN equals nothing.
            release.waiting = std::isnan(release.waiting) ? 0 : release.waiting;
            release.slots = std::isnan(release.slots) ? 0 : release.slots;
        }
        auto const read = Attempt([&] { return codec::Decode<SlotBatch>(codec::Encode(batch)); });
        RC_ASSERT(std::get<SlotBatch>(read) == batch);
    });
    cr_assert(held);
}

Test(slot_messages, any_batches_leave_a_coordinator_with_bounded_queues_and_timers_that_end)
{
    auto const held = rc::check([](std::vector<std::uint16_t> const& gaps_ms) {
        SlotCoordinator coordinator({"c-1"}, 9);
        auto now = start;
        for (auto const gap : gaps_ms) {
            now += std::chrono::milliseconds(gap);
            auto const batch = *batches();
            for (auto const& send : coordinator.on_batch("#" + batch.sender.value, batch, now)) {
                for (auto const& answer : send.batch.answers) {
                    RC_ASSERT(answer.retry_after_us >= 0);
                    RC_ASSERT(answer.retry_after_us <= timer_maximum.count());
                }
            }
            RC_ASSERT(coordinator.queued() <= servers * waiting_maximum);
            if (*rc::gen::arbitrary<bool>() && coordinator.next_tick() <= now)
                coordinator.tick(now);
        }
        run_timers(coordinator, now);
        RC_ASSERT(coordinator.queued() == 0U);
        coordinator.forget_gateway({"g-0"}, now);
        coordinator.forget_server({"s-0"});
        RC_ASSERT(coordinator.next_tick() == Instant::max());
    });
    cr_assert(held);
}

Test(slot_messages, any_batches_leave_a_client_with_bounded_state_and_timers_that_end)
{
    auto const held = rc::check([](std::vector<std::uint16_t> const& gaps_ms) {
        SlotClient client({"g-9"}, 9);
        auto now = start;
        for (auto const gap : gaps_ms) {
            now += std::chrono::milliseconds(gap);
            auto const coordinator = *names("g-", 2);
            if (client.may_ask({coordinator}, now)) {
                auto request = *requests();
                request.target_left_us = 800'000;
                request.time_left_us = 5'000'000;
                request.hold_us = *rc::gen::inRange(0, 2'000'000);
                client.ask({{coordinator}, coordinator + ":1", {"z-1"}, 1}, request, now);
            }
            for (auto const& result : client.on_batch(*batches(), now)) {
                RC_ASSERT(result.start_in >= Duration {} && result.start_in <= timer_maximum);
                RC_ASSERT(result.retry_after >= Duration {} && result.retry_after <= timer_maximum);
            }
            RC_ASSERT(client.open() <= gaps_ms.size());
            RC_ASSERT(client.coordinators() <= 2U);
            if (*rc::gen::arbitrary<bool>() && client.next_tick() <= now)
                client.tick(now);
            client.take_sends();
        }
        run_timers(client, now);
        RC_ASSERT(now <= start + timer_maximum + std::chrono::milliseconds(65'535) * gaps_ms.size());
    });
    cr_assert(held);
}
