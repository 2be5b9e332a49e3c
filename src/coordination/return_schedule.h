/// @file
/// Spreads the return times of rejected callers over the time in which a server is expected to have room.
#pragma once

#include <cstdint>
#include <map>

#include "graniteseam/common/time.h"

namespace graniteseam::coordination {

/// Return times that were handed out for one server. Callers that are all told the same time return together
/// and are rejected together again.
///
/// Deterministic; not thread safe; `now` must not decrease.
class ReturnSchedule {
public:
    /// Chooses the earliest time in a step that has room, and takes a place in that step.
    /// @param earliest when the server is expected to have room.
    /// @param latest the longest that the caller honours; returned when no earlier step has room.
    /// @param per_step how many requests the server can start in one step.
    auto book(Instant earliest, Instant latest, double per_step, Instant now) -> Instant;

    static constexpr Duration step {100'000};

private:
    std::map<std::int64_t, std::uint32_t> m_booked; ///< Returns by number of the step.
};

} // namespace graniteseam::coordination
