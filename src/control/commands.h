/// @file
/// What the replicated log carries: the commands of a control group. A branch or field, once
/// landed, keeps its place; new ones go at the end.
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

struct SubmitBundleCommand {
  bundle::Bundle bundle;
  std::string digest;
  std::string source_text;
};
BOOST_DESCRIBE_STRUCT(SubmitBundleCommand, (), (bundle, digest, source_text))

struct RollBundleCommand {
  BundleVersion version;
  std::string digest;
};
BOOST_DESCRIBE_STRUCT(RollBundleCommand, (), (version, digest))

/// Makes an incarnation of a server the only one that may be granted anything. Its proposer knows
/// that the lease of an earlier incarnation is over. Shards that the server still owns come back to
/// it, or go to their move's target, at a higher epoch.
struct RegisterServerCommand {
  ServerId server;
  ServiceName service;
  std::string address;
  ZoneName zone;
  Incarnation incarnation;
};
BOOST_DESCRIBE_STRUCT(RegisterServerCommand, (), (server, service, address, zone, incarnation))

/// A server's lease ran out: its shards go to others at once, as far as `assignments` name them.
struct LoseServerCommand {
  ServerId server;
  Incarnation incarnation;
  std::vector<placement::Assignment> assignments;
};
BOOST_DESCRIBE_STRUCT(LoseServerCommand, (), (server, incarnation, assignments))

/// Gives shards to servers: unassigned ones, or ones that their owner released.
struct AssignShardsCommand {
  std::vector<placement::Assignment> assignments;
};
BOOST_DESCRIBE_STRUCT(AssignShardsCommand, (), (assignments))

struct BeginMovesCommand {
  std::vector<placement::PlannedMove> moves;
};
BOOST_DESCRIBE_STRUCT(BeginMovesCommand, (), (moves))

struct SetDrainingCommand {
  ServerId server;
  bool draining = false;
};
BOOST_DESCRIBE_STRUCT(SetDrainingCommand, (), (server, draining))

struct SetLeavingCommand {
  ServerId server;
  bool leaving = false;
};
BOOST_DESCRIBE_STRUCT(SetLeavingCommand, (), (server, leaving))

/// A batch of journal work. `wall_ms` is the proposer's clock: milliseconds since 1970.
struct JournalCommand {
  std::int64_t wall_ms = 0;
  std::vector<operation::ClaimRequest> claims;
  std::vector<operation::Completion> completions;
};
BOOST_DESCRIBE_STRUCT(JournalCommand, (), (wall_ms, claims, completions))

/// Forgets operations that are older than their service's retention window.
struct ExpireJournalCommand {
  std::int64_t wall_ms = 0;
};
BOOST_DESCRIBE_STRUCT(ExpireJournalCommand, (), (wall_ms))

/// Forgets a server that holds no lease and no shards, and that will not come back.
struct RemoveServerCommand {
  ServerId server;
};
BOOST_DESCRIBE_STRUCT(RemoveServerCommand, (), (server))

/// An operator's direct change of the traffic configuration.
struct ChangeConfigurationCommand {
  traffic::ConfigurationChange change;
};
BOOST_DESCRIBE_STRUCT(ChangeConfigurationCommand, (), (change))

/// Heartbeats that tell something new.
struct ReportInstancesCommand {
  std::vector<traffic::InstanceReport> reports;
};
BOOST_DESCRIBE_STRUCT(ReportInstancesCommand, (), (reports))

struct DeregisterInstanceCommand {
  traffic::InstanceId instance;
};
BOOST_DESCRIBE_STRUCT(DeregisterInstanceCommand, (), (instance))

/// Gives spans of keys to instances.
struct AssignRangesCommand {
  std::vector<traffic::RangeAssignment> assignments;
};
BOOST_DESCRIBE_STRUCT(AssignRangesCommand, (), (assignments))

/// Begins planned changes of owner.
struct ReleaseRangesCommand {
  std::vector<traffic::RangeRelease> releases;
};
BOOST_DESCRIBE_STRUCT(ReleaseRangesCommand, (), (releases))

/// Owners confirmed their grants: routers may send to them.
struct ConfirmRangesCommand {
  std::vector<traffic::RangeConfirmation> confirmations;
};
BOOST_DESCRIBE_STRUCT(ConfirmRangesCommand, (), (confirmations))

/// Instances ended under these requests.
struct RecordSuspectsCommand {
  std::vector<traffic::SuspectRequest> suspects;
};
BOOST_DESCRIBE_STRUCT(RecordSuspectsCommand, (), (suspects))

/// These requests are suspected no more: they were answered, or are forgotten.
struct ClearSuspectsCommand {
  std::vector<traffic::RequestDigest> digests;
};
BOOST_DESCRIBE_STRUCT(ClearSuspectsCommand, (), (digests))

/// An operator drains a zone, or takes it back.
struct DrainZoneCommand {
  ZoneName zone;
  bool drained = false;
};
BOOST_DESCRIBE_STRUCT(DrainZoneCommand, (), (zone, drained))

using CommandBody =
    std::variant<SubmitBundleCommand, bundle::SignatureCommand, RollBundleCommand,
                 RegisterServerCommand, LoseServerCommand, AssignShardsCommand, BeginMovesCommand,
                 SetDrainingCommand, SetLeavingCommand, JournalCommand, ExpireJournalCommand,
                 RemoveServerCommand, ChangeConfigurationCommand, ReportInstancesCommand,
                 DeregisterInstanceCommand, AssignRangesCommand, ReleaseRangesCommand,
                 ConfirmRangesCommand, RecordSuspectsCommand, ClearSuspectsCommand,
                 DrainZoneCommand>;

struct Command {
  CommandBody body;
};
BOOST_DESCRIBE_STRUCT(Command, (), (body))

/// The bytes of a log entry's payload.
std::string EncodeCommand(const CommandBody& body);
Result<CommandBody> DecodeCommand(std::string_view payload);

}  // namespace graniteseam::control
