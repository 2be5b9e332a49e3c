/// @file
/// The state of one Raft member. Its steps are implemented by concern: election.cc, leader.cc
/// (replication, lease, commit), follower.cc, membership_change.cc, snapshot_transfer.cc,
/// leadership_transfer.cc and group_bootstrap.cc.
#pragma once

#include <deque>
#include <map>
#include <optional>
#include <random>
#include <set>
#include <vector>

#include "graniteseam/consensus/raft_consensus.h"
#include "src/consensus/peer_progress.h"
#include "src/consensus/raft_log.h"

namespace graniteseam::consensus {

/// Implementation of RaftConsensus. Steps collect their outputs in effects_, which TakeEffects()
/// returns. Not thread safe.
class RaftConsensus::Impl {
 public:
  Impl(ConsensusOptions options, RecoveredState recovered, std::uint64_t seed, Instant now);

  void Tick(Instant now);
  Instant NextTick() const;
  void Step(const PeerMessage& message, Instant now);
  void PersistDone(std::uint64_t sequence, Instant now);
  Result<LogIndex> Propose(std::vector<std::string> commands, Instant now);
  Result<LogIndex> ProposeMembership(const Membership& next, Instant now);
  /// @param only_to_staying excludes voters that are leaving or behind.
  void TransferLeadership(Instant now, bool only_to_staying);
  void PrepareStop(Instant now);
  void OnLeavingNotice(const Member& from, const LeavingNotice& notice, Instant now);
  void SetSeeds(std::vector<Member> seeds) { seeds_ = std::move(seeds); }
  void Compact(LogIndex index, std::string data, Instant now);
  std::vector<Member> Announced() const;
  std::vector<PeerStatus> Peers(Instant now) const;
  std::size_t UncommittedBytes() const;

  /// Returns the effects collected since the last call and assigns a sequence number to their
  /// persist request.
  Effects TakeEffects();

  Role role() const { return role_; }
  Term term() const { return hard_state_.term; }
  const std::optional<Member>& leader() const { return leader_; }
  Instant lease_end() const;
  const std::optional<Instant>& established_at() const { return established_at_; }
  LogIndex commit_index() const { return commit_index_; }
  const RaftLog& log() const { return log_; }
  const Member& self() const { return self_; }

 private:
  /// Consequences of one PersistRequest, which take effect once it is durable.
  struct PendingPersist {
    std::uint64_t sequence = 0;
    Term term;               ///< Term of the request; acknowledgements of older terms are dropped.
    LogIndex durable_index;  ///< Last log index that the request makes durable.
    bool own_vote = false;   ///< The request holds this member's vote for itself.
    std::vector<PeerMessage> acknowledgements;
  };
  /// The last announcement received from a process.
  struct AnnouncedMember {
    Member member;
    bool founding = false;
    bool addressed_to_this_disk = false;  ///< Addressed to this member's current incarnation.
    Instant at;
  };

  // --- raft_consensus.cc: common steps ---
  void Send(const Member& to, PeerPayload payload);
  void SetRole(Role role);
  void BecomeFollower(Term term, std::optional<Member> leader, Instant now);
  void SaveHardState();
  void AppendEntry(LogEntry entry);
  void TruncateLogFrom(LogIndex index);
  PendingPersist& CurrentPendingPersist();
  /// Adds the next committed entries, within their bound.
  void HandOutCommitted(Effects& effects);
  bool IsVoter(const Member& member) const;
  bool IsMember(const Member& member) const;
  std::vector<Member> OtherMembers() const;
  std::vector<Member> OtherVoters() const;
  std::size_t QuorumSize() const { return log_.membership().voters.size() / 2 + 1; }

  // --- election.cc ---
  void ResetElectionDeadline(Instant now);
  bool HasRecentLeaderContact(Instant now) const;
  void BecomePreCandidate(Instant now);
  void BecomeCandidate(bool leadership_transfer, Instant now);
  void RequestVotes(bool pre_vote, bool leadership_transfer, Term term);
  void CountVote(const Member& voter, Instant now);
  bool LogIsUpToDate(const VoteRequest& request) const;
  void OnVoteRequest(const Member& from, const VoteRequest& request, Instant now);
  void OnPreVoteRequest(const Member& from, const VoteRequest& request, Instant now);
  void OnVoteResponse(const Member& from, const VoteResponse& response, Instant now);

  // --- leader.cc ---
  void BecomeLeader(Instant now);
  void LeaderTick(Instant now);
  void StartRound(Instant now);
  void Broadcast(Instant now);
  void Heartbeat(Instant now);
  void SendNext(const Member& peer, PeerProgress& progress, Instant now);
  void SendEntries(const Member& peer, PeerProgress& progress, Instant now);
  void SendEmptyAppend(const Member& peer, PeerProgress& progress);
  /// Sends the commit index to members that were sent an older one.
  void SendCommitIndex();
  void OnAppendResponse(const Member& from, const AppendResponse& response, Instant now);
  /// Processes the term and round that every response to a leader carries; steps down on a higher
  /// term.
  /// @return the sender's progress; null when the response is not for this leader's term.
  PeerProgress* RecordResponse(const Member& from, Term term, std::int64_t round, Instant now);
  std::int64_t QuorumRound() const;
  Instant QuorumRoundSentAt() const;
  void UpdateLeaderCommit(Instant now);
  Duration RetransmitTimeout() const { return 2 * options_.heartbeat_interval; }

  // --- follower.cc ---
  bool AcceptLeader(const Member& from, Term term, Instant now);
  void OnAppendRequest(const Member& from, const AppendRequest& request, Instant now);
  bool EntriesAreWellFormed(const AppendRequest& request) const;
  LogIndex ConflictHint(LogIndex previous_index) const;
  bool StoreEntries(const AppendRequest& request);

  // --- snapshot_transfer.cc ---
  void SendSnapshotChunk(const Member& peer, PeerProgress& progress, Instant now);
  void OnInstallSnapshotRequest(const Member& from, const InstallSnapshotRequest& request,
                                Instant now);
  void OnInstallSnapshotResponse(const Member& from, const InstallSnapshotResponse& response,
                                 Instant now);
  void InstallReceivedSnapshot(const Member& from, const InstallSnapshotRequest& request);

  // --- membership_change.cc ---
  Result<void> CheckMembershipChange(const Membership& next, Instant now) const;
  Result<void> CheckPromotion(const Member& learner, Instant now) const;
  Result<void> CheckRemainingQuorum(const Membership& next, Instant now) const;
  bool RespondedRecently(const Member& member, Instant now) const;
  void SyncProgressWithMembership(LogIndex next_to_send);

  // --- leadership_transfer.cc ---
  bool TransferPending(Instant now) const;
  void CompleteTransferWhenReady(Instant now);
  void OnTimeoutNow(const TimeoutNowRequest& request, Instant now);

  // --- group_bootstrap.cc ---
  void StartBootstrap(RecoveredState& recovered, Instant now);
  bool InNoMembership() const { return log_.membership().voters.empty(); }
  bool MayHaveBeenRemoved(Instant now) const;
  void Announce(Instant now);
  void OnAnnouncement(const PeerMessage& message, bool founding, Instant now);
  void BootstrapIfComplete(Instant now);
  void AppendBootstrapEntry(const Membership& membership, Term term);

  Result<void> CheckLeading(Instant now) const;

  const ConsensusOptions options_;
  const Member self_;
  std::mt19937_64 random_;  ///< Seeded; only for election jitter.

  HardState hard_state_;
  RaftLog log_;
  LogIndex commit_index_;
  LogIndex handed_out_index_;  ///< Last committed index that the driver was given.
  LogIndex durable_index_;     ///< Last index of the log that is durable on this member.

  Role role_ = Role::kFollower;
  std::optional<Member> leader_;
  Instant now_;  ///< The latest instant passed in.
  /// Votes are refused for election_timeout_minimum after this instant; the leader lease relies on
  /// it.
  Instant last_leader_contact_;
  Instant election_deadline_;
  std::set<VoteKey> votes_;

  // Leader only.
  PeerProgressMap progress_;
  std::int64_t round_ = 0;
  /// Send times of recent rounds; older than two election_timeout_maximum are dropped.
  std::map<std::int64_t, Instant> round_sent_at_;
  Instant next_heartbeat_;
  Instant commit_notification_due_ = Instant::max();
  Instant leader_since_;
  LogIndex noop_index_;
  LogIndex commit_at_round_start_;
  std::optional<Instant> established_at_;
  std::optional<Member> transfer_target_;
  Instant transfer_deadline_;

  bool leaving_ = false;  ///< A stop is prepared.

  // Follower only: the snapshot being received.
  std::optional<Snapshot> incoming_snapshot_;

  // Bootstrap and announcements.
  std::optional<Membership> bootstrap_;  ///< Set until the bootstrap entry is appended.
  std::vector<Member> seeds_;
  std::map<ControlId, AnnouncedMember> announced_;
  Instant next_announcement_;

  Effects effects_;
  std::deque<PendingPersist> pending_;
  std::uint64_t sequence_ = 0;
};

}  // namespace graniteseam::consensus
