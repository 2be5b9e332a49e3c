/// @file
/// Raft consensus as a deterministic state machine. It does no I/O, reads no clock and starts no
/// thread: its driver passes in messages and time, and carries out the returned effects.
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
  /// Time between two heartbeat rounds of the leader.
  Duration heartbeat_interval{50'000};
  /// Lower bound of the randomized election timeout. A member also refuses votes for this long
  /// after its last contact with a leader.
  Duration election_timeout_minimum{250'000};
  /// Upper bound of the randomized election timeout. A leader without responses from a quorum for
  /// this long steps down.
  Duration election_timeout_maximum{450'000};
  /// Length of the leader lease, counted from the send of a heartbeat round. Shorter than
  /// election_timeout_minimum by more than the drift of two clocks over that time.
  Duration leader_lease{200'000};
  /// Upper bound on the delay before the leader sends a new commit index to members, when no
  /// entries or heartbeat carry it earlier. 0 sends it only with the next entries or heartbeat,
  /// which is sufficient for members that only store the log.
  Duration commit_notification_delay{0};
  std::size_t append_bytes_maximum = 1 << 20;  ///< Bytes of entries in one append request.
  std::size_t snapshot_chunk_bytes = 1 << 18;  ///< Bytes of one snapshot chunk.
  /// Entries kept before a snapshot, for followers that are slightly behind.
  std::size_t entries_kept_after_snapshot = 1'000;
  /// Bytes that these entries may take together.
  std::size_t bytes_kept_after_snapshot = 2UL << 20U;
  /// Bytes of committed entries in one Effects, or one entry; the log may hold many times as much
  /// after a start.
  std::size_t committed_bytes_maximum = 1 << 20;
};

/// Durable state that a member recovers at startup. The driver restores its state machine from the
/// snapshot before the first call, taken from here or from RaftConsensus::snapshot(); Effects then
/// carry only the changes after it.
struct RecoveredState {
  Member self;
  HardState hard_state;
  std::optional<Snapshot> snapshot;
  std::vector<LogEntry> entries;  ///< Contiguous entries after the snapshot.
  /// The initial voters. Set only when a group is created; ignored once the log holds a membership.
  /// Disk incarnations of others may be 0: they are then taken from their announcements, and the
  /// voter with the lowest id bootstraps the group once all the others have announced themselves.
  std::optional<Membership> bootstrap;
  /// Members to which a process outside the membership announces itself; disk incarnations may be
  /// 0.
  std::vector<Member> seeds;
};

/// A write that must be durable before any message of the same Effects is sent and before
/// PersistDone() is called. Applied in the order snapshot, truncation, entries, hard state.
struct PersistRequest {
  std::optional<HardState> hard_state;
  std::optional<LogIndex> truncate_from;  ///< Removes this index and all after it.
  std::vector<LogEntry> entries;
  /// Replaces everything up to its last index. Shared, since a snapshot is as large as the state.
  std::shared_ptr<const Snapshot> snapshot;
  std::uint64_t sequence = 0;  ///< Passed back to PersistDone().

  bool Empty() const { return !hard_state && !truncate_from && entries.empty() && !snapshot; }
};

/// The role of a member in the current term.
enum class Role { kLearner, kFollower, kPreCandidate, kCandidate, kLeader };

/// Actions for the driver after one step, in the order of the struct's fields. The driver completes
/// each Effects before the next one, in the order in which they were returned.
struct Effects {
  PersistRequest persist;                    ///< Written first; PersistDone() follows.
  std::vector<PeerMessage> messages;         ///< Sent only once `persist` is durable.
  std::shared_ptr<const Snapshot> restored;  ///< Replaces the state machine's state.
  std::vector<LogEntry> committed;           ///< Applied in order, after `restored`.
  /// Further entries are committed: the driver takes them with TakeCommitted() before it goes on.
  bool more_committed = false;
  bool role_changed = false;
};

/// Status of another member as seen by the leader.
struct PeerStatus {
  Member member;
  Duration time_since_response{};  ///< Since its last response, or since this leadership
                                   ///< began.
  bool caught_up = false;  ///< Holds all entries committed at the start of the latest round.
  bool leaving = false;    ///< It said lately that it is about to stop as planned.
};

/// One member of one replicated log.
///
/// Lifecycle: constructed from the recovered state, then stepped until destruction. Not thread
/// safe: the driver calls it from one thread at a time. `now` never decreases between calls.
class RaftConsensus {
 public:
  /// @param seed seed of the election jitter; equal seeds and inputs give equal outputs.
  RaftConsensus(ConsensusOptions options, RecoveredState recovered, std::uint64_t seed,
                Instant now);
  ~RaftConsensus();
  RaftConsensus(RaftConsensus&&) noexcept;
  RaftConsensus& operator=(RaftConsensus&&) noexcept;

  /// Runs the timers that are due: elections, heartbeats, check-quorum.
  Effects Tick(Instant now);

  /// The instant at which the next Tick() is due.
  Instant NextTick() const;

  /// Processes a message from a peer. Messages to another disk incarnation, and responses from
  /// non-members, are dropped.
  Effects Step(const PeerMessage& message, Instant now);

  /// Returns the committed entries that follow those of the last Effects; see
  /// Effects::more_committed.
  Effects TakeCommitted();

  /// Reports that the persist request with this sequence, and all before it, are durable. Only then
  /// does a leader count its own entries and a follower acknowledge.
  Effects PersistDone(std::uint64_t sequence, Instant now);

  /// Appends commands as leader.
  /// @param[out] effects actions for the driver.
  /// @return the index of the first command; kNotLeader without a valid leader lease; kUnavailable
  ///     during a leadership transfer.
  Result<LogIndex> Propose(std::vector<std::string> commands, Instant now, Effects& effects);

  /// Proposes the next membership: one member added, removed, promoted or demoted at a time.
  /// @return the index of the entry; kFailedPrecondition when another change is in progress, when
  ///     more than one member changes, when a learner has not caught up, or when the remaining
  ///     voters would have no responsive quorum; kNotLeader and kUnavailable as for Propose().
  Result<LogIndex> ProposeMembership(const Membership& next, Instant now, Effects& effects);

  /// Transfers leadership to the most advanced responsive voter, preferably to one that is not
  /// leaving. Proposals are refused until the transfer completes or times out after
  /// election_timeout_minimum.
  Effects TransferLeadership(Instant now);

  /// Before a planned stop: transfers leadership, now and whenever this member leads again, and
  /// reports this member as leaving to other leaders. It lasts until the process ends.
  Effects PrepareStop(Instant now);

  /// Replaces the seeds to which this process announces itself.
  void SetSeeds(std::vector<Member> seeds);

  /// Compacts the log up to `index`, given the encoded state machine up to and including `index` in
  /// `data`. The returned Effects persist the snapshot.
  Effects Compact(LogIndex index, std::string data, Instant now);

  Role role() const;
  Term term() const;
  /// The leader of the current term, when known.
  std::optional<Member> leader() const;
  /// End of this member's leader lease, within which it may act without a quorum round; an instant
  /// in the past when it holds none.
  Instant leader_lease_end() const;
  /// Instant at which this leader's no-op entry of the current term was committed; nullopt before.
  /// Reads of the state machine are current only after it.
  std::optional<Instant> leadership_established() const;
  LogIndex commit_index() const;
  LogIndex last_index() const;
  /// The latest snapshot; null before the first one.
  std::shared_ptr<const Snapshot> snapshot() const;
  /// Bytes of the log's entries in memory.
  std::size_t log_bytes() const;
  /// Bytes of the entries that are not committed.
  std::size_t uncommitted_bytes() const;
  const Membership& membership() const;
  const Member& self() const;
  /// Processes outside the membership with a recent announcement: candidates for learners.
  std::vector<Member> announced() const;
  /// Status of the other members; empty when this member does not lead.
  std::vector<PeerStatus> peers(Instant now) const;

 private:
  class Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace graniteseam::consensus
