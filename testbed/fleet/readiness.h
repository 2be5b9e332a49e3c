/// @file
/// Whether a fleet serves: at its start, and again after its faults.
#pragma once

#include "testbed/fleet/fleet.h"
#include "testbed/fleet/operator_console.h"
#include "testbed/support/record_file.h"

namespace graniteseam::testbed {

/// Waits until a control leader answers operators.
Result<void> AwaitLeader(const OperatorConsole& console);

/// Waits until every running router says that it is ready, every running server holds a lease, and
/// every shard of the bundle has an owner.
Result<void> AwaitServing(Fleet& fleet, const OperatorConsole& console);

/// Sends a request of every stream through every running router until each was answered; what the
/// faults broke must come back by itself.
/// @param records takes the answers, which the history checker then judges too.
Result<void> AwaitRecovery(Fleet& fleet, RecordFile& records);

}  // namespace graniteseam::testbed
