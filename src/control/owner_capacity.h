/// @file
/// Computes how much load an owner of keys can take so that its requests are answered within their
/// target latency.
#pragma once

#include <optional>
#include <vector>

#include "graniteseam/common/time.h"
#include "graniteseam/traffic/configuration.h"
#include "src/control/instance_speeds.h"
#include "src/control/range_balancer.h"

namespace graniteseam::control {

/// Load in requests per second at which nine of ten requests to a server wait no longer than
/// `target` - `service_time`, by the M/M/c waiting-time approximation (Erlang C). For a server
/// slower than the target, the load at which nine of ten requests find a free slot: never less than
/// a tenth of its throughput, so that it still gets requests and its speed is still measured.
auto capacity_for_target(double slots, Duration service_time, Duration target) -> double;

/// The target latency by which load is divided among a service's owners: the shortest one of at
/// least 800 ms of its routes, because its requests are the first to be late. nullopt unless the
/// service is keyed with leases by heartbeat and has such a route.
auto balancing_target(traffic::Configuration const& configuration, ServiceName const& service)
    -> std::optional<Duration>;

/// Scales the candidates' slots by their capacity for a target latency, with the same sum as
/// before; without a target, or where servers report no work times, by
/// InstanceSpeeds::ScaleSlots().
/// @param target as given by balancing_target().
auto scale_slots(std::vector<RangeCandidate>& candidates, InstanceSpeeds const& speeds,
                 std::optional<Duration> target) -> void;

}  // namespace graniteseam::control
