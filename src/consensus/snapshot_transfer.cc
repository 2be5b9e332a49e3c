/// @file
/// Log compaction, and transfer of snapshots in chunks to members that need compacted entries.
#include <algorithm>

#include "src/consensus/raft_impl.h"

namespace graniteseam::consensus {

void RaftConsensus::Impl::Compact(LogIndex index, std::string data, Instant now) {
  now_ = std::max(now_, now);
  if (index > handed_out_index_ || index <= log_.snapshot_index()) return;
  auto snapshot = std::make_shared<const Snapshot>(
      Snapshot{index, *log_.TermAt(index), log_.MembershipAt(index), std::move(data)});
  effects_.persist.snapshot = snapshot;
  log_.Compact(std::move(snapshot),
               {options_.entries_kept_after_snapshot, options_.bytes_kept_after_snapshot});
}

void RaftConsensus::Impl::SendSnapshotChunk(const Member& peer, PeerProgress& progress,
                                            Instant now) {
  if (!progress.transfer) {
    progress.transfer = std::make_unique<SnapshotTransfer>();
    progress.transfer->snapshot = log_.snapshot();
    progress.in_flight_end = {};
  }
  SnapshotTransfer& transfer = *progress.transfer;
  if (transfer.waiting && now < transfer.sent_at + RetransmitTimeout()) return;
  transfer.waiting = true;
  transfer.sent_at = now;
  const Snapshot& snapshot = *transfer.snapshot;
  std::string chunk = snapshot.data.substr(transfer.offset, options_.snapshot_chunk_bytes);
  const bool done = transfer.offset + chunk.size() == snapshot.data.size();
  Send(peer, InstallSnapshotRequest{hard_state_.term, snapshot.last_index, snapshot.last_term,
                                    snapshot.membership, static_cast<std::int64_t>(transfer.offset),
                                    done, std::move(chunk), round_});
}

void RaftConsensus::Impl::OnInstallSnapshotResponse(const Member& from,
                                                    const InstallSnapshotResponse& response,
                                                    Instant now) {
  PeerProgress* const responder = RecordResponse(from, response.term, response.round, now);
  if (responder == nullptr) return;
  PeerProgress& progress = *responder;
  if (!progress.transfer) return;
  SnapshotTransfer& transfer = *progress.transfer;
  if (response.installed) {
    progress.match = std::max(progress.match, transfer.snapshot->last_index);
    progress.next = std::max(progress.next, progress.match.Next());
    progress.transfer.reset();
    UpdateLeaderCommit(now);
    if (role_ == Role::kLeader) SendNext(from, progress, now);
    return;
  }
  const auto wanted = static_cast<std::size_t>(std::max<std::int64_t>(response.next_offset, 0));
  // A response to a retransmitted chunk; the next chunk is in flight already.
  if (wanted == transfer.offset || wanted > transfer.snapshot->data.size()) return;
  transfer.offset = wanted;
  transfer.waiting = false;
  SendSnapshotChunk(from, progress, now);
}

void RaftConsensus::Impl::OnInstallSnapshotRequest(const Member& from,
                                                   const InstallSnapshotRequest& request,
                                                   Instant now) {
  InstallSnapshotResponse response{hard_state_.term, 0, false, request.round};
  if (!AcceptLeader(from, request.term, now)) {
    Send(from, response);
    return;
  }
  response.term = hard_state_.term;
  if (request.last_index <= commit_index_) {
    // Already committed here. Acknowledged only once durable, since the leader counts it as such.
    response.installed = request.last_index <= durable_index_;
    if (response.installed) Send(from, response);
    return;
  }
  const bool same = incoming_snapshot_ && incoming_snapshot_->last_index == request.last_index &&
                    incoming_snapshot_->last_term == request.last_term;
  if (!same || request.offset == 0) {
    incoming_snapshot_ = Snapshot{request.last_index, request.last_term, request.membership, ""};
  }
  std::string& data = incoming_snapshot_->data;
  const bool expected = request.offset == static_cast<std::int64_t>(data.size());
  if (expected) data += request.chunk;
  if (expected && request.done) {
    InstallReceivedSnapshot(from, request);
    return;
  }
  response.next_offset = static_cast<std::int64_t>(data.size());
  Send(from, response);
}

void RaftConsensus::Impl::InstallReceivedSnapshot(const Member& from,
                                                  const InstallSnapshotRequest& request) {
  auto snapshot = std::make_shared<const Snapshot>(std::move(*incoming_snapshot_));
  incoming_snapshot_.reset();
  const LogIndex last = snapshot->last_index;
  effects_.persist.snapshot = snapshot;
  effects_.restored = snapshot;
  if (!log_.Install(std::move(snapshot))) {
    // The whole previous log is removed, on disk as well; nothing counts as durable until then.
    effects_.persist.truncate_from = last.Next();
    durable_index_ = {};
    for (auto& pending : pending_) pending.durable_index = {};
  }
  commit_index_ = last;
  auto& pending = CurrentPendingPersist();
  pending.durable_index = last;
  const InstallSnapshotResponse response{hard_state_.term, 0, true, request.round};
  pending.acknowledgements.push_back({self_, from, response});
  SetRole(IsVoter(self_) ? Role::kFollower : Role::kLearner);
}

}  // namespace graniteseam::consensus
