/// @file
/// What must always hold, checked from what callers, workers and operators saw on their own sockets.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "graniteseam/common/time.h"
#include "testbed/registered/worker.h"

namespace graniteseam::testbed::soak {

/// One attempt as its caller saw it.
struct SeenAnswer {
    std::string attempt;
    bool may_repeat = true;
    int status = 0; ///< 0: no answer.
    bool own = true; ///< A success carried this attempt's id, a seal and the worker's body.
    Instant sent {};
    Instant ended {};
};

/// One change of the configuration, or one resend of it, as the operator saw it.
struct SeenChange {
    std::uint64_t base = 0;
    std::uint64_t version = 0;
    std::string body;
    bool accepted = false;
    Instant sent {};
    Instant ended {};
};

/// One read of the configuration that was answered.
struct SeenRead {
    std::uint64_t version = 0;
    std::string body;
    Instant sent {};
};

/// A worker's word that it leaves.
struct SeenDrain {
    std::string worker;
    std::size_t late_arrivals = 0; ///< Requests that came later than the allowance after the acknowledgement.
};

struct Observed {
    std::vector<SeenAnswer> answers;
    std::vector<WorkerRun> runs;
    std::vector<SeenChange> changes;
    std::vector<SeenRead> reads;
    std::vector<SeenDrain> drains;
    std::uint64_t served_at_the_end = 0; ///< Successes after all faults were undone.
    std::uint64_t asked_at_the_end = 0;
};

/// A promise that was not kept.
struct Breach {
    std::string promise; ///< For example "at_most_once".
    std::string detail;
};

/// @return all that was not kept; empty when everything held.
auto check_promises(Observed const&) -> std::vector<Breach>;

} // namespace graniteseam::testbed::soak
