/// @file
/// Asks routers for routes that accepted changes added, moved, split or dropped: whether the changes are in
/// force there.
#pragma once

#include <cstdint>
#include <mutex>
#include <optional>
#include <stop_token>
#include <string>
#include <vector>

#include "testbed/soak/load.h"
#include "testbed/soak/promises.h"

namespace graniteseam::testbed::soak {

/// Changes that were acknowledged, told by the operator's thread to the probing ones. Thread safe.
class AcceptedVersions {
public:
    struct Accepted {
        std::uint64_t version = 0;
        Instant acknowledged {};
    };

    auto add(std::uint64_t version) -> void;
    /// The newest one that was acknowledged before an instant.
    auto newest_before(Instant) const -> std::optional<Accepted>;
    /// Whether a newer one has so moved on that this one's own path may not be routed any more.
    auto is_outdated(Accepted const&) const -> bool;

private:
    mutable std::mutex m_mutex;
    std::vector<Accepted> m_accepted;
};

/// Asks one router after the other, in turn for the route that the newest change which is to be in force
/// added and for one of the changing paths, until it is told to stop.
auto run_prober(Endpoints const&, AcceptedVersions const&, std::stop_token const&) -> std::vector<SeenProbe>;

} // namespace graniteseam::testbed::soak
