/// @file
/// How large a soaked fleet is and what load it gets: drawn from a run's seed.
#pragma once

#include <cstdint>
#include <optional>

#include "graniteseam/common/time.h"

namespace graniteseam::testbed::soak {

struct RunShape {
    std::uint32_t controls = 3;
    std::uint32_t routers = 3;
    std::uint32_t keyed_workers = 4;
    std::uint32_t leased_workers = 4;
    std::uint32_t pool_workers = 2;
    std::uint32_t pooled_callers = 2;
    std::uint32_t kept_callers = 5;
    std::uint32_t fresh_callers = 2;
    std::uint32_t ahead_callers = 1; ///< That send requests of all kinds ahead.
    std::uint32_t limited_callers = 2; ///< Whose tenant may send far less than they do.
    std::uint32_t safe_ahead_callers = 1; ///< That send only such ahead as may be repeated.
    std::uint32_t hesitant_callers = 0;
    std::uint32_t resting_callers = 0; ///< For each router, with stopping.
    std::uint32_t long_ahead_callers = 0; ///< The same, at times more than a router runs in parallel.
    std::uint32_t faults = 20;
    Duration heartbeat {200'000};
    std::uint32_t losses_tolerated = 1;
    double processor = 1; ///< Part of a core that each control process may use; 1: not limited.
    double router_processor = 1; ///< The same of routers.
    double router_link_mbps = 0; ///< Bandwidth of each router's link, each way; 0: not limited.
    bool silencing = false; ///< Open connections to control fall silent for good at times.
    bool starving = false; ///< Control processes are short of processor time at times.
    bool crashing = false; ///< Some requests end each worker that runs them.
    bool stating = false; ///< Workers name limits, ask for rests and say that they leave.
    bool warming = false; ///< Workers warm up after their starts.
    bool stopping = false; ///< Only planned faults, and callers that send around a router's close.
    bool coordinating = false; ///< Routers coordinate admission at the workers of the leased service.
    std::uint32_t unsafe_callers = 0; ///< That send only requests which may run once.
    bool faulty_answers = false; ///< Workers reject requests and spoil answers.
    std::uint32_t hostile_clients = 0; ///< Threads, with a connection each, that keep to no limit.
    bool rejecting = false; ///< Workers reject requests, and all routers start again soon after.
    bool replacing = false; ///< Control processes are replaced for good until none of the first is left.
    Duration list_lag {0}; ///< By which lists of control processes that are told to others are late.
    bool crowded = false; ///< Faults of many workers at once.
    Duration operator_pause {250'000}; ///< Between two changes that are no series.

    auto operator==(RunShape const&) const -> bool = default;
};

enum class RunSize {
    Small,
    Large,
    Crowd, ///< Six control processes of which five vote, 100 routers, hundreds of workers, little processor.
    Wide, ///< Three control processes, 93 routers on small machines and links under load, 264 workers.
};

/// @param size drawn from the seed, one in four large and none a crowd, where none is given.
auto draw_shape(std::uint64_t seed, std::optional<RunSize> size) -> RunShape;

/// Of the same size, for series of planned stops: more routers at least than the smallest, with little
/// processor time, and callers that send around their close.
auto for_stopping(RunShape) -> RunShape;

/// Of the same size, for routers that start again as workers reject requests: with callers enough that the
/// bound on retries depends on their requests.
auto for_rejecting(RunShape) -> RunShape;

/// Of the same size, for workers that reject requests and spoil answers: with callers whose requests may
/// run once only.
auto for_faulty_answers(RunShape) -> RunShape;

/// Of the same size, for control processes that are replaced at other addresses: six of which five vote, or
/// three, as the seed draws.
auto for_replacing(RunShape, std::uint64_t seed) -> RunShape;

/// Processes that such a run starts.
auto processes_of(RunShape const&) -> std::uint32_t;

auto workers_of(RunShape const&) -> std::uint32_t;

} // namespace graniteseam::testbed::soak
