/// @file
/// Asks routers for routes that accepted changes added: whether the changes are in force there.
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

/// The path that only configurations from a version on route, and those before it don't.
auto path_since(std::uint64_t version) -> std::string;
/// A configuration routes such paths of its own version and of so many before it.
inline constexpr std::uint64_t versions_routed = 48;

/// Changes that were acknowledged, told by the operator's thread to the probing ones. Thread safe.
class AcceptedVersions {
public:
    struct Accepted {
        std::uint64_t version = 0;
        Instant acknowledged {};
    };

    auto add(std::uint64_t version) -> void;
    /// The newest one that was acknowledged before an instant, unless a newer one has so moved on that its
    /// path may not be routed any more.
    auto newest_before(Instant) const -> std::optional<Accepted>;

private:
    mutable std::mutex m_mutex;
    std::vector<Accepted> m_accepted;
};

/// Asks one router after the other for the newest change that is to be in force, until it is told to stop.
auto run_prober(Endpoints const&, AcceptedVersions const&, std::stop_token const&) -> std::vector<SeenProbe>;

} // namespace graniteseam::testbed::soak
