/// @file
/// Which of two instances that reported from one address has ended.
///
/// An address belongs to one process at a time, so that whoever reported from it before has ended.
/// But a heartbeat may be late: a process whose life was shorter than its first heartbeat's way is
/// heard of only after the one that follows it at the address. Such a forerunner displaces an
/// instance that lives. What tells the two apart is the longest time that a heartbeat is on its
/// way.
#pragma once

#include <vector>

#include "src/control/instance_liveness.h"
#include "src/traffic/instance_table.h"

namespace graniteseam::control {

/// The longest time from a heartbeat's sending until the leader has taken it; an assumption of
/// docs/design/platform.md.
inline constexpr Duration kHeartbeatDelayMaximum{10'000'000};

/// Whether a displaced instance has ended for certain, and nothing that was sent to it can act any
/// more: it had been heard of for so long that its successor's heartbeat can not be one of a
/// forerunner. False for one that is not displaced. False also for one whose successor is a later
/// life under its name at its address: that one takes late orders for its own. Its answer to a
/// release tells that it has seen a higher fence, and refuses them from then on.
bool HasProvablyEnded(const traffic::InstanceTable& instances, const InstanceLiveness& liveness,
                      const traffic::InstanceId& id);

/// A displaced instance that is proven to live, and who holds its address: a forerunner, which
/// ended before it began.
struct StaleAddressHolder {
  traffic::InstanceId id;
  traffic::InstanceReport displaced;  ///< What is known of the instance that lives.
};

/// The displaced instance was heard of so long after the holder of its address that its heartbeat
/// can not be late, and the holder is silent.
std::vector<StaleAddressHolder> FindStaleAddressHolders(const traffic::InstanceTable& instances,
                                                        const InstanceLiveness& liveness,
                                                        Instant now);

}  // namespace graniteseam::control
