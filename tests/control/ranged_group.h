/// @file
/// A control group with one service divided by key ranges, and two instances that own all its keys.
#pragma once

#include <string_view>

#include "tests/control/control_harness.h"

namespace graniteseam::test {

inline const ServiceName kRanged{"archive"};

/// A heartbeat of "i-N", later than all before it.
auto report_of(ControlHarness& harness, std::string_view name, bool draining)
    -> control::ReportInstance;

auto is_accepted(control::OperatorAnswer const& answer) -> bool;

/// Lets "i-1" and "i-2" beat at the leader.
auto report_instances(ControlHarness& harness) -> void;

/// Waits for a leader, configures the service, and runs until both instances own their keys. The
/// harness must answer orders.
/// @param form by heartbeat, the keys are assigned, and the instances have still to come for them.
auto start_ranges(ControlHarness& harness, traffic::LeaseForm form = traffic::LeaseForm::kOrders)
    -> void;

}  // namespace graniteseam::test
