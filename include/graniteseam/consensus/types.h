/// @file
/// Values and messages of the replicated log: Raft (Ongaro and Ousterhout 2014; Ongaro's
/// dissertation 2014 for pre-vote, leader lease, learners and one-at-a-time membership change), as
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

/// A member is known by its id together with its disk's incarnation: one that lost its disk is
/// another member and may not use its old vote.
struct Member {
  ControlId id;
  DiskIncarnation disk;
  std::string address;  ///< "ip:port" of its internal port.
  ZoneName zone;

  auto operator<=>(const Member&) const = default;
  bool IsSameMemberAs(const Member& other) const { return id == other.id && disk == other.disk; }
};
BOOST_DESCRIBE_STRUCT(Member, (), (id, disk, address, zone))

/// Who votes and who only receives the log.
struct Membership {
  std::vector<Member> voters;
  std::vector<Member> learners;

  bool operator==(const Membership&) const = default;
};
BOOST_DESCRIBE_STRUCT(Membership, (), (voters, learners))

enum class EntryKind { kNoop, kCommand, kMembership };
BOOST_DESCRIBE_ENUM(EntryKind, kNoop, kCommand, kMembership)

/// One entry of the replicated log. `payload` is a command's bytes, or an encoded Membership.
struct LogEntry {
  Term term;
  LogIndex index;
  EntryKind kind = EntryKind::kNoop;
  std::string payload;

  bool operator==(const LogEntry&) const = default;
};
BOOST_DESCRIBE_STRUCT(LogEntry, (), (term, index, kind, payload))

/// What a member must remember across restarts before it answers.
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

struct VoteRequest {
  Term term;
  bool pre_vote = false;
  LogIndex last_index;
  Term last_term;
  /// The leader of term - 1 gave up its lease and asked the sender to take over, so that voters
  /// need not wait until that leader has been silent for long.
  bool leadership_transfer = false;
};
BOOST_DESCRIBE_STRUCT(VoteRequest, (), (term, pre_vote, last_index, last_term, leadership_transfer))

struct VoteResponse {
  Term term;
  bool pre_vote = false;
  bool granted = false;
};
BOOST_DESCRIBE_STRUCT(VoteResponse, (), (term, pre_vote, granted))

struct AppendRequest {
  Term term;
  LogIndex previous_index;
  Term previous_term;
  std::vector<LogEntry> entries;
  LogIndex commit_index;
  std::int64_t round = 0;  ///< Echoed; lets the leader date its lease from the send of the round.
};
BOOST_DESCRIBE_STRUCT(AppendRequest, (),
                      (term, previous_index, previous_term, entries, commit_index, round))

struct AppendResponse {
  Term term;
  bool success = false;
  LogIndex match_index;    ///< Highest index known to be durable and equal to the leader's.
  LogIndex conflict_hint;  ///< On failure: where the leader should probe next.
  std::int64_t round = 0;
};
BOOST_DESCRIBE_STRUCT(AppendResponse, (), (term, success, match_index, conflict_hint, round))

/// One chunk of a snapshot; chunks go in order, one in flight.
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

struct InstallSnapshotResponse {
  Term term;
  std::int64_t next_offset = 0;
  bool installed = false;
  std::int64_t round = 0;
};
BOOST_DESCRIBE_STRUCT(InstallSnapshotResponse, (), (term, next_offset, installed, round))

/// From a leader that has given up its lease for the rest of `term`: stand for election at once.
struct TimeoutNowRequest {
  Term term;
};
BOOST_DESCRIBE_STRUCT(TimeoutNowRequest, (), (term))

/// From a process that is in no membership, or heard of no leader for long and may have been
/// removed: tells its disk incarnation, so that a group can be founded, or the leader can take it
/// in as a learner. `to.disk` is 0 while it is unknown.
struct Announcement {
  bool founding = false;  ///< Is one of the first voters of a group that is being created.
};
BOOST_DESCRIBE_STRUCT(Announcement, (), (founding))

/// From a member to its leader: instances whose heartbeats it took for it. Goes the way of the
/// other messages; consensus itself does not read it.
struct HeartbeatRelay {
  std::vector<std::string> instances;  ///< They told nothing new.
  std::string changes;  ///< A command with the reports that did, to be proposed; may be empty.
};
BOOST_DESCRIBE_STRUCT(HeartbeatRelay, (), (instances, changes))

using PeerPayload =
    std::variant<VoteRequest, VoteResponse, AppendRequest, AppendResponse, InstallSnapshotRequest,
                 InstallSnapshotResponse, TimeoutNowRequest, Announcement, HeartbeatRelay>;

/// A message between two control processes.
///
/// A receiver drops one whose `to` is not itself with its present disk incarnation. Responses count
/// only from members with the incarnation that the membership names, so a vote or acknowledgement
/// of a lost disk never makes up a quorum. Requests are taken from anyone, as Raft demands: a
/// member that was away may not know its present leader yet.
struct PeerMessage {
  Member from;
  Member to;
  PeerPayload payload;
};
BOOST_DESCRIBE_STRUCT(PeerMessage, (), (from, to, payload))

}  // namespace graniteseam::consensus
