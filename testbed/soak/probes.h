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
    /// The accepted version before one.
    auto before(std::uint64_t version) const -> std::optional<std::uint64_t>;
    /// Whether a newer one has so moved on that this one's own path may not be routed any more.
    auto is_outdated(Accepted const&) const -> bool;

private:
    mutable std::mutex m_mutex;
    std::vector<Accepted> m_accepted;
};

/// Asks one router after the other, in turn for the route that the newest change which is to be in force
/// added and for one of the changing paths, until it is told to stop.
auto run_prober(Endpoints const&, AcceptedVersions const&, std::stop_token const&) -> std::vector<SeenProbe>;

struct ProbeRounds {
    std::vector<SeenProbe> probes;
    std::uint64_t rounds = 0;
};

/// Asks all routers at one moment for a path that a change moved, split, dropped or added, as soon as the
/// change is to be in force; until it is told to stop. A router that is late for a moment only is missed by
/// who asks one after the other.
auto run_probe_rounds(Endpoints const&, AcceptedVersions const&, std::stop_token const&) -> ProbeRounds;

/// Adds the probes of rounds to the others.
auto add_rounds(ProbeRounds const&, Observed&) -> void;

} // namespace graniteseam::testbed::soak
