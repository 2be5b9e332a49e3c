#include "src/control/membership_keeper.h"

#include <algorithm>

namespace graniteseam::control {
namespace {

using consensus::Member;
using consensus::Membership;

/// A member that answered within this is there.
constexpr Duration kPresent{1'000'000};
constexpr std::size_t kLearnersMaximum = 8;

const consensus::PeerStatus* StatusOf(const MembershipView& view, const Member& member) {
  const auto found = std::find_if(view.others.begin(), view.others.end(), [&](const auto& other) {
    return other.member.IsSameMemberAs(member);
  });
  return found == view.others.end() ? nullptr : &*found;
}

bool Present(const MembershipView& view, const Member& member) {
  if (member.IsSameMemberAs(view.self)) return true;
  const consensus::PeerStatus* status = StatusOf(view, member);
  return status != nullptr && status->time_since_response <= kPresent;
}

/// Whether a learner is there and holds the log.
bool Ready(const MembershipView& view, const Member& learner) {
  const consensus::PeerStatus* status = StatusOf(view, learner);
  return status != nullptr && status->caught_up && Present(view, learner);
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

Membership WithoutLearner(Membership membership, const Member& learner) {
  Erase(membership.learners, learner);
  return membership;
}

std::size_t PresentVoters(const MembershipView& view) {
  const auto& voters = view.membership.voters;
  return static_cast<std::size_t>(std::count_if(
      voters.begin(), voters.end(), [&](const Member& voter) { return Present(view, voter); }));
}

/// A voter that is over: another one of its id votes with a newer disk, or it is one too many and
/// silent.
const Member* SurplusVoter(const MembershipKeeperOptions& options, const MembershipView& view) {
  const auto& voters = view.membership.voters;
  if (voters.size() <= options.voters || PresentVoters(view) < options.voters) return nullptr;
  const auto silent = std::find_if(voters.begin(), voters.end(),
                                   [&](const Member& voter) { return !Present(view, voter); });
  return silent == voters.end() ? nullptr : &*silent;
}

/// A voter whose machine came back with another disk that holds the log by now. What it was never
/// answers again, so that without it a quorum needs no more of the others than with it. While both
/// voted, the loss of the new disk would be the second of one machine: four votes of which two are
/// gone for good never decide anything again.
const Member* FormerSelf(const MembershipView& view) {
  const auto& voters = view.membership.voters;
  const auto back = [&](const Member& voter) {
    const auto& learners = view.membership.learners;
    return !Present(view, voter) &&
           std::any_of(learners.begin(), learners.end(), [&](const Member& learner) {
             return learner.id == voter.id && Ready(view, learner);
           });
  };
  const auto former = std::find_if(voters.begin(), voters.end(), back);
  return former == voters.end() ? nullptr : &*former;
}

/// Whether a voter's place is to be taken: its disk came back empty, or it is silent for long.
bool NeedsReplacement(const MembershipKeeperOptions& options, const MembershipView& view,
                      const Member& voter) {
  if (Present(view, voter)) return false;
  const auto& learners = view.membership.learners;
  const bool disk_lost = std::any_of(learners.begin(), learners.end(),
                                     [&](const Member& one) { return one.id == voter.id; });
  const consensus::PeerStatus* status = StatusOf(view, voter);
  return disk_lost || (status != nullptr && status->time_since_response >= options.replace_after);
}

/// A learner that may vote.
const Member* ReadyLearner(const MembershipView& view) {
  const auto& learners = view.membership.learners;
  const auto ready = std::find_if(learners.begin(), learners.end(),
                                  [&](const Member& learner) { return Ready(view, learner); });
  return ready == learners.end() ? nullptr : &*ready;
}

std::optional<Membership> Promotion(const MembershipKeeperOptions& options,
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

/// A process that is in no membership becomes a learner; a learner that lost its disk goes first.
std::optional<Membership> Admission(const MembershipView& view) {
  for (const Member& member : view.announced) {
    const auto& learners = view.membership.learners;
    const auto older = std::find_if(learners.begin(), learners.end(), [&](const Member& one) {
      return one.id == member.id && !one.IsSameMemberAs(member);
    });
    if (older != learners.end()) return WithoutLearner(view.membership, *older);
    if (learners.size() < kLearnersMaximum) return WithLearner(view.membership, member);
  }
  return std::nullopt;
}

}  // namespace

std::optional<Membership> NextMembership(const MembershipKeeperOptions& options,
                                         const MembershipView& view) {
  if (!options.enabled) return std::nullopt;
  if (const Member* surplus = SurplusVoter(options, view)) {
    return WithoutVoter(view.membership, *surplus);
  }
  if (const Member* former = FormerSelf(view)) return WithoutVoter(view.membership, *former);
  if (auto promoted = Promotion(options, view)) return promoted;
  if (auto admitted = Admission(view)) return admitted;
  for (const Member& learner : view.membership.learners) {
    const consensus::PeerStatus* status = StatusOf(view, learner);
    if (status != nullptr && status->time_since_response >= options.forget_learner_after) {
      return WithoutLearner(view.membership, learner);
    }
  }
  return std::nullopt;
}

}  // namespace graniteseam::control
