#include "testbed/soak/run_shape.h"

#include <algorithm>
#include <random>

namespace graniteseam::testbed::soak {

namespace {

    constexpr std::uint64_t large_one_in = 4;
    /// Apart from the numbers that the plan of faults is drawn from.
    constexpr std::uint64_t shape_salt = 0x5eed'0f5a'4a9e'0001;

    constexpr std::uint64_t replacing_salt = 0x5eed'0f5a'4a9e'0002;

    template<class Between>
    auto draw_crowd(Between const& between) -> RunShape
    {
        RunShape shape;
        shape.crowded = true;
        shape.crashing = true;
        shape.controls = 6;
        shape.losses_tolerated = 2;
        shape.routers = 100;
        auto const workers = between(200, 330);
        shape.keyed_workers = workers * 2 / 5;
        shape.leased_workers = workers / 10;
        shape.pool_workers = workers - shape.keyed_workers - shape.leased_workers;
        shape.pooled_callers = 1;
        shape.kept_callers = 12;
        shape.fresh_callers = 2;
        shape.faults = 10;
        // As on the users' machines.
        shape.heartbeat = Duration {1'300'000};
        shape.operator_pause = Duration {1'000'000};
        constexpr double hundredth = 0.01;
        shape.processor = between(6, 12) * hundredth;
        return shape;
    }

    /// The users' deployment with the most routers for three control processes.
    auto wide_shape() -> RunShape
    {
        RunShape shape;
        shape.routers = 93;
        shape.keyed_workers = 123;
        shape.leased_workers = 30;
        shape.pool_workers = 111;
        shape.pooled_callers = 2;
        shape.kept_callers = 60;
        shape.fresh_callers = 2;
        shape.heartbeat = Duration {870'000};
        shape.operator_pause = Duration {330'000};
        shape.processor = 0.3;
        shape.router_processor = 0.1;
        shape.router_link_mbps = 2;
        return shape;
    }

} // namespace

auto draw_shape(std::uint64_t seed, std::optional<RunSize> size) -> RunShape
{
    std::mt19937_64 random(seed ^ shape_salt);
    auto const between = [&](std::uint32_t least, std::uint32_t most) {
        return least + static_cast<std::uint32_t>(random() % (most - least + 1));
    };
    auto const drawn = random() % large_one_in == 0 ? RunSize::Large : RunSize::Small;
    RunShape shape;
    if (size.value_or(drawn) == RunSize::Small) {
        shape.keyed_workers = between(2, 6);
        shape.leased_workers = between(2, 6);
        shape.pool_workers = between(2, 3);
        return shape;
    }
    if (size == RunSize::Crowd)
        return draw_crowd(between);
    if (size == RunSize::Wide)
        return wide_shape();
    shape.routers = between(9, 20);
    auto const workers = between(60, 150);
    shape.pool_workers = workers / 6;
    shape.keyed_workers = between(workers / 4, workers / 2);
    shape.leased_workers = workers - shape.pool_workers - shape.keyed_workers;
    shape.pooled_callers = 3;
    shape.kept_callers = shape.routers;
    shape.fresh_callers = 4;
    shape.faults = 45;
    shape.heartbeat = Duration {800'000};
    return shape;
}

auto for_stopping(RunShape shape) -> RunShape
{
    constexpr std::uint32_t routers_least = 6;
    // Together these make a router's event loop late by some 100 ms.
    constexpr std::uint32_t resting_callers = 200;
    constexpr double router_processor = 0.03;
    shape.stopping = true;
    shape.routers = std::max(shape.routers, routers_least);
    shape.router_processor = router_processor;
    shape.kept_callers += shape.routers;
    shape.hesitant_callers = 4;
    shape.resting_callers = resting_callers;
    shape.faults = 16;
    return shape;
}

auto for_rejecting(RunShape shape) -> RunShape
{
    constexpr std::uint32_t further_callers = 25;
    shape.rejecting = true;
    shape.kept_callers += further_callers;
    return shape;
}

auto for_faulty_answers(RunShape shape) -> RunShape
{
    constexpr std::uint32_t unsafe_callers = 24;
    shape.faulty_answers = true;
    shape.unsafe_callers = unsafe_callers;
    return shape;
}

auto for_replacing(RunShape shape, std::uint64_t seed) -> RunShape
{
    std::mt19937_64 random(seed ^ replacing_salt);
    constexpr std::uint32_t faults_beside = 14;
    shape.replacing = true;
    if (random() % 2 == 0) {
        shape.controls = 6;
        shape.losses_tolerated = 2;
    }
    shape.faults = shape.controls + faults_beside;
    // As on the users' platform.
    shape.list_lag = Duration {3'000'000};
    return shape;
}

auto processes_of(RunShape const& shape) -> std::uint32_t
{
    return shape.controls + shape.routers;
}

auto workers_of(RunShape const& shape) -> std::uint32_t
{
    return shape.keyed_workers + shape.leased_workers + shape.pool_workers;
}

} // namespace graniteseam::testbed::soak
