/// @file
/// Pre-vote and elections, and the refusal of votes on which leader leases rely.
#include "src/consensus/raft_impl.h"

namespace graniteseam::consensus {

void RaftConsensus::Impl::ResetElectionDeadline(Instant now) {
  // At least the minimum, so that this member's own candidacy also waits until the lease of the
  // leader that it acknowledged has ended.
  std::uniform_int_distribution<std::int64_t> jitter(
      0, (options_.election_timeout_maximum - options_.election_timeout_minimum).count());
  election_deadline_ = now + options_.election_timeout_minimum + Duration(jitter(random_));
}

bool RaftConsensus::Impl::HasRecentLeaderContact(Instant now) const {
  return role_ == Role::kLeader || now < last_leader_contact_ + options_.election_timeout_minimum;
}

void RaftConsensus::Impl::BecomePreCandidate(Instant now) {
  // Pre-vote prevents a member that cannot win an election from raising the term and deposing the
  // leader (dissertation, 9.6).
  leader_.reset();
  SetRole(Role::kPreCandidate);
  votes_.clear();
  ResetElectionDeadline(now);
  RequestVotes(true, false, hard_state_.term.Next());
  CountVote(self_, now);
}

void RaftConsensus::Impl::BecomeCandidate(bool leadership_transfer, Instant now) {
  leader_.reset();
  hard_state_ = {hard_state_.term.Next(), self_};
  SaveHardState();
  CurrentPendingPersist().own_vote = true;  // Counted once it is durable.
  SetRole(Role::kCandidate);
  votes_.clear();
  ResetElectionDeadline(now);
  RequestVotes(false, leadership_transfer, hard_state_.term);
}

void RaftConsensus::Impl::RequestVotes(bool pre_vote, bool leadership_transfer, Term term) {
  const VoteRequest request{term, pre_vote, log_.last_index(), log_.last_term(),
                            leadership_transfer};
  for (const Member& voter : OtherVoters()) Send(voter, request);
}

void RaftConsensus::Impl::CountVote(const Member& voter, Instant now) {
  if (!IsVoter(voter)) return;
  votes_.insert(VoteKey(voter));
  if (votes_.size() < QuorumSize()) return;
  if (role_ == Role::kPreCandidate) {
    BecomeCandidate(false, now);
  } else if (role_ == Role::kCandidate) {
    BecomeLeader(now);
  }
}

bool RaftConsensus::Impl::LogIsUpToDate(const VoteRequest& request) const {
  if (request.last_term != log_.last_term()) return request.last_term > log_.last_term();
  return request.last_index >= log_.last_index();
}

void RaftConsensus::Impl::OnPreVoteRequest(const Member& from, const VoteRequest& request,
                                           Instant now) {
  const bool granted =
      request.term > hard_state_.term && !HasRecentLeaderContact(now) && LogIsUpToDate(request);
  Send(from, VoteResponse{granted ? request.term : hard_state_.term, true, granted});
}

void RaftConsensus::Impl::OnVoteRequest(const Member& from, const VoteRequest& request,
                                        Instant now) {
  // Leader lease: a member that acknowledged a heartbeat refuses votes for
  // election_timeout_minimum, so that no other leader is elected within the lease. Votes for a
  // leadership transfer are allowed: the leader of the previous term gave up its lease, and the
  // leases of older terms ended before that leader was elected.
  const bool leader_lease_may_hold = HasRecentLeaderContact(now) && !request.leadership_transfer;
  if (leader_lease_may_hold || request.term < hard_state_.term) {
    Send(from, VoteResponse{hard_state_.term, false, false});
    return;
  }
  if (request.term > hard_state_.term) BecomeFollower(request.term, std::nullopt, now);
  const bool free_to_vote = !hard_state_.voted_for || hard_state_.voted_for->IsSameMemberAs(from);
  const bool granted = free_to_vote && LogIsUpToDate(request);
  if (granted) {
    hard_state_.voted_for = from;
    SaveHardState();
    ResetElectionDeadline(now);
  }
  Send(from, VoteResponse{hard_state_.term, false, granted});
}

void RaftConsensus::Impl::OnVoteResponse(const Member& from, const VoteResponse& response,
                                         Instant now) {
  if (response.granted && response.pre_vote) {
    if (role_ == Role::kPreCandidate && response.term == hard_state_.term.Next()) {
      CountVote(from, now);
    }
    return;
  }
  if (response.term > hard_state_.term) {
    BecomeFollower(response.term, std::nullopt, now);
  } else if (response.granted && role_ == Role::kCandidate && response.term == hard_state_.term) {
    CountVote(from, now);
  }
}

}  // namespace graniteseam::consensus
