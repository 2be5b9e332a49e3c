/// @file
/// Determines which of two instances that reported from one address has terminated.
///
/// An address belongs to one process at a time, so an instance that reported from it earlier has
/// terminated. But heartbeats may be delayed: if a process terminates before its first heartbeat
/// arrives, that heartbeat may be received after those of the next process at the address. The
/// terminated process then becomes the address's holder and displaces a live instance. The two
/// cases are distinguished by the maximum delay of a heartbeat.
#pragma once

#include <vector>

#include "src/control/instance_liveness.h"
#include "src/traffic/instance_table.h"

namespace graniteseam::control {

/// Maximum time from the sending of a heartbeat until the leader has processed it; an assumption of
/// docs/design/platform.md.
inline constexpr Duration kHeartbeatDelayMaximum{10'000'000};

/// Whether a displaced instance has certainly terminated, so that no order sent to it can take
/// effect: its first heartbeat arrived so long before its successor's that the successor's can't be
/// a delayed one of an earlier process. False for an instance that is not displaced. Also false if
/// the successor is a later incarnation with the same name and address: it accepts delayed orders
/// for the earlier one. Its answer to a release shows that it has seen a higher fence, and it
/// refuses such orders from then on.
bool HasProvablyEnded(const traffic::InstanceTable& instances, const InstanceLiveness& liveness,
                      const traffic::InstanceId& id);

/// The recorded holder of an address that terminated before the displaced instance, which is proven
/// to be alive, started.
struct StaleAddressHolder {
  traffic::InstanceId id;
  traffic::InstanceReport displaced;  ///< The last report of the live instance.
};

/// Finds the holders that are unreachable and whose displaced instance sent a heartbeat so much
/// later than theirs that it can't be a delayed one.
std::vector<StaleAddressHolder> FindStaleAddressHolders(const traffic::InstanceTable& instances,
                                                        const InstanceLiveness& liveness,
                                                        Instant now);

}  // namespace graniteseam::control
