/// @file
/// When the users' rules hold: who was disturbed lately.
#pragma once

#include <algorithm>

#include "testbed/soak/promises.h"

namespace graniteseam::testbed::soak {

/// A machine counts as in touch again so long after what disturbed it.
inline constexpr Duration contact {3'000'000};

/// Whether nothing disturbed a router from `contact` before an instant until another one.
inline auto in_touch(Observed const& seen, std::uint32_t router, Instant from, Instant until) -> bool
{
    return std::none_of(seen.disturbances.begin(), seen.disturbances.end(), [&](auto const& it) {
        return it.router == router && it.begun <= until && from <= it.ended + contact;
    });
}

/// Whether no span of these reaches from `contact` before an instant until another one.
inline auto none_within(std::vector<SeenCoreDisturbance> const& spans, Instant from, Instant until) -> bool
{
    return std::none_of(spans.begin(), spans.end(),
        [&](auto const& it) { return it.begun <= until && from <= it.ended + contact; });
}

/// Whether nothing disturbed the control group from `contact` before an instant until another one.
inline auto core_is_calm(Observed const& seen, Instant from, Instant until) -> bool
{
    return from - contact >= seen.settled && none_within(seen.core_disturbances, from, until);
}

/// Whether the control group was calm and had its processor time as well.
inline auto core_is_unstrained(Observed const& seen, Instant from, Instant until) -> bool
{
    return core_is_calm(seen, from, until) && none_within(seen.core_strains, from, until);
}

} // namespace graniteseam::testbed::soak
