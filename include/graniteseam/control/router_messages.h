/// @file
/// Messages between routers and control processes. Each router has one framed connection; messages
/// are Avro-encoded (docs/design/internal-protocol.md). Durations are in microseconds unless the
/// name has another unit.
#pragma once

#include <boost/describe/class.hpp>
#include <boost/describe/enum.hpp>
#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "graniteseam/bundle/bundle.h"
#include "graniteseam/common/ids.h"
#include "graniteseam/operation/messages.h"
#include "graniteseam/traffic/hints.h"
#include "graniteseam/traffic/update.h"

namespace graniteseam::control {

/// A server's entry in the routing table.
struct ServerEntry {
  ServerId id;
  ServiceName service;
  std::string address;  ///< "ip:port" of its HTTP port.
  ZoneName zone;
  bool accepts_new_work = true;  ///< False while it is leaving, draining or without a lease.
  double load_hint = 0.0;

  bool operator==(const ServerEntry&) const = default;
};
BOOST_DESCRIBE_STRUCT(ServerEntry, (), (id, service, address, zone, accepts_new_work, load_hint))

/// The ownership state of a shard.
enum class ShardState { kUnassigned, kAssigned, kMoving };
BOOST_DESCRIBE_ENUM(ShardState, kUnassigned, kAssigned, kMoving)

/// A shard's entry in the routing table. While it is moving, `owner` is the old owner and routers
/// hold new requests.
struct ShardEntry {
  ShardId shard;
  ShardState state = ShardState::kUnassigned;
  ServerId owner;
  Epoch epoch;

  bool operator==(const ShardEntry&) const = default;
};
BOOST_DESCRIBE_STRUCT(ShardEntry, (), (shard, state, owner, epoch))

/// The changes of the routing table from `base_version` to `version`; a complete table when
/// `base_version` is 0.
struct MapUpdate {
  std::uint64_t base_version = 0;
  std::uint64_t version = 0;
  std::vector<ServerEntry> servers;  ///< Changed or new.
  std::vector<ServerId> removed_servers;
  std::vector<ShardEntry> shards;  ///< Changed or new.
};
BOOST_DESCRIBE_STRUCT(MapUpdate, (), (base_version, version, servers, removed_servers, shards))

/// One group's use of one service through one router since its last renewal.
struct GroupDemand {
  GroupName group;
  ServiceName service;
  double offered_per_second = 0;  ///< Requests that arrived.
  double concurrency_wanted = 0;  ///< In flight plus queued, mean.
  double concurrency_used = 0;    ///< In flight, mean.
};
BOOST_DESCRIBE_STRUCT(GroupDemand, (),
                      (group, service, offered_per_second, concurrency_wanted, concurrency_used))

/// A shard's load through one router since the router's last renewal.
struct ShardLoad {
  ShardId shard;
  double requests = 0;
  double busy_us = 0;  ///< Server time spent, as observed by the router.
};
BOOST_DESCRIBE_STRUCT(ShardLoad, (), (shard, requests, busy_us))

/// The maximum concurrency of one group at one service through one router.
struct Allotment {
  GroupName group;
  ServiceName service;
  double concurrency = 0;
};
BOOST_DESCRIBE_STRUCT(Allotment, (), (group, service, concurrency))

/// The number of concurrent requests that a service's servers accept from this router, as estimated
/// by its concurrency windows. The sum over all routers is the capacity that allotments divide.
struct ServiceCapacity {
  ServiceName service;
  double concurrency = 0;
};
BOOST_DESCRIBE_STRUCT(ServiceCapacity, (), (service, concurrency))

/// A router's request to renew its lease, with its load reports.
struct RouterRenewal {
  RouterId router;
  ZoneName zone;
  std::uint64_t sequence = 0;    ///< Echoed in the answer; the router counts its lease from the
                                 ///< time when it sent this sequence number.
  BundleVersion bundle_version;  ///< The bundle version in force in this router; 0 for none.
  std::uint64_t map_version = 0;
  bool leaving = false;
  std::vector<GroupDemand> demand;
  std::vector<ShardLoad> shard_load;
  std::vector<ServiceCapacity> capacity;
};
BOOST_DESCRIBE_STRUCT(RouterRenewal, (),
                      (router, zone, sequence, bundle_version, map_version, leaving, demand,
                       shard_load, capacity))

/// The answer to a RouterRenewal.
struct RouterRenewalAnswer {
  std::uint64_t sequence = 0;
  bool granted = false;       ///< False when the router's bundle is not the newest. `bundle` then
                              ///< contains the newest one, and the router renews again at once.
  std::int64_t lease_us = 0;  ///< Counted from the time when the router sent this sequence number.
  std::optional<bundle::Bundle> bundle;
  std::string bundle_digest;
  std::optional<MapUpdate> map;
  std::vector<Allotment> allotments;
};
BOOST_DESCRIBE_STRUCT(RouterRenewalAnswer, (),
                      (sequence, granted, lease_us, bundle, bundle_digest, map, allotments))

using operation::ClaimRequest;
using operation::ClaimResult;
using operation::ClaimVerdict;
using operation::Completion;
using operation::CompletionKind;
using operation::KeptAnswer;
using operation::kKeptBodyBytesMaximum;

/// A batch of operation journal claims and completions of one router.
struct JournalRequest {
  RouterId router;
  std::uint64_t sequence = 0;
  std::vector<ClaimRequest> claims;
  std::vector<Completion> completions;
};
BOOST_DESCRIBE_STRUCT(JournalRequest, (), (router, sequence, claims, completions))

/// The results of a JournalRequest's claims.
struct JournalAnswer {
  std::uint64_t sequence = 0;
  std::vector<ClaimResult> results;
};
BOOST_DESCRIBE_STRUCT(JournalAnswer, (), (sequence, results))

/// The receiver is not the leader. The sender may retry at `leader_address` ("ip:port") unless it
/// is empty.
struct NotLeaderAnswer {
  std::uint64_t sequence = 0;
  std::string leader_address;
  /// In answer to a poll: the traffic state that the receiver has applied, if it follows a leader;
  /// 0 otherwise.
  std::uint64_t version = 0;
  traffic::ConfigurationVersion configuration{};  ///< In that state.
};
BOOST_DESCRIBE_STRUCT(NotLeaderAnswer, (), (sequence, leader_address, version, configuration))

/// The control processes that a router may connect to: the group's voters, and its learners that
/// caught up. Sent with the answer to a router's first poll and after each change, to routers that
/// speak protocol version 16.
struct GroupMembers {
  std::vector<std::string> addresses;  ///< Internal addresses, "ip:port".

  bool operator==(const GroupMembers&) const = default;
};
BOOST_DESCRIBE_STRUCT(GroupMembers, (), (addresses))

using traffic::FeedRequest;
using traffic::TokenAnswer;
using traffic::TokenRequest;
using traffic::TrafficHints;
using traffic::TrafficPoll;
using traffic::TrafficUpdate;

using RouterToControl =
    std::variant<RouterRenewal, JournalRequest, TrafficPoll, FeedRequest, TokenRequest>;
using ControlToRouter = std::variant<RouterRenewalAnswer, JournalAnswer, NotLeaderAnswer,
                                     TrafficUpdate, TrafficHints, TokenAnswer, GroupMembers>;

}  // namespace graniteseam::control
