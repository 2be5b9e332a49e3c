/// @file
/// Automatic repair of a control group's membership: admits processes that announce themselves, and
/// replaces voters that lost their disk or are gone. See docs/design/self-repair.md.
#pragma once

#include <optional>
#include <vector>

#include "graniteseam/consensus/raft_consensus.h"
#include "graniteseam/control/traffic_options.h"

namespace graniteseam::control {

/// The inputs of a decision.
struct MembershipView {
  consensus::Member self;
  consensus::Membership membership;
  std::vector<consensus::PeerStatus> others;  ///< Each member except the leader itself.
  std::vector<consensus::Member> announced;   ///< Processes outside the membership that announced
                                              ///< themselves recently.
};

/// The next membership on the way to a complete group; nullopt when there is nothing to do. Each
/// step changes one member, as consensus requires.
///
/// Invariants, over any sequence of steps: a voter that answers stays unless it is leaving or
/// beyond the wanted number; no step reduces the number of voters that may still fall silent, or of
/// disks that may still be lost, up to the number that a complete group tolerates; the sequence
/// rests, and with enough learners no lost voter is left. A member that returns with an empty disk
/// is a different member and votes only after it has caught up. Handles a lost disk, a lost
/// machine, and a machine that is replaced at another address. Pure function of its inputs.
std::optional<consensus::Membership> NextMembership(const MembershipRepairOptions& options,
                                                    const MembershipView& view);

}  // namespace graniteseam::control
