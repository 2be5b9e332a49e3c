/// @file
/// Replication progress of each other member, kept by the leader.
#pragma once

#include <compare>
#include <map>
#include <memory>

#include "graniteseam/consensus/types.h"

namespace graniteseam::consensus {

/// Identity of a voter or acknowledging member: its id and disk incarnation.
struct VoteKey {
  ControlId id;
  DiskIncarnation disk;

  explicit VoteKey(const Member& member) : id(member.id), disk(member.disk) {}
  auto operator<=>(const VoteKey&) const = default;
};

/// A snapshot transfer in progress to one member; one chunk in flight.
struct SnapshotTransfer {
  std::shared_ptr<const Snapshot> snapshot;
  std::size_t offset = 0;
  bool waiting = false;  ///< The chunk at `offset` was sent and has no response yet.
  Instant sent_at;
};

/// Replication state of one member, kept by the leader.
struct PeerProgress {
  LogIndex match;          ///< Highest index that is durable on the member.
  LogIndex next{1};        ///< The next index to send; always above `match`.
  LogIndex in_flight_end;  ///< Last index of the append without a response yet; 0 for none.
  Instant in_flight_since;
  LogIndex sent_commit_index;                 ///< The highest commit index sent to it.
  std::int64_t acknowledged_round = 0;        ///< The latest heartbeat round that it acknowledged.
  Instant last_response_at = Instant::min();  ///< Receipt of its last response in this term.
  Instant leaving_until = Instant::min();  ///< Its last notice of a planned stop counts until then.
  std::unique_ptr<SnapshotTransfer> transfer;
};

using PeerProgressMap = std::map<VoteKey, PeerProgress>;

}  // namespace graniteseam::consensus
