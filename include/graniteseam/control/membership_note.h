/// @file
/// Records of changes of the control group's membership, for the event log and the metrics.
#pragma once

#include <cstddef>
#include <string>
#include <string_view>

#include "graniteseam/common/ids.h"
#include "graniteseam/consensus/types.h"

namespace graniteseam::control {

/// An event log record: membership repair proposes a change, or a change is committed.
struct MembershipNote {
  /// "membership_proposed" and "membership_proposal_failed" at the leader, "membership_changed" at
  /// each member that commits the change.
  std::string_view what;
  /// "learner_added", "learner_removed", "learner_promoted", "voter_demoted", "voter_added",
  /// "voter_removed", or "founded" for the first membership.
  std::string_view change;
  consensus::Member member;  ///< The member that the change concerns; none for "founded".
  Term term;
  std::size_t voters = 0;    ///< In the membership after the change.
  std::size_t learners = 0;  ///< In the membership after the change.
  std::string inputs;        ///< What the decision rests on, in short sentences.
};

}  // namespace graniteseam::control
