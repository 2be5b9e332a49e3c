/// @file
/// The server's side of ownership: decides whether a request may run. Usable by any server program
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

/// Holds one server's grants and answers lease requests.
///
/// Invariant: between Begin() and a successful Commit() of one request, this server held the shard
/// at the request's epoch under a lease that had not run out at the instant of Commit().
/// Not thread safe; a server guards it by a lock or calls it from one thread.
class FencedOwner {
 public:
  /// @param incarnation must differ from that of every earlier start of this server.
  FencedOwner(ServerId server, Incarnation incarnation);

  /// Takes a control leader's message and says what is now held.
  LeaseAnswer Take(const LeaseRequest& request, Instant now);

  /// Asks to start a request for a shard.
  /// @return kNotOwner (nothing ran, tell "not run") when the shard is not held at this epoch, is
  ///     being revoked, or the lease is over.
  Result<void> Begin(const ShardGrant& grant, Instant now);

  /// Asks, at the point where the effect becomes durable, whether it still may. The caller must
  /// answer "outcome unknown" or undo on kNotOwner.
  Result<void> Commit(const ShardGrant& grant, Instant now) const;

  /// Ends a request begun before, whatever came of it. Releases a revoked shard with its last one.
  void End(const ShardGrant& grant);

  /// Asks whether a request of a pooled service may start: the lease must be valid.
  Result<void> BeginPooled(Instant now) const;

  void SetLeaving(bool leaving) { leaving_ = leaving; }
  bool LeaseValid(Instant now) const;
  Instant lease_end() const { return valid_until_; }
  Incarnation incarnation() const { return incarnation_; }
  /// The shards that may take new requests while the lease is valid.
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
