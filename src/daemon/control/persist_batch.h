/// @file
/// Group commit: joins what several steps want made durable into fewer syncs.
#pragma once

#include <vector>

#include "graniteseam/consensus/raft_consensus.h"

namespace graniteseam::daemon {

/// Joins requests in order. A request that only appends entries or changes the hard state joins the
/// one before; one that truncates or brings a snapshot begins anew. Making the results durable in
/// order equals making the requests durable in order.
std::vector<consensus::PersistRequest> JoinRequests(
    std::vector<consensus::PersistRequest> requests);

}  // namespace graniteseam::daemon
