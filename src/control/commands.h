/// @file
/// The commands in a control group's replicated log. The position of a released variant alternative
/// or field must not change; new ones are appended at the end.
#pragma once

#include <boost/describe/class.hpp>
#include <cstdint>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "graniteseam/bundle/bundle_store.h"
#include "graniteseam/common/error.h"
#include "graniteseam/operation/messages.h"
#include "src/placement/shard_table.h"
#include "src/traffic/traffic_state.h"

namespace graniteseam::control {

/// Stores a submitted bundle.
struct SubmitBundleCommand {
  bundle::Bundle bundle;
  std::string digest;
  std::string source_text;
};
BOOST_DESCRIBE_STRUCT(SubmitBundleCommand, (), (bundle, digest, source_text))

/// Puts a stored bundle in force.
struct RollBundleCommand {
  BundleVersion version;
  std::string digest;
};
BOOST_DESCRIBE_STRUCT(RollBundleCommand, (), (version, digest))

/// Makes an incarnation of a server the only one that may be granted leases. The proposer must have
/// established that the lease of any earlier incarnation has expired. Shards that the server still
/// owns are reassigned to it, or to the target of their planned move, at a higher epoch.
struct RegisterServerCommand {
  ServerId server;
  ServiceName service;
  std::string address;
  ZoneName zone;
  Incarnation incarnation;
};
BOOST_DESCRIBE_STRUCT(RegisterServerCommand, (), (server, service, address, zone, incarnation))

/// Records that a server's lease expired. Its shards named in `assignments` are reassigned at once.
struct LoseServerCommand {
  ServerId server;
  Incarnation incarnation;
  std::vector<placement::Assignment> assignments;
};
BOOST_DESCRIBE_STRUCT(LoseServerCommand, (), (server, incarnation, assignments))

/// Assigns shards that are unassigned or have been released by their owner.
struct AssignShardsCommand {
  std::vector<placement::Assignment> assignments;
};
BOOST_DESCRIBE_STRUCT(AssignShardsCommand, (), (assignments))

/// Begins planned moves of shards.
struct BeginMovesCommand {
  std::vector<placement::PlannedMove> moves;
};
BOOST_DESCRIBE_STRUCT(BeginMovesCommand, (), (moves))

/// Sets whether an operator drains a server.
struct SetDrainingCommand {
  ServerId server;
  bool draining = false;
};
BOOST_DESCRIBE_STRUCT(SetDrainingCommand, (), (server, draining))

/// Sets whether the platform is about to remove a server.
struct SetLeavingCommand {
  ServerId server;
  bool leaving = false;
};
BOOST_DESCRIBE_STRUCT(SetLeavingCommand, (), (server, leaving))

/// A batch of operation journal claims and completions. `wall_ms` is the proposer's clock in
/// milliseconds since 1970.
struct JournalCommand {
  std::int64_t wall_ms = 0;
  std::vector<operation::ClaimRequest> claims;
  std::vector<operation::Completion> completions;
};
BOOST_DESCRIBE_STRUCT(JournalCommand, (), (wall_ms, claims, completions))

/// Removes journal entries that are older than their service's retention window. `wall_ms` as in
/// JournalCommand.
struct ExpireJournalCommand {
  std::int64_t wall_ms = 0;
};
BOOST_DESCRIBE_STRUCT(ExpireJournalCommand, (), (wall_ms))

/// Removes a server that holds no lease and no shards and will not return.
struct RemoveServerCommand {
  ServerId server;
};
BOOST_DESCRIBE_STRUCT(RemoveServerCommand, (), (server))

/// An operator's direct change of the traffic configuration.
struct ChangeConfigurationCommand {
  traffic::ConfigurationChange change;
};
BOOST_DESCRIBE_STRUCT(ChangeConfigurationCommand, (), (change))

/// Records the heartbeats that change the registered state of their instances.
struct ReportInstancesCommand {
  std::vector<traffic::InstanceReport> reports;
};
BOOST_DESCRIBE_STRUCT(ReportInstancesCommand, (), (reports))

/// Removes an instance from service.
struct DeregisterInstanceCommand {
  traffic::InstanceId instance;
};
BOOST_DESCRIBE_STRUCT(DeregisterInstanceCommand, (), (instance))

/// Assigns key spans to instances.
struct AssignRangesCommand {
  std::vector<traffic::RangeAssignment> assignments;
};
BOOST_DESCRIBE_STRUCT(AssignRangesCommand, (), (assignments))

/// Begins planned changes of owner.
struct ReleaseRangesCommand {
  std::vector<traffic::RangeRelease> releases;
};
BOOST_DESCRIBE_STRUCT(ReleaseRangesCommand, (), (releases))

/// Records that owners confirmed their grants, so that routers may send to them.
struct ConfirmRangesCommand {
  std::vector<traffic::RangeConfirmation> confirmations;
};
BOOST_DESCRIBE_STRUCT(ConfirmRangesCommand, (), (confirmations))

/// Records requests under which instances terminated.
struct RecordSuspectsCommand {
  std::vector<traffic::SuspectRequest> suspects;
};
BOOST_DESCRIBE_STRUCT(RecordSuspectsCommand, (), (suspects))

/// Clears suspected requests that were answered or whose retention has ended.
struct ClearSuspectsCommand {
  std::vector<traffic::RequestDigest> digests;
};
BOOST_DESCRIBE_STRUCT(ClearSuspectsCommand, (), (digests))

/// Sets whether an operator drains a zone.
struct DrainZoneCommand {
  ZoneName zone;
  bool drained = false;
};
BOOST_DESCRIBE_STRUCT(DrainZoneCommand, (), (zone, drained))

/// Reverses a displacement: makes the displaced instance active again and its successor displaced.
/// No effect when the successor is not active any more.
struct ReverseDisplacementCommand {
  traffic::InstanceId displaced;
  traffic::InstanceId successor;
};
BOOST_DESCRIBE_STRUCT(ReverseDisplacementCommand, (), (displaced, successor))

using CommandBody =
    std::variant<SubmitBundleCommand, bundle::SignatureCommand, RollBundleCommand,
                 RegisterServerCommand, LoseServerCommand, AssignShardsCommand, BeginMovesCommand,
                 SetDrainingCommand, SetLeavingCommand, JournalCommand, ExpireJournalCommand,
                 RemoveServerCommand, ChangeConfigurationCommand, ReportInstancesCommand,
                 DeregisterInstanceCommand, AssignRangesCommand, ReleaseRangesCommand,
                 ConfirmRangesCommand, RecordSuspectsCommand, ClearSuspectsCommand,
                 DrainZoneCommand, ReverseDisplacementCommand>;

/// A log entry's payload. The struct around the variant makes it an Avro record.
struct Command {
  CommandBody body;
};
BOOST_DESCRIBE_STRUCT(Command, (), (body))

/// Encodes the payload of a log entry.
std::string EncodeCommand(const CommandBody& body);
/// Decodes the payload of a log entry, also one written by a release without tenants.
/// @return an error for a payload that does not decode.
Result<CommandBody> DecodeCommand(std::string_view payload);

}  // namespace graniteseam::control
