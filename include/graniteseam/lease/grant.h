/// @file
/// Lease messages between the control leader and a server. See docs/design/leases-and-fencing.md
/// and, for the encoding, docs/interface/servers.md.
#pragma once

#include <compare>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "graniteseam/common/ids.h"
#include "graniteseam/common/time.h"

namespace graniteseam::lease {

/// Orders all messages to servers: a server rejects a message that is not newer than the last one
/// that it accepted.
struct MessageOrder {
  Term term;                   ///< Of the sending leader.
  std::uint64_t sequence = 0;  ///< Increases within a term.
  auto operator<=>(const MessageOrder&) const = default;
};

/// The right to run requests for one shard, bound to an epoch.
struct ShardGrant {
  ShardId shard;
  Epoch epoch;
  auto operator<=>(const ShardGrant&) const = default;
};

/// Control leader to server. The first message to an incarnation is a hello, which has neither a
/// lease nor shards.
///
/// A change (target version other than base version, or base 0) carries in `revocations` every
/// shard whose release the leader still waits for, so that a lost answer loses no release. The
/// server drops the releases that a change no longer names. A plain renewal has base equal to
/// target and empty lists, and extends the lease of exactly that set. A grant never reverses a
/// revocation: a revoked shard is granted again only at a higher epoch.
struct LeaseRequest {
  ServerId server;
  MessageOrder order;
  std::optional<Incarnation> incarnation;  ///< Absent in a hello; a mismatch is rejected.
  std::optional<Instant> valid_until;      ///< Lease end on the server's own clock.
  std::uint64_t base_version = 0;    ///< Shard-set version the change applies to; 0 means "empty".
  std::uint64_t target_version = 0;  ///< Shard-set version after the change.
  std::vector<ShardGrant> grants;    ///< Added to the set.
  std::vector<ShardGrant> revocations;  ///< Shards to drain and release.
};

/// Server to control leader.
struct LeaseAnswer {
  ServerId server;
  MessageOrder order;  ///< That of the request. Not encoded: HTTP associates an answer with its
                       ///< request, and the adapter copies it. Term 0 means unknown.
  Incarnation incarnation;
  Instant reading;        ///< The server's clock when it received the request.
  bool accepted = false;  ///< False: order, incarnation or base version did not match.
  std::uint64_t shard_set_version = 0;  ///< The version held after the request.
  std::vector<ShardGrant> released;  ///< Revoked shards without requests in flight; repeated until
                                     ///< a change of the leader no longer names them.
  bool leaving = false;              ///< The server asks to be drained.
  double load = 0.0;                 ///< Self-reported, 0 idle to 1 full; a hint only.
};

}  // namespace graniteseam::lease
