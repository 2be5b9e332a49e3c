/// @file
/// Finds displaced instances that appear to be running, and the instances that displaced them.
///
/// An address belongs to one process at a time, so an instance that reported from it earlier has
/// terminated. But heartbeats may be delayed without bound: if a process terminates before its
/// first heartbeat arrives, that heartbeat may be received after those of the next process at the
/// address. The terminated process then becomes the address's holder and displaces a live instance.
///
/// The order in which heartbeats arrive therefore proves nothing. A displaced instance keeps its
/// leases until it has released them, another process has answered an order at its address, or they
/// have expired; and a displacement can be reversed any number of times.
#pragma once

#include <vector>

#include "src/control/instance_liveness.h"
#include "src/traffic/instance_table.h"

namespace graniteseam::control {

/// An instance that displaced another one and has been silent since, while the other one is heard
/// of.
struct ReversibleDisplacement {
  traffic::InstanceId displaced;
  traffic::InstanceId successor;
};

/// Finds the displacements whose successor is unreachable and whose displaced instance has sent
/// several heartbeats since the successor's last one.
std::vector<ReversibleDisplacement> FindReversibleDisplacements(
    const traffic::InstanceTable& instances, const InstanceLiveness& liveness, Instant now);

}  // namespace graniteseam::control
