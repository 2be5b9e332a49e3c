/// @file
/// Single-server membership changes (dissertation, chapter 4): any two quorums of consecutive
/// memberships overlap, and each change is committed before the next one begins.
#include <algorithm>
#include <set>

#include "graniteseam/codec/codec.h"
#include "src/consensus/raft_impl.h"

namespace graniteseam::consensus {
namespace {

std::set<VoteKey> KeysOf(const std::vector<Member>& members) {
  std::set<VoteKey> keys;
  for (const Member& member : members) keys.insert(VoteKey(member));
  return keys;
}

std::vector<Member> Without(const std::vector<Member>& members, const std::set<VoteKey>& keys) {
  std::vector<Member> left;
  for (const Member& member : members) {
    if (!keys.contains(VoteKey(member))) left.push_back(member);
  }
  return left;
}

/// The members added and removed between two memberships.
struct MembershipDifference {
  std::vector<Member> voters_added;
  std::vector<Member> voters_removed;
  std::vector<Member> learners_added;
  std::vector<Member> learners_removed;

  MembershipDifference(const Membership& from, const Membership& to)
      : voters_added(Without(to.voters, KeysOf(from.voters))),
        voters_removed(Without(from.voters, KeysOf(to.voters))),
        learners_added(Without(to.learners, KeysOf(from.learners))),
        learners_removed(Without(from.learners, KeysOf(to.learners))) {}

  bool IsPromotion() const {
    return voters_added.size() == 1 && voters_removed.empty() && learners_added.empty() &&
           learners_removed.size() == 1 && learners_removed[0].IsSameMemberAs(voters_added[0]);
  }
  bool IsDemotion() const {
    return voters_removed.size() == 1 && voters_added.empty() && learners_removed.empty() &&
           learners_added.size() == 1 && learners_added[0].IsSameMemberAs(voters_removed[0]);
  }
  bool ChangesAtMostOneMember() const {
    return voters_added.size() + voters_removed.size() + learners_added.size() +
               learners_removed.size() <=
           1;
  }
};

bool HasNoDuplicates(const Membership& membership) {
  std::set<VoteKey> keys = KeysOf(membership.voters);
  keys.merge(KeysOf(membership.learners));
  return keys.size() == membership.voters.size() + membership.learners.size();
}

}  // namespace

Result<LogIndex> RaftConsensus::Impl::ProposeMembership(const Membership& next, Instant now) {
  now_ = std::max(now_, now);
  BOOST_LEAF_CHECK(CheckLeading(now_));
  BOOST_LEAF_CHECK(CheckMembershipChange(next, now_));
  const LogIndex index = log_.last_index().Next();
  AppendEntry({hard_state_.term, index, EntryKind::kMembership, codec::Encode(next)});
  SyncProgressWithMembership(index);
  Broadcast(now_);
  UpdateLeaderCommit(now_);
  return index;
}

Result<void> RaftConsensus::Impl::CheckMembershipChange(const Membership& next, Instant now) const {
  // Until an entry of this term is committed, an uncommitted change of an older leader can still
  // become effective (Ongaro, raft-dev, "bug in single-server membership changes", 2015).
  if (!established_at_ || log_.membership_index() > commit_index_) {
    return Fail(ErrorKind::kFailedPrecondition, "Another membership change is not committed yet.",
                "Try again once it is committed.");
  }
  if (next.voters.empty() || !HasNoDuplicates(next)) {
    return Fail(ErrorKind::kFailedPrecondition,
                "The membership has no voter, or names a member twice.",
                "Name each member once, as voter or as learner.");
  }
  const MembershipDifference difference(log_.membership(), next);
  if (!difference.ChangesAtMostOneMember() && !difference.IsPromotion() &&
      !difference.IsDemotion()) {
    return Fail(ErrorKind::kFailedPrecondition, "More than one member would change.",
                "Change one member at a time.");
  }
  for (const Member& added : difference.voters_added) BOOST_LEAF_CHECK(CheckPromotion(added, now));
  const bool voters_change = !difference.voters_added.empty() || !difference.voters_removed.empty();
  if (voters_change) BOOST_LEAF_CHECK(CheckRemainingQuorum(next, now));
  return {};
}

Result<void> RaftConsensus::Impl::CheckPromotion(const Member& learner, Instant now) const {
  const auto progress = progress_.find(VoteKey(learner));
  const bool caught_up = progress != progress_.end() && RespondedRecently(learner, now) &&
                         progress->second.match >= commit_at_round_start_;
  if (caught_up) return {};
  return Fail(ErrorKind::kFailedPrecondition,
              "Control process " + std::to_string(learner.id.value) +
                  " is not a learner that has caught up.",
              "Add it as a learner first, and promote it once it holds the log.");
}

Result<void> RaftConsensus::Impl::CheckRemainingQuorum(const Membership& next, Instant now) const {
  const auto responsive =
      std::count_if(next.voters.begin(), next.voters.end(), [&](const auto& voter) {
        return voter.IsSameMemberAs(self_) || RespondedRecently(voter, now);
      });
  if (static_cast<std::size_t>(responsive) > next.voters.size() / 2) return {};
  return Fail(ErrorKind::kFailedPrecondition,
              "The change would leave a membership without a quorum of responsive voters.",
              "Bring voters back first, or remove those that do not answer.");
}

bool RaftConsensus::Impl::RespondedRecently(const Member& member, Instant now) const {
  const auto progress = progress_.find(VoteKey(member));
  return progress != progress_.end() && progress->second.last_response_at != Instant::min() &&
         now - progress->second.last_response_at <= options_.election_timeout_maximum;
}

std::vector<PeerStatus> RaftConsensus::Impl::Peers(Instant now) const {
  std::vector<PeerStatus> peers;
  if (role_ != Role::kLeader) return peers;
  for (const Member& member : OtherMembers()) {
    const PeerProgress& progress = progress_.at(VoteKey(member));
    const Instant last_response = std::max(progress.last_response_at, leader_since_);
    const bool caught_up = progress.match >= commit_at_round_start_;
    peers.push_back({member, now - last_response, caught_up, now < progress.leaving_until});
  }
  return peers;
}

// Replication to a new member starts at `next_to_send`, which must not stay beyond the end of the
// log: an empty heartbeat does not reveal which entries the member lacks.
void RaftConsensus::Impl::SyncProgressWithMembership(LogIndex next_to_send) {
  PeerProgressMap kept;
  for (const Member& member : OtherMembers()) {
    const VoteKey key(member);
    const auto known = progress_.find(key);
    if (known != progress_.end()) {
      kept.emplace(key, std::move(known->second));
    } else {
      kept[key].next = next_to_send;
    }
  }
  progress_ = std::move(kept);
}

}  // namespace graniteseam::consensus
