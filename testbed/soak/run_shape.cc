#include "testbed/soak/run_shape.h"

#include <random>

namespace graniteseam::testbed::soak {

namespace {

    constexpr std::uint64_t large_one_in = 4;
    /// Apart from the numbers that the plan of faults is drawn from.
    constexpr std::uint64_t shape_salt = 0x5eed'0f5a'4a9e'0001;

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

auto processes_of(RunShape const& shape) -> std::uint32_t
{
    return shape.controls + shape.routers;
}

auto workers_of(RunShape const& shape) -> std::uint32_t
{
    return shape.keyed_workers + shape.leased_workers + shape.pool_workers;
}

} // namespace graniteseam::testbed::soak
