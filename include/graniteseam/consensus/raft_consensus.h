/// @file
/// The consensus decision maker: a deterministic Raft state machine without I/O, clock or thread.
#pragma once

#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "graniteseam/common/error.h"
#include "graniteseam/consensus/types.h"

namespace graniteseam::consensus {

/// Timing and size limits of one group. All members of a group use the same values.
struct ConsensusOptions {
  Duration heartbeat_interval{50'000};
  Duration election_timeout_minimum{250'000};  ///< Also the span in which a follower refuses votes.
  Duration election_timeout_maximum{450'000};
  /// Shorter than election_timeout_minimum by more than two clocks may drift apart meanwhile.
  Duration leader_lease{200'000};
  /// Within this the other members hear of a commit, also when nothing follows it. 0: with the next
  /// entries or heartbeat, which is soon enough for members that only keep the log.
  Duration commit_notification_delay{0};
  std::size_t append_bytes_maximum = 1 << 20;
  std::size_t snapshot_chunk_bytes = 1 << 18;
  std::size_t entries_kept_after_snapshot = 1'000;
};

/// What a member finds on its disk when it starts. The driver restores its state machine from
/// `snapshot` before the first call; Effects then carry only what comes after it.
struct RecoveredState {
  Member self;
  HardState hard_state;
  std::optional<Snapshot> snapshot;
  std::vector<LogEntry> entries;  ///< Those after the snapshot, contiguous.
  /// The first voters; set only when a group is created, ignored once the log holds a membership.
  /// Disks of others may be 0: they are then learned from their announcements, and the voter with
  /// the lowest id founds the group once all the others have announced themselves.
  std::optional<Membership> bootstrap;
  /// Where a process that is in no membership announces itself; disks may be 0.
  std::vector<Member> seeds;
};

/// What must be made durable, in this order, before any message of the same Effects is sent or
/// before PersistDone() is called: snapshot, truncation, entries, hard state.
struct PersistRequest {
  std::optional<HardState> hard_state;
  std::optional<LogIndex> truncate_from;  ///< Drop this index and all after it.
  std::vector<LogEntry> entries;
  std::optional<Snapshot> snapshot;  ///< Replaces everything up to its last index.
  std::uint64_t sequence = 0;        ///< Passed back to PersistDone().

  bool Empty() const { return !hard_state && !truncate_from && entries.empty() && !snapshot; }
};

enum class Role { kLearner, kFollower, kPreCandidate, kCandidate, kLeader };

/// What the driver must do after one step, in the order of the members. Effects are carried out in
/// the order in which they were returned, each as a whole before the next.
struct Effects {
  PersistRequest persist;             ///< Make durable first; then call PersistDone().
  std::vector<PeerMessage> messages;  ///< May be sent only once `persist` is durable.
  std::optional<Snapshot> restored;   ///< Replace the state machine's state by this.
  std::vector<LogEntry> committed;    ///< Apply in order, after `restored`.
  bool role_changed = false;
};

/// What a leader knows of another member.
struct PeerStatus {
  Member member;
  Duration time_since_response{};  ///< Since it last answered, or since this leadership began.
  bool caught_up = false;          ///< Holds what was committed at the start of the newest round.
};

/// One member of one replicated log.
///
/// Lifecycle: constructed from what recovery found; stepped until destruction. Not thread safe:
/// its driver calls from one thread at a time. `now` never goes back between calls.
class RaftConsensus {
 public:
  /// @param seed seeds the election jitter; equal seeds and inputs give equal outputs.
  RaftConsensus(ConsensusOptions options, RecoveredState recovered, std::uint64_t seed,
                Instant now);
  ~RaftConsensus();
  RaftConsensus(RaftConsensus&&) noexcept;
  RaftConsensus& operator=(RaftConsensus&&) noexcept;

  /// Lets time pass: elections, heartbeats, loss of the leader lease.
  Effects Tick(Instant now);

  /// The next instant at which Tick() has something to do.
  Instant NextTick() const;

  /// Takes a peer's message. Unknown senders and stale incarnations are ignored.
  Effects Step(const PeerMessage& message, Instant now);

  /// Tells that the request with this sequence is durable. A leader counts its own entries, and a
  /// follower acknowledges, only now.
  Effects PersistDone(std::uint64_t sequence, Instant now);

  /// Appends commands as leader.
  /// @param[out] effects what to do now.
  /// @return the index of the first one; kNotLeader when not leading with a valid lease.
  Result<LogIndex> Propose(std::vector<std::string> commands, Instant now, Effects& effects);

  /// Proposes the next membership: one voter or learner added, removed or promoted at a time.
  /// @return kFailedPrecondition when another change is in progress, when more than one voter
  ///     changes, or when a learner has not caught up; kNotLeader.
  Result<LogIndex> ProposeMembership(const Membership& next, Instant now, Effects& effects);

  /// Hands leadership to the most advanced voter, for a planned stop. Proposals are refused until
  /// the transfer has happened or was given up after election_timeout_minimum.
  Effects TransferLeadership(Instant now);

  /// Tells that the state machine's state up to `index` is in `data`, so that the log before it may
  /// be compacted. The returned Effects persist the snapshot.
  Effects Compact(LogIndex index, std::string data, Instant now);

  Role role() const;
  Term term() const;
  /// The leader of the present term, when known.
  std::optional<Member> leader() const;
  /// Until when this member may act as leader without asking; in the past when it may not.
  Instant leader_lease_end() const;
  /// Instant at which this member became leader of the present term and its no-op committed;
  /// nullopt before. Reads of the state machine are current only after that.
  std::optional<Instant> leadership_established() const;
  LogIndex commit_index() const;
  LogIndex last_index() const;
  const Membership& membership() const;
  const Member& self() const;
  /// Processes outside the membership that announced themselves lately: candidates for a learner.
  std::vector<Member> announced() const;
  /// The other members as this leader sees them; empty when it does not lead.
  std::vector<PeerStatus> peers(Instant now) const;

 private:
  class Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace graniteseam::consensus
