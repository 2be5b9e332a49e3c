/// @file
/// Describes changes of the control group's membership for the event log.
#pragma once

#include <string_view>

#include "graniteseam/control/membership_note.h"
#include "src/control/membership_repair.h"

namespace graniteseam::control {

/// Describes the change of one member between two memberships. `inputs` stays empty.
MembershipNote DescribeChange(std::string_view what, const consensus::Membership& before,
                              const consensus::Membership& after, Term term);

/// The voters, learners and announced processes that a decision of membership repair looked at,
/// each with its time since the last response.
std::string DescribeView(const MembershipView& view);

/// The voters' and learners' addresses.
std::string DescribeMembers(const consensus::Membership& membership);

}  // namespace graniteseam::control
