/// @file
/// The leader's part of Raft: heartbeat rounds, leader lease, check-quorum, replication and commit.
#include <algorithm>
#include <functional>

#include "src/consensus/raft_impl.h"

namespace graniteseam::consensus {
namespace {

/// Returns the highest value that a quorum of voters has reached.
/// @param values one value per voter.
template <class T>
T ReachedByQuorum(std::vector<T> values, std::size_t quorum) {
  std::sort(values.begin(), values.end(), std::greater<>());
  return values.size() < quorum ? T{} : values[quorum - 1];
}

}  // namespace

void RaftConsensus::Impl::BecomeLeader(Instant now) {
  SetRole(Role::kLeader);
  leader_ = self_;
  leader_since_ = now;
  established_at_.reset();
  commit_notification_due_ = Instant::max();
  transfer_target_.reset();
  progress_.clear();
  round_sent_at_.clear();
  // Entries of older terms are committed only by an entry of this term above them (Raft, 5.4.2).
  noop_index_ = log_.last_index().Next();
  SyncProgressWithMembership(noop_index_);
  AppendEntry({hard_state_.term, noop_index_, EntryKind::kNoop, ""});
  StartRound(now);
  Heartbeat(now);
}

void RaftConsensus::Impl::LeaderTick(Instant now) {
  if (transfer_target_ && now >= transfer_deadline_) transfer_target_.reset();
  if (now >= QuorumRoundSentAt() + options_.election_timeout_maximum) {
    // Check-quorum: a leader without a responsive quorum steps down.
    BecomeFollower(hard_state_.term, std::nullopt, now);
    return;
  }
  if (now >= commit_notification_due_) SendCommitIndex();
  if (now < next_heartbeat_) return;
  if (leaving_) {
    // Not to voters that stop too, which would pass it around among themselves.
    TransferLeadership(now, true);
    if (role_ != Role::kLeader) return;
  }
  StartRound(now);
  Heartbeat(now);
}

void RaftConsensus::Impl::SendCommitIndex() {
  commit_notification_due_ = Instant::max();
  for (const Member& peer : OtherMembers()) {
    PeerProgress& progress = progress_.at(VoteKey(peer));
    if (progress.sent_commit_index < commit_index_) SendEmptyAppend(peer, progress);
  }
}

void RaftConsensus::Impl::StartRound(Instant now) {
  ++round_;
  round_sent_at_[round_] = now;
  commit_at_round_start_ = commit_index_;
  next_heartbeat_ = now + options_.heartbeat_interval;
  const Instant oldest_useful = now - 2 * options_.election_timeout_maximum;
  while (round_sent_at_.begin()->second < oldest_useful) {
    round_sent_at_.erase(round_sent_at_.begin());
  }
}

std::int64_t RaftConsensus::Impl::QuorumRound() const {
  std::vector<std::int64_t> rounds;
  for (const Member& voter : log_.membership().voters) {
    const bool own = voter.IsSameMemberAs(self_);
    rounds.push_back(own ? round_ : progress_.at(VoteKey(voter)).acknowledged_round);
  }
  return ReachedByQuorum(std::move(rounds), QuorumSize());
}

Instant RaftConsensus::Impl::QuorumRoundSentAt() const {
  const auto sent = round_sent_at_.find(QuorumRound());
  return sent == round_sent_at_.end() ? leader_since_ : sent->second;
}

Instant RaftConsensus::Impl::lease_end() const {
  if (role_ != Role::kLeader) return Instant{};
  const auto sent = round_sent_at_.find(QuorumRound());
  // The lease counts from the send of the round: a member that responded began to refuse votes
  // after it.
  return sent == round_sent_at_.end() ? Instant{} : sent->second + options_.leader_lease;
}

void RaftConsensus::Impl::Heartbeat(Instant now) {
  for (const Member& peer : OtherMembers()) {
    PeerProgress& progress = progress_.at(VoteKey(peer));
    const std::size_t sent_before = effects_.messages.size();
    SendNext(peer, progress, now);
    if (effects_.messages.size() == sent_before) SendEmptyAppend(peer, progress);
  }
}

void RaftConsensus::Impl::Broadcast(Instant now) {
  for (const Member& peer : OtherMembers()) SendNext(peer, progress_.at(VoteKey(peer)), now);
}

void RaftConsensus::Impl::SendNext(const Member& peer, PeerProgress& progress, Instant now) {
  if (progress.transfer || progress.next < log_.first_index()) {
    SendSnapshotChunk(peer, progress, now);
    return;
  }
  const bool waiting =
      progress.in_flight_end.value != 0 && now < progress.in_flight_since + RetransmitTimeout();
  // At most one append is in flight per member; entries proposed meanwhile are batched into the
  // next one.
  if (!waiting && progress.next <= log_.last_index()) SendEntries(peer, progress, now);
}

void RaftConsensus::Impl::SendEntries(const Member& peer, PeerProgress& progress, Instant now) {
  const LogIndex previous{progress.next.value - 1};
  AppendRequest request{hard_state_.term,
                        previous,
                        *log_.TermAt(previous),
                        log_.From(progress.next, log_.last_index(), options_.append_bytes_maximum),
                        commit_index_,
                        round_};
  progress.in_flight_end = request.entries.back().index;
  progress.in_flight_since = now;
  progress.sent_commit_index = commit_index_;
  Send(peer, std::move(request));
}

void RaftConsensus::Impl::SendEmptyAppend(const Member& peer, PeerProgress& progress) {
  progress.sent_commit_index = commit_index_;
  // Index 0 matches every log, so that a heartbeat never fails when the match index is compacted
  // here.
  const auto term = log_.TermAt(progress.match);
  const LogIndex previous = term ? progress.match : LogIndex{};
  Send(peer,
       AppendRequest{hard_state_.term, previous, term.value_or(Term{}), {}, commit_index_, round_});
}

void RaftConsensus::Impl::OnAppendResponse(const Member& from, const AppendResponse& response,
                                           Instant now) {
  PeerProgress* const responder = RecordResponse(from, response.term, response.round, now);
  if (responder == nullptr) return;
  PeerProgress& progress = *responder;
  if (response.success) {
    progress.match = std::max(progress.match, std::min(response.match_index, log_.last_index()));
    progress.next = std::max(progress.next, progress.match.Next());
    if (progress.match >= progress.in_flight_end) progress.in_flight_end = {};
    UpdateLeaderCommit(now);
    if (role_ != Role::kLeader) return;
  } else {
    progress.in_flight_end = {};
    progress.next =
        std::max(progress.match.Next(), std::min(response.conflict_hint, progress.next));
  }
  SendNext(from, progress, now);
}

void RaftConsensus::Impl::OnLeavingNotice(const Member& from, const LeavingNotice& notice,
                                          Instant now) {
  if (role_ != Role::kLeader || notice.term != hard_state_.term) return;
  progress_.at(VoteKey(from)).leaving_until = now + options_.election_timeout_maximum;
}

PeerProgress* RaftConsensus::Impl::RecordResponse(const Member& from, Term term, std::int64_t round,
                                                  Instant now) {
  if (term > hard_state_.term) {
    BecomeFollower(term, std::nullopt, now);
    return nullptr;
  }
  if (role_ != Role::kLeader || term < hard_state_.term) return nullptr;
  PeerProgress& progress = progress_.at(VoteKey(from));
  progress.acknowledged_round = std::max(progress.acknowledged_round, std::min(round, round_));
  progress.last_response_at = now;
  return &progress;
}

void RaftConsensus::Impl::UpdateLeaderCommit(Instant now) {
  std::vector<LogIndex> durable;
  for (const Member& voter : log_.membership().voters) {
    const bool own = voter.IsSameMemberAs(self_);
    durable.push_back(own ? durable_index_ : progress_.at(VoteKey(voter)).match);
  }
  const LogIndex reached = ReachedByQuorum(std::move(durable), QuorumSize());
  if (reached > commit_index_ && log_.TermAt(reached) == hard_state_.term) {
    commit_index_ = reached;
    const bool delayed = options_.commit_notification_delay > Duration{};
    if (delayed)
      commit_notification_due_ =
          std::min(commit_notification_due_, now + options_.commit_notification_delay);
  }
  if (!established_at_ && commit_index_ >= noop_index_) {
    established_at_ = now;
    effects_.role_changed = true;
  }
  if (!IsVoter(self_) && log_.membership_index() <= commit_index_) {
    // A removed leader leads until its own removal is committed (dissertation, 4.2.2).
    BecomeFollower(hard_state_.term, std::nullopt, now);
    return;
  }
  CompleteTransferWhenReady(now);
}

Result<void> RaftConsensus::Impl::CheckLeading(Instant now) const {
  if (role_ != Role::kLeader || now >= lease_end()) {
    const bool known = role_ != Role::kLeader && leader_;
    return Fail(ErrorKind::kNotLeader,
                known ? "Control process " + std::to_string(leader_->id.value) + " at " +
                            leader_->address + " leads."
                      : "No leader with a valid lease is known here.",
                known ? "Send the request to it." : "Try again in a second.");
  }
  if (TransferPending(now)) {
    return Fail(ErrorKind::kUnavailable, "A leadership transfer is in progress.",
                "Try again in a second.");
  }
  return {};
}

Result<LogIndex> RaftConsensus::Impl::Propose(std::vector<std::string> commands, Instant now) {
  now_ = std::max(now_, now);
  BOOST_LEAF_CHECK(CheckLeading(now_));
  const LogIndex first = log_.last_index().Next();
  for (auto& command : commands) {
    AppendEntry(
        {hard_state_.term, log_.last_index().Next(), EntryKind::kCommand, std::move(command)});
  }
  Broadcast(now_);
  return first;
}

}  // namespace graniteseam::consensus
