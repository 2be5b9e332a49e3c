/// @file
/// The replicated log in memory: entries, the newest snapshot, and the memberships in force.
#pragma once

#include <deque>
#include <memory>
#include <optional>
#include <string_view>
#include <vector>

#include "graniteseam/common/error.h"
#include "graniteseam/consensus/types.h"

namespace graniteseam::consensus {

/// Decodes the payload of a kMembership entry.
Result<Membership> DecodeMembership(std::string_view payload);

/// Entries are contiguous from first_index() to last_index(). What was compacted is known to be
/// committed. Not thread safe.
class RaftLog {
 public:
  RaftLog() = default;

  /// Takes what recovery found; `entries` follow the snapshot.
  RaftLog(std::optional<Snapshot> snapshot, std::vector<LogEntry> entries);

  LogIndex first_index() const { return base_index_.Next(); }
  LogIndex last_index() const { return LogIndex{base_index_.value + entries_.size()}; }
  Term last_term() const { return entries_.empty() ? base_term_ : entries_.back().term; }
  LogIndex snapshot_index() const { return snapshot_ ? snapshot_->last_index : LogIndex{}; }
  const std::shared_ptr<const Snapshot>& snapshot() const { return snapshot_; }

  /// The term at an index; nullopt when it was compacted or is beyond the end. Index 0 has term 0.
  std::optional<Term> TermAt(LogIndex index) const;

  const LogEntry& At(LogIndex index) const;

  /// The first index of the run of entries that have the same term as the one at `index`.
  LogIndex FirstOfTermRun(LogIndex index) const;

  /// Copies entries from `from` on, at least one when there is one, within `bytes_maximum`.
  std::vector<LogEntry> From(LogIndex from, std::size_t bytes_maximum) const;

  /// Copies the entries of a closed range.
  std::vector<LogEntry> Range(LogIndex first, LogIndex last) const;

  /// Appends the next entry. A kMembership entry is in force from now on (dissertation, 4.1).
  void Append(LogEntry entry);

  /// Drops an uncommitted suffix; an earlier membership comes back into force.
  void TruncateFrom(LogIndex index);

  /// Takes a snapshot of this member's own state and drops entries, but keeps the newest `kept`
  /// before it for followers that are a little behind.
  void Compact(Snapshot snapshot, std::size_t kept);

  /// Replaces the log by a snapshot from the leader. Entries after it survive when the log already
  /// holds its last entry. @return whether they did.
  bool Install(Snapshot snapshot);

  /// The newest membership of the log, committed or not; empty before the first one.
  const Membership& membership() const;
  /// The index at which the newest membership stands.
  LogIndex membership_index() const;
  /// The membership in force at an index that is not compacted.
  const Membership& MembershipAt(LogIndex index) const;

 private:
  struct MembershipChange {
    LogIndex index;
    Membership membership;
  };

  std::size_t OffsetOf(LogIndex index) const { return index.value - base_index_.value - 1; }
  void DropMembershipsBefore(LogIndex index);

  LogIndex base_index_;  ///< The last compacted index.
  Term base_term_;
  std::deque<LogEntry> entries_;
  std::shared_ptr<const Snapshot> snapshot_;  ///< Shared with transfers in progress.
  std::vector<MembershipChange> memberships_;
};

}  // namespace graniteseam::consensus
