/// @file
/// What a leader knows of each other member of its group.
#pragma once

#include <compare>
#include <map>
#include <memory>

#include "graniteseam/consensus/types.h"

namespace graniteseam::consensus {

/// Who a vote or acknowledgement belongs to: a member is its id together with its disk.
struct VoteKey {
  ControlId id;
  DiskIncarnation disk;

  explicit VoteKey(const Member& member) : id(member.id), disk(member.disk) {}
  auto operator<=>(const VoteKey&) const = default;
};

/// A snapshot on its way to one member; one chunk in flight.
struct SnapshotTransfer {
  std::shared_ptr<const Snapshot> snapshot;
  std::size_t offset = 0;
  bool waiting = false;  ///< The chunk at `offset` was sent and not answered yet.
  Instant sent_at;
};

/// Replication state of one member, as the leader sees it.
struct PeerProgress {
  LogIndex match;          ///< Highest index known to be durable there.
  LogIndex next{1};        ///< The next index to send; always above `match`.
  LogIndex in_flight_end;  ///< Last index of the append not answered yet; 0 when there is none.
  Instant in_flight_since;
  LogIndex sent_commit_index;                 ///< The newest commit index that was sent there.
  std::int64_t acknowledged_round = 0;        ///< The newest heartbeat round that it answered.
  Instant last_response_at = Instant::min();  ///< When any answer of this term last came.
  std::unique_ptr<SnapshotTransfer> transfer;
};

using PeerProgressMap = std::map<VoteKey, PeerProgress>;

}  // namespace graniteseam::consensus
