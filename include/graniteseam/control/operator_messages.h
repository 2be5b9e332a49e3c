/// @file
/// Requests of operators and instances to the control group, and the platform's list of machines.
/// The HTTP adapter converts the requests of docs/interface/operators.md to these types.
#pragma once

#include <boost/describe/class.hpp>
#include <boost/describe/enum.hpp>
#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "graniteseam/bundle/bundle.h"
#include "graniteseam/bundle/bundle_store.h"
#include "graniteseam/common/error.h"
#include "graniteseam/common/ids.h"
#include "graniteseam/consensus/types.h"
#include "graniteseam/control/router_messages.h"
#include "graniteseam/traffic/configuration.h"
#include "graniteseam/traffic/instance.h"
#include "graniteseam/traffic/key_lease.h"
#include "graniteseam/traffic/tenant.h"

namespace graniteseam::control {

/// Submits a parsed and checked bundle. Idempotent by (version, digest).
struct SubmitBundle {
  bundle::Bundle bundle;
  std::string digest;
  std::string source_text;  ///< The TOML as submitted, kept for `bundle history` and `diff`.
};
/// Adds the reviewer's Ed25519 signature over "graniteseam-bundle:<version>:<digest>".
struct SignBundle {
  BundleVersion version;
  std::string digest;
  std::string reviewer;
  std::string signature_base64;
};
/// Puts a signed bundle in force. Idempotent.
struct RollBundle {
  BundleVersion version;
  std::string digest;
};
/// Moves a shard to another server.
struct MoveShard {
  ShardId shard;
  ServerId target;
};
/// Marks a server as draining, so that its shards move to other servers.
struct DrainServer {
  ServerId server;
  bool draining = true;  ///< False ends the drain.
};
/// Changes the control group's membership by one member.
struct ChangeMembership {
  enum class Kind { kAddLearner, kPromote, kRemove };
  BOOST_DESCRIBE_NESTED_ENUM(Kind, kAddLearner, kPromote, kRemove)
  Kind kind = Kind::kAddLearner;
  consensus::Member member;
};
BOOST_DESCRIBE_STRUCT(ChangeMembership, (), (kind, member))
/// Requests a BundlesView.
struct ReadBundles {};
/// Requests a FleetView.
struct ReadFleet {};
/// Requests a ShardsView.
struct ReadShards {
  ServiceName service;  ///< Empty: all.
};

/// Changes the traffic configuration; idempotent by the change's digest.
struct ChangeConfiguration {
  traffic::ConfigurationChange change;
};
/// Requests a ConfigurationView.
struct ReadConfiguration {};
/// An instance's heartbeat.
struct ReportInstance {
  traffic::InstanceReport report;
  traffic::HeldKeys keys{};  ///< For instances whose keys are leased by heartbeat.
};
/// Removes an instance from service.
struct DeregisterInstance {
  traffic::InstanceId instance;
};

/// Drains a zone: its instances get no new work, and their keys move to other zones. Idempotent.
struct DrainZone {
  ZoneName zone;
  bool drained = true;  ///< False ends the drain.
};

using OperatorRequest =
    std::variant<SubmitBundle, SignBundle, RollBundle, MoveShard, DrainServer, ChangeMembership,
                 ReadBundles, ReadFleet, ReadShards, ChangeConfiguration, ReadConfiguration,
                 ReportInstance, DeregisterInstance, DrainZone>;

using bundle::BundleRecord;
using bundle::BundleState;

/// The bundle version that a process currently applies.
struct ProcessVersion {
  std::string process;  ///< Router id or control id.
  std::string kind;     ///< "router" or "control".
  BundleVersion version;
  std::int64_t age_ms = 0;  ///< Since the last report of the process.
};
BOOST_DESCRIBE_STRUCT(ProcessVersion, (), (process, kind, version, age_ms))
/// All bundles with their states, and the version applied by each process.
struct BundlesView {
  BundleVersion in_force;
  std::vector<BundleRecord> bundles;
  std::vector<ProcessVersion> processes;
};
BOOST_DESCRIBE_STRUCT(BundlesView, (), (in_force, bundles, processes))
/// A server with its lease and load state.
struct ServerView {
  ServerEntry entry;
  bool leased = false;
  bool draining = false;
  std::int64_t lease_remaining_ms = 0;
  std::uint32_t shards = 0;
};
BOOST_DESCRIBE_STRUCT(ServerView, (), (entry, leased, draining, lease_remaining_ms, shards))
/// The control group, servers and routers as known to the answering process.
struct FleetView {
  std::optional<consensus::Member> leader;
  consensus::Membership membership;
  Term term;
  LogIndex commit_index;
  BundleVersion bundle_version;
  std::vector<ServerView> servers;
  std::vector<ProcessVersion> routers;
  std::uint64_t shard_moves = 0;  ///< Number of assignments of shards that had a previous owner.
  std::vector<ZoneName> drained_zones;
};
BOOST_DESCRIBE_STRUCT(FleetView, (),
                      (leader, membership, term, commit_index, bundle_version, servers, routers,
                       shard_moves, drained_zones))
/// The shards of one service or of all services.
struct ShardsView {
  std::uint64_t version = 0;
  std::vector<ShardEntry> shards;
};
BOOST_DESCRIBE_STRUCT(ShardsView, (), (version, shards))
/// The request was accepted and, if it changes the state, committed.
struct Accepted {
  LogIndex index;  ///< Log index of the change.
};
BOOST_DESCRIBE_STRUCT(Accepted, (), (index))

/// The traffic configuration and tenants that are in force.
struct ConfigurationView {
  traffic::Configuration configuration;
  /// Whether requests must carry a tenant's key.
  bool speaks_of_tenants = false;
  std::vector<traffic::Tenant> tenants;
};
BOOST_DESCRIBE_STRUCT(ConfigurationView, (), (configuration, speaks_of_tenants, tenants))

/// The answer to a heartbeat of an instance whose keys are leased by heartbeat.
using traffic::KeyLeases;

using OperatorAnswer =
    std::variant<Accepted, BundlesView, FleetView, ShardsView, Error, ConfigurationView, KeyLeases>;

/// One machine of the platform's list (docs/interface/platform.md). The list may be out of date, so
/// it is only a hint.
struct PlatformMachine {
  ServerId server;
  ServiceName service;
  std::string address;
  ZoneName zone;
  bool leaving = false;
};
/// The platform's list of machines.
struct PlatformList {
  std::vector<PlatformMachine> machines;
};

}  // namespace graniteseam::control
