/// @file
/// Values and messages of the replicated log: Raft (Ongaro and Ousterhout 2014; Ongaro's
/// dissertation 2014 for pre-vote, leader lease, learners and single-server membership changes), as
/// described in docs/design/consensus.md.
#pragma once

#include <boost/describe/class.hpp>
#include <boost/describe/enum.hpp>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "graniteseam/common/ids.h"
#include "graniteseam/common/time.h"

namespace graniteseam::consensus {

/// A member of a group, identified by its id and its disk incarnation. A process that lost its disk
/// is a different member, so that it cannot vote twice in one term.
struct Member {
  ControlId id;
  DiskIncarnation disk;
  std::string address;  ///< "ip:port" of its internal port.
  ZoneName zone;

  auto operator<=>(const Member&) const = default;
  /// Compares the identity (id and disk incarnation), whatever the address and zone.
  bool IsSameMemberAs(const Member& other) const { return id == other.id && disk == other.disk; }
};
BOOST_DESCRIBE_STRUCT(Member, (), (id, disk, address, zone))

/// The voters of a group and the learners, which receive the log without a vote.
struct Membership {
  std::vector<Member> voters;
  std::vector<Member> learners;

  bool operator==(const Membership&) const = default;
};
BOOST_DESCRIBE_STRUCT(Membership, (), (voters, learners))

/// The content of a log entry.
enum class EntryKind { kNoop, kCommand, kMembership };
BOOST_DESCRIBE_ENUM(EntryKind, kNoop, kCommand, kMembership)

/// One entry of the replicated log. `payload` is a command's bytes, an encoded Membership, or empty
/// for a no-op.
struct LogEntry {
  Term term;
  LogIndex index;
  EntryKind kind = EntryKind::kNoop;
  std::string payload;

  bool operator==(const LogEntry&) const = default;
};
BOOST_DESCRIBE_STRUCT(LogEntry, (), (term, index, kind, payload))

/// Raft's persistent state beside the log; durable before a member responds.
struct HardState {
  Term term;
  std::optional<Member> voted_for;

  bool operator==(const HardState&) const = default;
};
BOOST_DESCRIBE_STRUCT(HardState, (), (term, voted_for))

/// The state machine's state up to and including `last_index`.
struct Snapshot {
  LogIndex last_index;
  Term last_term;
  Membership membership;
  std::string data;  ///< Encoded replicated state.

  bool operator==(const Snapshot&) const = default;
};
BOOST_DESCRIBE_STRUCT(Snapshot, (), (last_index, last_term, membership, data))

/// RequestVote of an election or pre-vote round.
struct VoteRequest {
  Term term;
  bool pre_vote = false;
  LogIndex last_index;
  Term last_term;
  /// The leader of term - 1 gave up its lease and transferred leadership to the sender, so that
  /// voters need not wait for the election timeout.
  bool leadership_transfer = false;
};
BOOST_DESCRIBE_STRUCT(VoteRequest, (), (term, pre_vote, last_index, last_term, leadership_transfer))

/// Response to a VoteRequest.
struct VoteResponse {
  Term term;
  bool pre_vote = false;
  bool granted = false;
};
BOOST_DESCRIBE_STRUCT(VoteResponse, (), (term, pre_vote, granted))

/// AppendEntries; a heartbeat when `entries` is empty.
struct AppendRequest {
  Term term;
  LogIndex previous_index;
  Term previous_term;
  std::vector<LogEntry> entries;
  LogIndex commit_index;
  std::int64_t round = 0;  ///< Echoed, so that the leader lease counts from the round's send.
};
BOOST_DESCRIBE_STRUCT(AppendRequest, (),
                      (term, previous_index, previous_term, entries, commit_index, round))

/// Response to an AppendRequest.
struct AppendResponse {
  Term term;
  bool success = false;
  LogIndex match_index;    ///< Highest index that is durable and equal to the leader's.
  LogIndex conflict_hint;  ///< On failure: the index from which the leader sends next.
  std::int64_t round = 0;
};
BOOST_DESCRIBE_STRUCT(AppendResponse, (), (term, success, match_index, conflict_hint, round))

/// One chunk of a snapshot; chunks are sent in order, one in flight.
struct InstallSnapshotRequest {
  Term term;
  LogIndex last_index;
  Term last_term;
  Membership membership;
  std::int64_t offset = 0;
  bool done = false;
  std::string chunk;
  std::int64_t round = 0;
};
BOOST_DESCRIBE_STRUCT(InstallSnapshotRequest, (),
                      (term, last_index, last_term, membership, offset, done, chunk, round))

/// Response to an InstallSnapshotRequest.
struct InstallSnapshotResponse {
  Term term;
  std::int64_t next_offset = 0;  ///< Offset of the next chunk expected.
  bool installed = false;
  std::int64_t round = 0;
};
BOOST_DESCRIBE_STRUCT(InstallSnapshotResponse, (), (term, next_offset, installed, round))

/// Leadership transfer: starts an election at the receiver at once. The sending leader has given up
/// its lease for the rest of `term`.
struct TimeoutNowRequest {
  Term term;
};
BOOST_DESCRIBE_STRUCT(TimeoutNowRequest, (), (term))

/// Announces the sender's disk incarnation. Sent by a process that is in no membership, or that had
/// no contact with a leader for long and may have been removed, so that a group can be bootstrapped
/// or the leader can add the process as a learner. `to.disk` is 0 while it is unknown.
struct Announcement {
  bool founding = false;  ///< The sender is an initial voter of a group being created.
};
BOOST_DESCRIBE_STRUCT(Announcement, (), (founding))

/// Heartbeats of instances that a member received on behalf of its leader. Carried as a peer
/// message and ignored by the consensus code itself.
struct HeartbeatRelay {
  std::vector<std::string> instances;  ///< Their reports are unchanged.
  std::string changes;  ///< A command with the changed reports, to be proposed; may be empty.
};
BOOST_DESCRIBE_STRUCT(HeartbeatRelay, (), (instances, changes))

/// Sent to the leader beside each AppendResponse by a member that is about to stop as planned.
/// Protocol version 16.
struct LeavingNotice {
  Term term;
};
BOOST_DESCRIBE_STRUCT(LeavingNotice, (), (term))

/// The content of a PeerMessage.
using PeerPayload = std::variant<VoteRequest, VoteResponse, AppendRequest, AppendResponse,
                                 InstallSnapshotRequest, InstallSnapshotResponse, TimeoutNowRequest,
                                 Announcement, HeartbeatRelay, LeavingNotice>;

/// A message between two control processes.
///
/// A receiver drops a message whose `to` is not itself with its current disk incarnation; only
/// announcements may leave the incarnation 0. Responses count only from members with the
/// incarnation in the membership, so that votes and acknowledgements of a lost disk never count
/// towards a quorum. Requests are accepted from any sender, as Raft requires: a member that was
/// disconnected may hold an older membership without its current leader.
struct PeerMessage {
  Member from;
  Member to;
  PeerPayload payload;
};
BOOST_DESCRIBE_STRUCT(PeerMessage, (), (from, to, payload))

}  // namespace graniteseam::consensus
