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

/// Whether nothing disturbed the control group from `contact` before an instant until another one.
inline auto core_is_calm(Observed const& seen, Instant from, Instant until) -> bool
{
    return from - contact >= seen.settled
        && std::none_of(seen.core_disturbances.begin(), seen.core_disturbances.end(),
            [&](auto const& it) { return it.begun <= until && from <= it.ended + contact; });
}

} // namespace graniteseam::testbed::soak
