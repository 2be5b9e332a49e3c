/// @file
/// Who owns which shard: the replicated part of placement.
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

enum class OwnershipState {
  kUnassigned,  ///< Has no owner, or its last one is known to be gone.
  kAssigned,
  kMoving,  ///< Still owned by `owner`, which is asked to release it for `target`.
};
BOOST_DESCRIBE_ENUM(OwnershipState, kUnassigned, kAssigned, kMoving)

/// One shard as readers see it.
struct ShardOwnership {
  ShardId shard;
  OwnershipState state = OwnershipState::kUnassigned;
  ServerId owner;   ///< Empty while unassigned.
  ServerId target;  ///< Set while moving.
  Epoch epoch;      ///< That of the last assignment; 0 before the first.

  bool operator==(const ShardOwnership&) const = default;
};

/// Gives a shard to a server at the epoch after `from_epoch`. Whoever proposes it must know that
/// the owner at `from_epoch` has released the shard or that its lease is over.
struct Assignment {
  ShardId shard;
  Epoch from_epoch;
  ServerId server;

  bool operator==(const Assignment&) const = default;
};
BOOST_DESCRIBE_STRUCT(Assignment, (), (shard, from_epoch, server))

/// Announces that the owner at `epoch` is to release the shard for `target`.
struct PlannedMove {
  ShardId shard;
  Epoch epoch;
  ServerId target;

  bool operator==(const PlannedMove&) const = default;
};
BOOST_DESCRIBE_STRUCT(PlannedMove, (), (shard, epoch, target))

/// One shard in a snapshot; servers are positions in ShardTableState::servers.
struct ShardRecord {
  OwnershipState state = OwnershipState::kUnassigned;
  std::uint32_t owner = 0;
  std::uint32_t target = 0;
  std::uint32_t last_owner = 0;
  Epoch epoch;
  std::uint64_t changed_at = 0;
};
BOOST_DESCRIBE_STRUCT(ShardRecord, (), (state, owner, target, last_owner, epoch, changed_at))

struct ServiceShards {
  ServiceName service;
  std::vector<ShardRecord> shards;
};
BOOST_DESCRIBE_STRUCT(ServiceShards, (), (service, shards))

/// A table's whole state, for snapshots.
struct ShardTableState {
  std::uint64_t version = 0;
  std::uint64_t moves = 0;
  std::vector<ServerId> servers;
  std::vector<ServiceShards> services;
};
BOOST_DESCRIBE_STRUCT(ShardTableState, (), (version, moves, servers, services))

/// The shards of all keyed services, with an index by server and one by time of change.
///
/// Each change carries the version (log index) that made it, which never goes back; several changes
/// may share one. Work is in proportion to the shards changed or returned, never to all shards,
/// except in State(), Restore() and All().
/// Invariant: an epoch strictly increases with each assignment of its shard, and an assignment or
/// move prepared against another epoch has no effect. Not thread safe.
class ShardTable {
 public:
  ShardTable();

  /// Adds a keyed service's shards, unassigned.
  /// @return kFailedPrecondition when the service exists with another shard count.
  Result<void> AddService(const ServiceName& service, std::uint32_t shard_count,
                          std::uint64_t version);

  /// @return whether it took effect: the shard exists and its epoch is still `from_epoch`.
  bool Assign(const Assignment& assignment, std::uint64_t version);

  /// @return whether it took effect: the shard is owned at this epoch, by another than `target`.
  /// A move already under way gets the new target.
  bool BeginMove(const PlannedMove& move, std::uint64_t version);

  /// Takes a shard from its owner at `epoch`, which released it, without giving it to another yet.
  /// @return whether it took effect: the shard is owned at this epoch.
  bool Unassign(const ShardId& shard, Epoch epoch, std::uint64_t version);

  /// Makes all shards of a server unassigned. Their epochs stay, so that the next is higher.
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
  /// The number that it will own once the moves under way are done.
  std::size_t PlannedCount(const ServerId& server) const;

  /// The shards changed after `version`, the latest change first. Each appears once.
  std::vector<ShardOwnership> ChangesSince(std::uint64_t version) const;

  std::uint64_t version() const { return version_; }
  std::size_t size() const { return shards_.size(); }
  /// Assignments of a shard that had another owner before.
  std::uint64_t moves() const { return moves_; }

  ShardTableState State() const;
  /// @return kMalformedMessage when the state contradicts itself.
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
    const ServiceName* service = nullptr;  ///< Key of services_, which is stable.
    std::uint32_t index = 0;
    OwnershipState state = OwnershipState::kUnassigned;
    ServerNumber owner = kNoServer;
    ServerNumber target = kNoServer;
    std::uint32_t position = 0;  ///< In its owner's list.
    Epoch epoch;
    ServerNumber last_owner = kNoServer;
    std::uint64_t changed_at = 0;
    ShardNumber older = kNoShard;  ///< Neighbours in the order of change.
    ShardNumber newer = kNoShard;
  };
  struct Server {
    ServerId id;
    std::vector<ShardNumber> owned;
    std::size_t outgoing = 0;  ///< Owned shards that are moving away.
    std::size_t incoming = 0;  ///< Shards moving here.
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
