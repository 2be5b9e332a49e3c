/// @file
/// What it proves that an instance reported from another one's address.
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

/// The longest time that a heartbeat is on its way; docs/interface/traffic.md asks it of servers.
inline constexpr Duration kHeartbeatLateMaximum{10'000'000};

/// Whether a displaced instance has ended for certain: it had been heard of for so long that its
/// successor's heartbeat can not be one of a forerunner. False for one that is not displaced.
bool EndIsProven(const traffic::InstanceTable& instances, const InstanceLiveness& liveness,
                 const traffic::InstanceId& id);

/// Instances that hold the address of a displaced one which is proven to live: it was heard of so
/// long after them that its heartbeat can not be late. They ended before it began.
std::vector<traffic::InstanceId> Forerunners(const traffic::InstanceTable& instances,
                                             const InstanceLiveness& liveness);

}  // namespace graniteseam::control
