/// @file
/// Retries stay within their bound over all routers.
#pragma once

#include <cstddef>
#include <string>
#include <vector>

#include "testbed/soak/promises.h"

namespace graniteseam::testbed::soak {

/// Arrivals at a service's workers beyond the first of each request, in one window.
struct RetryUse {
    std::string service;
    std::size_t repeats = 0;
    std::size_t requests = 0; ///< In that window, the one before it or half a window before it: the most.
    double allowed = 0;

    auto part() const -> double { return static_cast<double>(repeats) / allowed; }
};

/// Of each service, the window in which most of the bound was used.
auto most_retries(Observed const&) -> std::vector<RetryUse>;

/// Breaches of "retries".
auto check_retries(Observed const&, std::vector<Breach>&) -> void;

} // namespace graniteseam::testbed::soak
