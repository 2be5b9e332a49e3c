/// @file
/// Keeps a control group whole by itself: takes in processes that announce themselves and replaces
/// voters that lost their disk or are gone. See docs/design/self-repair.md.
#pragma once

#include <optional>
#include <vector>

#include "graniteseam/consensus/raft_consensus.h"
#include "graniteseam/control/traffic_options.h"

namespace graniteseam::control {

/// What a decision looks at.
struct MembershipView {
  consensus::Member self;
  consensus::Membership membership;
  std::vector<consensus::PeerStatus> others;  ///< Each member but the leader itself.
  std::vector<consensus::Member> announced;   ///< Processes in no membership, heard lately.
};

/// One step towards a whole group, or nullopt when there is nothing to do. Each step changes one
/// member, as consensus asks for.
///
/// Invariant: a voter is removed only when as many voters as before remain that answer, or when it
/// never answers again, so that repair never lowers what the group can lose. A disk that came back
/// empty is another member: it votes only after it has caught up. Answers the failures: lost disk,
/// lost machine, machine replaced at another address. Pure function of its inputs.
std::optional<consensus::Membership> NextMembership(const MembershipRepairOptions& options,
                                                    const MembershipView& view);

}  // namespace graniteseam::control
