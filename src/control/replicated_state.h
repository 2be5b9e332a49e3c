/// @file
/// The state that all members of a control group derive from the log: bundles, servers, shards, the
/// operation journal and the traffic state.
#pragma once

#include <boost/describe/class.hpp>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "graniteseam/bundle/bundle_store.h"
#include "graniteseam/common/error.h"
#include "graniteseam/common/time.h"
#include "graniteseam/consensus/types.h"
#include "graniteseam/operation/operation_journal.h"
#include "src/control/commands.h"
#include "src/membership/server_registry.h"
#include "src/placement/shard_table.h"

namespace graniteseam::control {

/// The longest lease that may have been granted to a service's servers, over all bundles that were
/// in force, in milliseconds.
struct ServiceLease {
  ServiceName service;
  std::int64_t longest_ms = 0;
};
BOOST_DESCRIBE_STRUCT(ServiceLease, (), (service, longest_ms))

/// The whole state as a value, as stored in snapshots.
struct ReplicatedStateImage {
  LogIndex applied;
  bundle::BundleStoreState bundles;
  membership::ServerRegistryState servers;
  placement::ShardTableState shards;
  operation::OperationJournalState journal;
  std::vector<ServiceLease> leases;
  traffic::TrafficImage traffic;
  traffic::SuspectImage suspects;
  traffic::ZoneDrainImage zone_drains;
  traffic::TenancyImage tenants;
};
BOOST_DESCRIBE_STRUCT(ReplicatedStateImage, (),
                      (applied, bundles, servers, shards, journal, leases, traffic, suspects,
                       zone_drains, tenants))

/// The effects of applying one entry.
struct ApplyOutcome {
  std::optional<Error> error;                  ///< Set when the command was refused.
  std::vector<operation::ClaimResult> claims;  ///< Results of a JournalCommand.
  std::vector<ServerId> registered;  ///< Servers that were registered and may receive leases.
  std::vector<ServerId> lost;        ///< Servers whose session ended.
  std::vector<ServerId> removed;     ///< Servers whose records were removed.
  bool bundle_rolled = false;
  /// A traffic configuration command was accepted, now or on an earlier attempt.
  bool configuration_accepted = false;
  bool configuration_changed = false;  ///< The traffic configuration changed.
};

/// Applies committed entries in order.
///
/// Deterministic: the same entries give the same state on every member, independent of its settings
/// and clock. An entry that does not decode comes from a defect or a newer version; it is refused,
/// which gives the same state on all members that run this version. Not thread safe.
class ReplicatedState {
 public:
  /// Applies the entry that follows applied().
  ApplyOutcome Apply(const consensus::LogEntry& entry);

  /// Encodes the whole state for a snapshot.
  std::string Save() const;
  /// Replaces the state by an encoded one.
  /// @return kMalformedMessage when the bytes are not a complete and consistent state.
  Result<void> Restore(std::string_view bytes);

  LogIndex applied() const { return applied_; }
  const bundle::BundleStore& bundles() const { return bundles_; }
  const traffic::TrafficState& traffic() const { return traffic_; }
  const membership::ServerRegistry& servers() const { return servers_; }
  const placement::ShardTable& shards() const { return shards_; }
  const operation::OperationJournal& journal() const { return journal_; }

  /// The version of the routing table: the log index of its latest change.
  std::uint64_t map_version() const;
  /// The lease length of a service's servers; nullopt when the bundle in force does not name it.
  std::optional<Duration> LeaseOf(const ServiceName& service) const;
  /// The longest lease that may ever have been granted to a service's servers.
  Duration LongestLease(const ServiceName& service) const;

 private:
  void Run(const SubmitBundleCommand& command, ApplyOutcome& outcome);
  void Run(const bundle::SignatureCommand& command, ApplyOutcome& outcome);
  void Run(const RollBundleCommand& command, ApplyOutcome& outcome);
  void Run(const RegisterServerCommand& command, ApplyOutcome& outcome);
  void Run(const LoseServerCommand& command, ApplyOutcome& outcome);
  void Run(const AssignShardsCommand& command, ApplyOutcome& outcome);
  void Run(const BeginMovesCommand& command, ApplyOutcome& outcome);
  void Run(const SetDrainingCommand& command, ApplyOutcome& outcome);
  void Run(const SetLeavingCommand& command, ApplyOutcome& outcome);
  void Run(const JournalCommand& command, ApplyOutcome& outcome);
  void Run(const ExpireJournalCommand& command, ApplyOutcome& outcome);
  void Run(const RemoveServerCommand& command, ApplyOutcome& outcome);
  void Run(const ChangeConfigurationCommand& command, ApplyOutcome& outcome);
  void Run(const ReportInstancesCommand& command, ApplyOutcome& outcome);
  void Run(const DeregisterInstanceCommand& command, ApplyOutcome& outcome);
  void Run(const AssignRangesCommand& command, ApplyOutcome& outcome);
  void Run(const ReleaseRangesCommand& command, ApplyOutcome& outcome);
  void Run(const ConfirmRangesCommand& command, ApplyOutcome& outcome);
  void Run(const RecordSuspectsCommand& command, ApplyOutcome& outcome);
  void Run(const ClearSuspectsCommand& command, ApplyOutcome& outcome);
  void Run(const DrainZoneCommand& command, ApplyOutcome& outcome);
  void Run(const ReverseDisplacementCommand& command, ApplyOutcome& outcome);

  /// Applies the service definitions of a newly rolled bundle.
  void AdoptServices(const bundle::Bundle& bundle);
  /// Assigns a shard to a serving server, or to none if the server is no longer serving.
  void Assign(const placement::Assignment& assignment);
  /// Reassigns a restarted server's shards to it, or to the targets of their moves, at new epochs.
  void Reassign(const ServerId& server);
  bool Serving(const ServerId& server) const;
  /// The log index being applied, as a version.
  std::uint64_t version() const { return applied_.value; }

  LogIndex applied_;
  bundle::BundleStore bundles_;
  membership::ServerRegistry servers_;
  placement::ShardTable shards_;
  operation::OperationJournal journal_;
  traffic::TrafficState traffic_;
  std::map<ServiceName, Duration> longest_leases_;
};

}  // namespace graniteseam::control
