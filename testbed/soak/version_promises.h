/// @file
/// What a router's handling of changing paths tells of the version that it goes by.
#pragma once

#include <cstdint>
#include <string_view>
#include <vector>

#include "testbed/soak/promises.h"

namespace graniteseam::testbed::soak {

auto is_changing(std::string_view path) -> bool;

/// Breaches of "in_force": a router in touch runs a request by a service, or refuses it for want of a route,
/// as no version allows that may be in force `in_force_within` after its acknowledgement.
/// Breaches of "never_back": during one life, a router handles a request as only versions allow that are
/// older than one by which it handled an earlier one.
auto check_versions(Observed const&, std::vector<Breach>&) -> void;

/// What the checks looked at: a check that had nothing to look at proves nothing.
struct LookedAt {
    std::uint64_t in_calm = 0; ///< Probes of changing paths, router in touch and control group calm.
    /// Of those, the ones that an older version would have handled otherwise.
    std::uint64_t telling = 0;
    std::uint64_t telling_rounds = 0; ///< Rounds of probes to all routers with such a probe.
};
auto looked_at(Observed const&) -> LookedAt;

} // namespace graniteseam::testbed::soak
