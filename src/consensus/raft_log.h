/// @file
/// The replicated log in memory: entries, the latest snapshot, and the effective memberships.
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

/// Bytes that an entry takes in memory.
inline std::size_t BytesOf(const LogEntry& entry) {
  return entry.payload.size() + sizeof(LogEntry);
}

/// Bounds of the entries that stay in memory before a snapshot; both hold.
struct KeptEntries {
  std::size_t entries = 0;
  std::size_t bytes = 0;
};

/// In-memory log. Entries are contiguous from first_index() to last_index(). Compacted entries are
/// committed. Not thread safe.
class RaftLog {
 public:
  RaftLog() = default;

  /// Builds the log from recovered state; `entries` follow the snapshot.
  RaftLog(std::optional<Snapshot> snapshot, std::vector<LogEntry> entries);

  LogIndex first_index() const { return base_index_.Next(); }
  /// Bytes of all entries in memory.
  std::size_t bytes() const { return bytes_; }
  LogIndex last_index() const { return LogIndex{base_index_.value + entries_.size()}; }
  Term last_term() const { return entries_.empty() ? base_term_ : entries_.back().term; }
  LogIndex snapshot_index() const { return snapshot_ ? snapshot_->last_index : LogIndex{}; }
  const std::shared_ptr<const Snapshot>& snapshot() const { return snapshot_; }

  /// The term at an index; nullopt when it is compacted or beyond the end. Index 0 has term 0.
  std::optional<Term> TermAt(LogIndex index) const;

  const LogEntry& At(LogIndex index) const;

  /// The first index of the contiguous entries with the same term as the one at `index`.
  LogIndex FirstOfTermRun(LogIndex index) const;

  /// Copies the entries of a closed range, up to `bytes_maximum` but at least one when there is
  /// one.
  std::vector<LogEntry> From(LogIndex first, LogIndex last, std::size_t bytes_maximum) const;

  /// Appends the next entry. A kMembership entry takes effect at once, before it is committed
  /// (dissertation, 4.1).
  void Append(LogEntry entry);

  /// Removes an uncommitted suffix; an earlier membership takes effect again.
  void TruncateFrom(LogIndex index);

  /// Stores a snapshot of this member's own state and drops the entries before it, except the
  /// newest within `kept` for followers that are slightly behind.
  void Compact(std::shared_ptr<const Snapshot> snapshot, const KeptEntries& kept);

  /// Replaces the log by a snapshot from the leader. Entries after the snapshot are retained when
  /// the log holds the snapshot's last entry.
  /// @return whether they are retained.
  bool Install(std::shared_ptr<const Snapshot> snapshot);

  /// The latest membership of the log, committed or not; empty before the first one.
  const Membership& membership() const;
  /// The index of the latest membership entry.
  LogIndex membership_index() const;
  /// The effective membership at an index that is not compacted.
  const Membership& MembershipAt(LogIndex index) const;

 private:
  struct MembershipChange {
    LogIndex index;
    Membership membership;
  };

  std::size_t OffsetOf(LogIndex index) const { return index.value - base_index_.value - 1; }
  void DropMembershipsBefore(LogIndex index);
  /// Removes the entries up to and including an index, which is in the log.
  void DropThrough(LogIndex index);
  /// The last entry up to `index` that does not fit into `kept`.
  LogIndex LastBefore(LogIndex index, const KeptEntries& kept) const;

  LogIndex base_index_;  ///< The last compacted index.
  Term base_term_;
  std::deque<LogEntry> entries_;
  std::size_t bytes_ = 0;                     ///< Of all entries.
  std::shared_ptr<const Snapshot> snapshot_;  ///< Shared with transfers in progress.
  std::vector<MembershipChange> memberships_;
};

}  // namespace graniteseam::consensus
