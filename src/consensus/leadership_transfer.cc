/// @file
/// Leadership transfer for a planned stop (dissertation, 3.10). It is safe with leader leases: the
/// leader steps down as it sends TimeoutNowRequest, and never leads again in that term.
#include <algorithm>
#include <utility>

#include "src/consensus/raft_impl.h"

namespace graniteseam::consensus {

void RaftConsensus::Impl::TransferLeadership(Instant now, bool only_to_staying) {
  now_ = std::max(now_, now);
  if (role_ != Role::kLeader || TransferPending(now_)) return;
  std::optional<Member> best;
  std::pair<bool, LogIndex> best_rank;
  for (const Member& voter : OtherVoters()) {
    const PeerProgress& progress = progress_.at(VoteKey(voter));
    const bool stays = now_ >= progress.leaving_until && progress.match >= commit_at_round_start_;
    const std::pair rank(stays, progress.match);
    if (!RespondedRecently(voter, now_) || (only_to_staying && !stays)) continue;
    if (best && rank <= best_rank) continue;
    best = voter;
    best_rank = rank;
  }
  if (!best) return;
  transfer_target_ = best;
  transfer_deadline_ = now_ + options_.election_timeout_minimum;
  CompleteTransferWhenReady(now_);
}

void RaftConsensus::Impl::PrepareStop(Instant now) {
  leaving_ = true;
  TransferLeadership(now, false);
}

bool RaftConsensus::Impl::TransferPending(Instant now) const {
  return transfer_target_ && now < transfer_deadline_;
}

void RaftConsensus::Impl::CompleteTransferWhenReady(Instant now) {
  if (!TransferPending(now)) return;
  const auto progress = progress_.find(VoteKey(*transfer_target_));
  if (progress == progress_.end() || progress->second.match < log_.last_index()) return;
  const Member target = *transfer_target_;
  Send(target, TimeoutNowRequest{hard_state_.term});
  // The lease ends here, since the target may receive the request at any later time.
  BecomeFollower(hard_state_.term, std::nullopt, now);
}

void RaftConsensus::Impl::OnTimeoutNow(const TimeoutNowRequest& request, Instant now) {
  const bool follows = role_ == Role::kFollower || role_ == Role::kPreCandidate;
  if (request.term != hard_state_.term || !follows || !IsVoter(self_)) return;
  BecomeCandidate(true, now);
}

}  // namespace graniteseam::consensus
