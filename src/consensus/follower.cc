/// @file
/// Replication on followers and learners.
#include <algorithm>

#include "src/consensus/raft_impl.h"

namespace graniteseam::consensus {

bool RaftConsensus::Impl::AcceptLeader(const Member& from, Term term, Instant now) {
  if (term < hard_state_.term) return false;
  // A term has at most one leader, so a second one is a faulty sender.
  if (term == hard_state_.term && role_ == Role::kLeader) return false;
  const bool passive = role_ == Role::kFollower || role_ == Role::kLearner;
  if (term > hard_state_.term || !passive) BecomeFollower(term, from, now);
  leader_ = from;
  last_leader_contact_ = now;
  ResetElectionDeadline(now);
  return true;
}

bool RaftConsensus::Impl::EntriesAreWellFormed(const AppendRequest& request) const {
  LogIndex expected = request.previous_index.Next();
  Term term = request.previous_term;
  for (const LogEntry& entry : request.entries) {
    if (entry.index != expected || entry.term < term || entry.term > request.term) return false;
    if (entry.kind == EntryKind::kMembership &&
        ErrorOf(Attempt([&] { return DecodeMembership(entry.payload); }))) {
      return false;
    }
    expected = expected.Next();
    term = entry.term;
  }
  return true;
}

LogIndex RaftConsensus::Impl::ConflictHint(LogIndex previous_index) const {
  if (previous_index > log_.last_index()) return log_.last_index().Next();
  // Skips all entries of the conflicting term in one step (Raft, 5.3).
  return std::max(log_.FirstOfTermRun(previous_index), commit_index_.Next());
}

bool RaftConsensus::Impl::StoreEntries(const AppendRequest& request) {
  bool stored = false;
  for (const LogEntry& entry : request.entries) {
    if (entry.index <= commit_index_) continue;
    if (entry.index <= log_.last_index()) {
      if (log_.TermAt(entry.index) == entry.term) continue;
      TruncateLogFrom(entry.index);
    }
    AppendEntry(entry);
    stored = true;
  }
  if (stored) SetRole(IsVoter(self_) ? Role::kFollower : Role::kLearner);
  return stored;
}

void RaftConsensus::Impl::OnAppendRequest(const Member& from, const AppendRequest& request,
                                          Instant now) {
  AppendResponse response{hard_state_.term, false, {}, log_.last_index().Next(), request.round};
  if (!EntriesAreWellFormed(request)) return;
  if (!AcceptLeader(from, request.term, now)) {
    Send(from, response);
    return;
  }
  response.term = hard_state_.term;
  if (leaving_) Send(from, LeavingNotice{hard_state_.term});
  // Committed entries equal the leader's, whether or not they are compacted here.
  const bool matches = request.previous_index <= commit_index_ ||
                       log_.TermAt(request.previous_index) == request.previous_term;
  if (!matches) {
    response.conflict_hint = ConflictHint(request.previous_index);
    Send(from, response);
    return;
  }
  const bool stored = StoreEntries(request);
  const LogIndex match{request.previous_index.value + request.entries.size()};
  commit_index_ = std::max(commit_index_, std::min(request.commit_index, match));
  response.success = true;
  if (stored) {
    response.match_index = match;
    CurrentPendingPersist().acknowledgements.push_back({self_, from, response});
  } else {
    response.match_index = std::min(match, durable_index_);
    Send(from, response);
  }
}

}  // namespace graniteseam::consensus
