/// @file
/// What the control leader and a server say to each other about ownership. See
/// docs/design/leases-and-fencing.md and, for the bytes, docs/interface/servers.md.
#pragma once

#include <compare>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "graniteseam/common/ids.h"
#include "graniteseam/common/time.h"

namespace graniteseam::lease {

/// Orders all messages to servers: a server ignores one that is not newer than the last it took.
struct MessageOrder {
  Term term;
  std::uint64_t sequence = 0;
  auto operator<=>(const MessageOrder&) const = default;
};

/// The right to run requests for one shard, bound to an epoch.
struct ShardGrant {
  ShardId shard;
  Epoch epoch;
  auto operator<=>(const ShardGrant&) const = default;
};

/// Control leader to server. The first to an incarnation is a hello: no lease, no shards.
///
/// A change (target version other than base version, or base 0) carries in `revocations` every
/// shard whose release the leader still waits for, so that a lost answer loses no release; the
/// server forgets the releases that a change no longer names. A plain renewal has base equal to
/// target, both lists empty, and extends the lease of exactly that set. A grant never takes back a
/// revocation: once revoked, a shard comes back only at a higher epoch.
struct LeaseRequest {
  ServerId server;
  MessageOrder order;
  std::optional<Incarnation> incarnation;  ///< Absent in a hello; another one's is refused.
  std::optional<Instant> valid_until;      ///< On the server's own clock.
  std::uint64_t base_version = 0;    ///< Shard-set version the change applies to; 0 means "empty".
  std::uint64_t target_version = 0;  ///< Shard-set version after the change.
  std::vector<ShardGrant> grants;    ///< Added to the set.
  std::vector<ShardGrant> revocations;  ///< To be drained and released.
};

/// Server to control leader.
struct LeaseAnswer {
  ServerId server;
  MessageOrder order;  ///< That of the request answered. Not on the wire: HTTP ties an answer to
                       ///< its request, and the adapter copies it. Term 0 means "not known".
  Incarnation incarnation;
  Instant reading;                      ///< The server's clock when it took the request.
  bool accepted = false;                ///< False: order, incarnation or base version did not fit.
  std::uint64_t shard_set_version = 0;  ///< The version now held.
  std::vector<ShardGrant> released;     ///< Revoked and with nothing in flight any more; repeated
                                        ///< until the leader's next change drops them.
  bool leaving = false;                 ///< The server wants to be drained.
  double load = 0.0;                    ///< Its own word, 0 idle to 1 full; a hint only.
};

}  // namespace graniteseam::lease
