/// @file
/// Planned work loses no request: what a router has read before it stops, reads its settings again or takes
/// another configuration is answered.
#pragma once

#include <vector>

#include "testbed/soak/promises.h"

namespace graniteseam::testbed::soak {

/// Requests that a router had read, and whose connection then ended without a whole answer, around planned
/// work and without an unplanned fault at that router. From outside, a request counts as read that reached a
/// worker, or whose connection ended in order later than the bound after its last byte was sent: a process
/// that ends with unread bytes resets the connection.
auto lost_around_planned_work(Observed const&) -> std::vector<SeenAnswer>;

/// Breaches of "read_is_answered".
auto check_planned_work(Observed const&, std::vector<Breach>&) -> void;

} // namespace graniteseam::testbed::soak
