/// @file
/// The owners of shards: the replicated part of placement.
#pragma once

#include <boost/describe/class.hpp>
#include <boost/describe/enum.hpp>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

#include "graniteseam/common/error.h"
#include "graniteseam/common/ids.h"

namespace graniteseam::placement {

/// Ownership state of a shard.
enum class OwnershipState {
  kUnassigned,  ///< No owner yet, or the last one released the shard or was lost.
  kAssigned,    ///< Has an owner.
  kMoving,      ///< Still owned by `owner`, which is requested to release it for `target`.
};
BOOST_DESCRIBE_ENUM(OwnershipState, kUnassigned, kAssigned, kMoving)

/// The ownership of one shard, as returned by ShardTable.
struct ShardOwnership {
  ShardId shard;
  OwnershipState state = OwnershipState::kUnassigned;
  ServerId owner;   ///< Empty while unassigned.
  ServerId target;  ///< Set while moving.
  Epoch epoch;      ///< Of the last assignment; 0 before the first.

  bool operator==(const ShardOwnership&) const = default;
};

/// Assigns a shard to a server at the epoch after `from_epoch`. The proposer must have established
/// that the owner at `from_epoch` has released the shard or that its lease has expired.
struct Assignment {
  ShardId shard;
  Epoch from_epoch;
  ServerId server;

  bool operator==(const Assignment&) const = default;
};
BOOST_DESCRIBE_STRUCT(Assignment, (), (shard, from_epoch, server))

/// Begins a move: the owner at `epoch` is to release the shard for `target`.
struct PlannedMove {
  ShardId shard;
  Epoch epoch;
  ServerId target;

  bool operator==(const PlannedMove&) const = default;
};
BOOST_DESCRIBE_STRUCT(PlannedMove, (), (shard, epoch, target))

/// One shard in a snapshot. Servers are positions in ShardTableState::servers; 0 means none.
struct ShardRecord {
  OwnershipState state = OwnershipState::kUnassigned;
  std::uint32_t owner = 0;
  std::uint32_t target = 0;
  std::uint32_t last_owner = 0;
  Epoch epoch;
  std::uint64_t changed_at = 0;
};
BOOST_DESCRIBE_STRUCT(ShardRecord, (), (state, owner, target, last_owner, epoch, changed_at))

/// The shards of one service in a snapshot, by index.
struct ServiceShards {
  ServiceName service;
  std::vector<ShardRecord> shards;
};
BOOST_DESCRIBE_STRUCT(ServiceShards, (), (service, shards))

/// Snapshot of a ShardTable.
struct ShardTableState {
  std::uint64_t version = 0;
  std::uint64_t moves = 0;
  std::vector<ServerId> servers;
  std::vector<ServiceShards> services;
};
BOOST_DESCRIBE_STRUCT(ShardTableState, (), (version, moves, servers, services))

/// The shards of all keyed services, indexed by server and by order of change.
///
/// Each change carries the version (log index) of its log entry, which never decreases; several
/// changes may share one. The cost of a call is proportional to the shards changed or returned, not
/// to all shards, except in State(), Restore() and All().
/// Invariant: an epoch strictly increases with each assignment of its shard, and an assignment or
/// move for another epoch has no effect. Not thread safe.
class ShardTable {
 public:
  ShardTable();

  /// Adds a keyed service's shards as unassigned; no effect when they exist.
  /// @return kFailedPrecondition when the service exists with another shard count.
  Result<void> AddService(const ServiceName& service, std::uint32_t shard_count,
                          std::uint64_t version);

  /// @return whether it took effect: the shard exists and its epoch is still `from_epoch`.
  bool Assign(const Assignment& assignment, std::uint64_t version);

  /// Begins a move; a move already in progress gets the new target.
  /// @return whether it took effect: the shard is owned at this epoch by a server other than
  /// `target`.
  bool BeginMove(const PlannedMove& move, std::uint64_t version);

  /// Removes the owner of a shard that it released at `epoch`, without assigning another.
  /// @return whether it took effect: the shard is owned at this epoch.
  bool Unassign(const ShardId& shard, Epoch epoch, std::uint64_t version);

  /// Makes all shards of a server unassigned. Their epochs are kept, so that the next one is
  /// higher.
  void UnassignAll(const ServerId& server, std::uint64_t version);

  std::optional<ShardOwnership> Find(const ShardId& shard) const;
  bool HasService(const ServiceName& service) const { return services_.contains(service); }
  std::uint32_t ShardCount(const ServiceName& service) const;

  std::vector<ShardOwnership> OwnedBy(const ServerId& server) const;
  std::vector<ShardOwnership> Unassigned() const { return OwnedBy(ServerId{}); }
  std::vector<ShardOwnership> Moving() const;
  std::vector<ShardOwnership> All() const;
  std::vector<ShardOwnership> OfService(const ServiceName& service) const;

  /// The number of shards that the server owns.
  std::size_t OwnedCount(const ServerId& server) const;
  /// The number that it will own after all moves in progress.
  std::size_t PlannedCount(const ServerId& server) const;

  /// The shards changed after `version`, latest change first, without duplicates.
  std::vector<ShardOwnership> ChangesSince(std::uint64_t version) const;

  std::uint64_t version() const { return version_; }
  std::size_t size() const { return shards_.size(); }
  /// Number of assignments so far of shards that previously had another owner.
  std::uint64_t moves() const { return moves_; }

  ShardTableState State() const;
  /// Replaces the whole state.
  /// @return kMalformedMessage when the snapshot is inconsistent.
  Result<void> Restore(const ShardTableState& state);

 private:
  using ShardNumber = std::uint32_t;
  using ServerNumber = std::uint32_t;
  static constexpr ServerNumber kNoServer = 0;
  static constexpr ShardNumber kNoShard = UINT32_MAX;

  struct ServiceRange {
    ShardNumber first = 0;
    std::uint32_t count = 0;
  };
  struct Shard {
    /// Points to the key in services_, which has a stable address.
    const ServiceName* service = nullptr;
    std::uint32_t index = 0;
    OwnershipState state = OwnershipState::kUnassigned;
    ServerNumber owner = kNoServer;
    ServerNumber target = kNoServer;
    std::uint32_t position = 0;  ///< Position in its owner's `owned`.
    Epoch epoch;
    ServerNumber last_owner = kNoServer;
    std::uint64_t changed_at = 0;
    ShardNumber older = kNoShard;  ///< Links of the list in order of change.
    ShardNumber newer = kNoShard;
  };
  struct Server {
    ServerId id;
    std::vector<ShardNumber> owned;
    std::size_t outgoing = 0;  ///< Owned shards that are moving away.
    std::size_t incoming = 0;  ///< Shards that are moving to this server.
  };

  void Clear();
  ServerNumber Intern(const ServerId& server);
  const Server* FindServer(const ServerId& server) const;
  ShardNumber NumberOf(const ShardId& shard) const;
  ShardOwnership View(ShardNumber number) const;
  std::vector<ShardOwnership> Views(const std::vector<ShardNumber>& numbers) const;
  void AppendShard(const ServiceName* service, std::uint32_t index);
  void SetOwner(ShardNumber number, ServerNumber owner);
  void StartMoving(ShardNumber number, ServerNumber target);
  void StopMoving(ShardNumber number);
  /// Sets the shard's version and makes it the newest in the order of change.
  void MarkChanged(ShardNumber number, std::uint64_t version);
  void LinkNewest(ShardNumber number);
  void Unlink(ShardNumber number);

  std::map<ServiceName, ServiceRange> services_;
  std::vector<Shard> shards_;
  std::vector<Server> servers_;
  std::unordered_map<ServerId, ServerNumber> server_numbers_;
  std::set<ShardNumber> moving_;
  ShardNumber newest_ = kNoShard;
  std::uint64_t version_ = 0;
  std::uint64_t moves_ = 0;
};

}  // namespace graniteseam::placement
