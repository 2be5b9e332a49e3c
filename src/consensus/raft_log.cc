#include "src/consensus/raft_log.h"

#include <algorithm>

#include "graniteseam/codec/codec.h"

namespace graniteseam::consensus {

Result<Membership> DecodeMembership(std::string_view payload) {
  return codec::Decode<Membership>(payload);
}

RaftLog::RaftLog(std::optional<Snapshot> snapshot, std::vector<LogEntry> entries) {
  if (snapshot) Install(std::make_shared<const Snapshot>(*std::move(snapshot)));
  for (auto& entry : entries) Append(std::move(entry));
}

std::optional<Term> RaftLog::TermAt(LogIndex index) const {
  if (index == base_index_) return base_term_;
  if (index < base_index_ || index > last_index()) return std::nullopt;
  return At(index).term;
}

const LogEntry& RaftLog::At(LogIndex index) const { return entries_[OffsetOf(index)]; }

LogIndex RaftLog::FirstOfTermRun(LogIndex index) const {
  const Term term = At(index).term;
  while (index > first_index() && At(LogIndex{index.value - 1}).term == term) --index.value;
  return index;
}

std::vector<LogEntry> RaftLog::From(LogIndex first, LogIndex last,
                                    std::size_t bytes_maximum) const {
  std::vector<LogEntry> copied;
  std::size_t bytes = 0;
  for (LogIndex index = first; index <= last; index = index.Next()) {
    const LogEntry& entry = At(index);
    bytes += BytesOf(entry);
    if (!copied.empty() && bytes > bytes_maximum) break;
    copied.push_back(entry);
  }
  return copied;
}

void RaftLog::Append(LogEntry entry) {
  if (entry.kind == EntryKind::kMembership) {
    // Payloads are validated earlier: when they are proposed, received or recovered.
    const auto outcome = Attempt([&] { return DecodeMembership(entry.payload); });
    if (const auto* membership = std::get_if<Membership>(&outcome)) {
      memberships_.push_back({entry.index, *membership});
    }
  }
  bytes_ += BytesOf(entry);
  entries_.push_back(std::move(entry));
}

void RaftLog::TruncateFrom(LogIndex index) {
  for (; last_index() >= index; entries_.pop_back()) bytes_ -= BytesOf(entries_.back());
  while (!memberships_.empty() && memberships_.back().index >= index) memberships_.pop_back();
}

LogIndex RaftLog::LastBefore(LogIndex index, const KeptEntries& kept) const {
  std::size_t entries = 0;
  std::size_t bytes = 0;
  while (index > base_index_) {
    bytes += BytesOf(At(index));
    // One entry stays whatever its size: a follower that lacks only it needs no snapshot.
    if (++entries > kept.entries || (entries > 1 && bytes > kept.bytes)) break;
    --index.value;
  }
  return index;
}

void RaftLog::DropThrough(LogIndex index) {
  const Term term = At(index).term;
  for (; base_index_ < index; base_index_ = base_index_.Next()) {
    bytes_ -= BytesOf(entries_.front());
    entries_.pop_front();
  }
  base_term_ = term;
}

void RaftLog::Compact(std::shared_ptr<const Snapshot> snapshot, const KeptEntries& kept) {
  DropMembershipsBefore(snapshot->last_index);
  const LogIndex last_dropped = LastBefore(snapshot->last_index, kept);
  snapshot_ = std::move(snapshot);
  if (last_dropped > base_index_) DropThrough(last_dropped);
}

bool RaftLog::Install(std::shared_ptr<const Snapshot> snapshot) {
  const LogIndex index = snapshot->last_index;
  const bool keep_suffix = TermAt(index) == snapshot->last_term && index > base_index_;
  if (keep_suffix) {
    DropThrough(index);
    DropMembershipsBefore(index);
  } else {
    entries_.clear();
    bytes_ = 0;
    memberships_.assign(1, {index, snapshot->membership});
  }
  base_index_ = index;
  base_term_ = snapshot->last_term;
  snapshot_ = std::move(snapshot);
  return keep_suffix;
}

void RaftLog::DropMembershipsBefore(LogIndex index) {
  while (memberships_.size() > 1 && memberships_[1].index <= index) {
    memberships_.erase(memberships_.begin());
  }
}

const Membership& RaftLog::membership() const { return MembershipAt(last_index()); }

LogIndex RaftLog::membership_index() const {
  return memberships_.empty() ? LogIndex{} : memberships_.back().index;
}

const Membership& RaftLog::MembershipAt(LogIndex index) const {
  static const Membership none;
  const auto after = std::find_if(memberships_.begin(), memberships_.end(),
                                  [&](const auto& change) { return change.index > index; });
  return after == memberships_.begin() ? none : std::prev(after)->membership;
}

}  // namespace graniteseam::consensus
