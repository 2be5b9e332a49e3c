/// @file
/// The server side of ownership: decides whether a request may run. Any server program can use it
/// without the daemons.
#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <vector>

#include "graniteseam/common/error.h"
#include "graniteseam/lease/grant.h"

namespace graniteseam::lease {

/// Holds one server's lease and shard grants, and answers lease requests.
///
/// Invariant: between Begin() and a successful Commit() of one request, this server held the shard
/// at the request's epoch under a lease that had not expired at the instant of Commit().
/// Not thread safe; a server guards it with a lock or calls it from one thread.
class FencedOwner {
 public:
  /// @param incarnation must differ from those of all earlier starts of this server.
  FencedOwner(ServerId server, Incarnation incarnation);

  /// Applies a control leader's request.
  /// @return the resulting state, with `accepted` false when the request was rejected.
  LeaseAnswer Take(const LeaseRequest& request, Instant now);

  /// Starts a request for a shard. Each success must be followed by End().
  /// @return kNotOwner when the shard is not held at this epoch or is being revoked, or when the
  ///     lease has expired. Nothing ran, so the caller answers "not run".
  Result<void> Begin(const ShardGrant& grant, Instant now);

  /// Checks, at the point where a request's effect becomes durable, that the shard is still owned.
  /// @return kNotOwner when it is not; the caller must answer "outcome unknown" or undo the effect.
  Result<void> Commit(const ShardGrant& grant, Instant now) const;

  /// Ends a request started with Begin(), whatever its outcome. A revoked shard is released when
  /// its last request ends.
  void End(const ShardGrant& grant);

  /// Checks whether a request of a pooled service may start.
  /// @return kNotOwner when the lease has expired.
  Result<void> BeginPooled(Instant now) const;

  /// Sets whether the answers ask the leader to drain this server.
  void SetLeaving(bool leaving) { leaving_ = leaving; }
  bool LeaseValid(Instant now) const;
  /// End of the lease, exclusive.
  Instant lease_end() const { return valid_until_; }
  Incarnation incarnation() const { return incarnation_; }
  /// The shards that accept new requests while the lease is valid.
  std::vector<ShardGrant> Held() const;

 private:
  struct HeldShard {
    Epoch epoch;
    bool revoked = false;
    std::uint32_t in_flight = 0;
  };

  bool Accept(const LeaseRequest& request);
  LeaseAnswer Describe(const LeaseRequest& request, bool accepted, Instant now) const;
  void ApplyChange(const LeaseRequest& request);
  void ReplaceSet(const LeaseRequest& request);
  void Grant(const ShardGrant& grant);
  void Revoke(const ShardGrant& grant);
  const HeldShard* Find(const ShardGrant& grant) const;

  ServerId server_;
  Incarnation incarnation_;
  MessageOrder last_order_;
  Instant valid_until_{};
  std::uint64_t shard_set_version_ = 0;
  std::map<ShardId, HeldShard> shards_;
  std::set<ShardGrant> released_;
  bool leaving_ = false;
};

}  // namespace graniteseam::lease
