#include "src/control/membership_repair.h"

#include <algorithm>

namespace graniteseam::control {
namespace {

using consensus::Member;
using consensus::Membership;

constexpr std::size_t kLearnersMaximum = 8;

const consensus::PeerStatus* StatusOf(const MembershipView& view, const Member& member) {
  const auto found = std::find_if(view.others.begin(), view.others.end(), [&](const auto& other) {
    return other.member.IsSameMemberAs(member);
  });
  return found == view.others.end() ? nullptr : &*found;
}

bool IsReachable(const MembershipView& view, const Member& member) {
  if (member.IsSameMemberAs(view.self)) return true;
  const consensus::PeerStatus* status = StatusOf(view, member);
  return status != nullptr && status->time_since_response <= kMemberReachableWithin;
}

bool IsLeaving(const MembershipView& view, const Member& member) {
  const consensus::PeerStatus* status = StatusOf(view, member);
  return status != nullptr && status->leaving;
}

/// Whether a learner is reachable, has caught up with the log and stays.
bool IsReadyToVote(const MembershipView& view, const Member& learner) {
  const consensus::PeerStatus* status = StatusOf(view, learner);
  return status != nullptr && status->caught_up && !status->leaving && IsReachable(view, learner);
}

void Erase(std::vector<Member>& members, const Member& gone) {
  std::erase_if(members, [&](const Member& member) { return member.IsSameMemberAs(gone); });
}

Membership WithLearner(Membership membership, const Member& learner) {
  membership.learners.push_back(learner);
  return membership;
}

Membership WithPromoted(Membership membership, const Member& learner) {
  Erase(membership.learners, learner);
  membership.voters.push_back(learner);
  return membership;
}

Membership WithoutVoter(Membership membership, const Member& voter) {
  Erase(membership.voters, voter);
  return membership;
}

Membership WithDemoted(Membership membership, const Member& voter) {
  Erase(membership.voters, voter);
  membership.learners.push_back(voter);
  return membership;
}

Membership WithoutLearner(Membership membership, const Member& learner) {
  Erase(membership.learners, learner);
  return membership;
}

std::size_t ReachableVoterCount(const MembershipView& view) {
  const auto& voters = view.membership.voters;
  return static_cast<std::size_t>(std::count_if(
      voters.begin(), voters.end(), [&](const Member& voter) { return IsReachable(view, voter); }));
}

bool HasQuorum(const MembershipView& view) {
  return ReachableVoterCount(view) > view.membership.voters.size() / 2;
}

Duration SilenceOf(const MembershipView& view, const Member& member) {
  const consensus::PeerStatus* status = StatusOf(view, member);
  return status == nullptr ? Duration{} : status->time_since_response;
}

/// Whether `members` holds the machine of `member` with another disk.
bool HasOtherDisk(const std::vector<Member>& members, const Member& member) {
  return std::any_of(members.begin(), members.end(), [&](const Member& other) {
    return other.id == member.id && !other.IsSameMemberAs(member);
  });
}

/// Whether a voter that does not answer never will: its machine returned with another disk.
bool DiskIsReplaced(const MembershipView& view, const Member& voter) {
  if (IsReachable(view, voter)) return false;
  return HasOtherDisk(view.membership.learners, voter) ||
         HasOtherDisk(view.membership.voters, voter) || HasOtherDisk(view.announced, voter);
}

/// An unreachable voter beyond the wanted number. Its removal lowers the quorum or leaves it as it
/// is, so it waits for no further voter: two lost voters among six would end the group with the
/// next loss. A voter whose disk is replaced goes first, since others may return.
const Member* SurplusVoter(const MembershipRepairOptions& options, const MembershipView& view) {
  const auto& voters = view.membership.voters;
  if (voters.size() <= options.voters) return nullptr;
  const Member* surplus = nullptr;
  const auto rank = [&](const Member& voter) {
    return std::pair(DiskIsReplaced(view, voter), SilenceOf(view, voter));
  };
  for (const Member& voter : voters) {
    if (IsReachable(view, voter)) continue;
    if (surplus == nullptr || rank(voter) > rank(*surplus)) surplus = &voter;
  }
  return surplus;
}

/// A voter that is leaving while there is one beyond the wanted number in its place. It becomes a
/// learner, since it may return.
const Member* ReplacedLeavingVoter(const MembershipRepairOptions& options,
                                   const MembershipView& view) {
  const auto& voters = view.membership.voters;
  if (voters.size() <= options.voters) return nullptr;
  const auto leaving = std::find_if(voters.begin(), voters.end(),
                                    [&](const Member& voter) { return IsLeaving(view, voter); });
  return leaving == voters.end() ? nullptr : &*leaving;
}

/// A voter that answers and is one beyond the wanted number, as after a return between the
/// promotion of its replacement and its removal. An even number of voters can be cut into halves of
/// which neither has a quorum. The one that answered least lately is the likeliest to fall silent
/// again.
const Member* ExcessVoter(const MembershipRepairOptions& options, const MembershipView& view) {
  const auto& voters = view.membership.voters;
  if (voters.size() <= options.voters) return nullptr;
  const Member* excess = nullptr;
  for (const Member& voter : voters) {
    if (voter.IsSameMemberAs(view.self)) continue;
    if (excess == nullptr || SilenceOf(view, voter) > SilenceOf(view, *excess)) excess = &voter;
  }
  return excess;
}

/// A voter whose machine returned with another disk that has caught up with the log. The former
/// voter never answers again, so removing it does not increase the number of other voters that a
/// quorum needs. If both voted, the loss of the new disk would be the second loss of one machine: a
/// group of four voters of which two are permanently lost can't decide anything again.
const Member* VoterWithReplacedDisk(const MembershipView& view) {
  const auto& voters = view.membership.voters;
  const auto has_ready_replacement = [&](const Member& voter) {
    const auto& learners = view.membership.learners;
    return !IsReachable(view, voter) &&
           std::any_of(learners.begin(), learners.end(), [&](const Member& learner) {
             return learner.id == voter.id && IsReadyToVote(view, learner);
           });
  };
  const auto former = std::find_if(voters.begin(), voters.end(), has_ready_replacement);
  return former == voters.end() ? nullptr : &*former;
}

/// Whether a voter needs a replacement: it is leaving, its disk came back empty, or it has been
/// unreachable for too long.
bool NeedsReplacement(const MembershipRepairOptions& options, const MembershipView& view,
                      const Member& voter) {
  if (IsLeaving(view, voter)) return true;
  if (IsReachable(view, voter)) return false;
  return HasOtherDisk(view.membership.learners, voter) ||
         SilenceOf(view, voter) >= options.replace_after;
}

/// A learner that is ready to vote, and whose machine has no other vote.
const Member* ReadyLearner(const MembershipView& view) {
  const auto& learners = view.membership.learners;
  const auto ready = std::find_if(learners.begin(), learners.end(), [&](const Member& learner) {
    return IsReadyToVote(view, learner) && !HasOtherDisk(view.membership.voters, learner);
  });
  return ready == learners.end() ? nullptr : &*ready;
}

std::optional<Membership> Promotion(const MembershipRepairOptions& options,
                                    const MembershipView& view) {
  const Member* learner = ReadyLearner(view);
  if (learner == nullptr) return std::nullopt;
  const auto& voters = view.membership.voters;
  const bool too_few = voters.size() < options.voters;
  const bool replaces = voters.size() == options.voters &&
                        std::any_of(voters.begin(), voters.end(), [&](const Member& voter) {
                          return NeedsReplacement(options, view, voter);
                        });
  if (!too_few && !replaces) return std::nullopt;
  return WithPromoted(view.membership, *learner);
}

/// The learner that has been silent longest, if for at least this long.
const Member* SilentLearner(const MembershipView& view, Duration minimum) {
  const Member* silent = nullptr;
  for (const Member& learner : view.membership.learners) {
    const Duration silence = SilenceOf(view, learner);
    if (silence < minimum) continue;
    if (silent == nullptr || silence > SilenceOf(view, *silent)) silent = &learner;
  }
  return silent;
}

/// Admits an announced process as a learner. An existing learner with the same id, which lost its
/// disk, is removed first. While all places are taken, the learner that is silent longest makes
/// room, or one that is leaving; processes that answer would wait for remove_learner_after
/// otherwise.
std::optional<Membership> Admission(const MembershipRepairOptions& options,
                                    const MembershipView& view) {
  if (view.announced.empty()) return std::nullopt;
  const auto& learners = view.membership.learners;
  if (learners.size() < kLearnersMaximum) {
    const auto admitted =
        std::find_if(view.announced.begin(), view.announced.end(),
                     [&](const Member& member) { return !HasOtherDisk(learners, member); });
    if (admitted != view.announced.end()) return WithLearner(view.membership, *admitted);
  }
  const auto former = std::find_if(learners.begin(), learners.end(), [&](const Member& learner) {
    return HasOtherDisk(view.announced, learner);
  });
  if (former != learners.end()) return WithoutLearner(view.membership, *former);
  if (const Member* silent = SilentLearner(view, options.replace_after)) {
    return WithoutLearner(view.membership, *silent);
  }
  const auto leaving = std::find_if(learners.begin(), learners.end(), [&](const Member& learner) {
    return IsLeaving(view, learner);
  });
  return leaving == learners.end() ? std::nullopt
                                   : std::optional(WithoutLearner(view.membership, *leaving));
}

}  // namespace

std::optional<Membership> NextMembership(const MembershipRepairOptions& options,
                                         const MembershipView& view) {
  if (!options.enabled || !HasQuorum(view)) return std::nullopt;
  if (const Member* surplus = SurplusVoter(options, view)) {
    return WithoutVoter(view.membership, *surplus);
  }
  if (const Member* leaving = ReplacedLeavingVoter(options, view)) {
    return WithDemoted(view.membership, *leaving);
  }
  if (const Member* excess = ExcessVoter(options, view)) {
    return WithDemoted(view.membership, *excess);
  }
  if (const Member* former = VoterWithReplacedDisk(view))
    return WithoutVoter(view.membership, *former);
  if (auto promoted = Promotion(options, view)) return promoted;
  if (auto admitted = Admission(options, view)) return admitted;
  if (const Member* silent = SilentLearner(view, options.remove_learner_after)) {
    return WithoutLearner(view.membership, *silent);
  }
  return std::nullopt;
}

}  // namespace graniteseam::control
