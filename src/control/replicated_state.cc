#include "src/control/replicated_state.h"

#include <algorithm>
#include <chrono>
#include <utility>

#include "graniteseam/codec/codec.h"

namespace graniteseam::control {

namespace {

/// Maximum operations that one ExpireJournalCommand removes for each service; bounds the time of
/// one apply.
constexpr std::size_t kExpiredMaximum = 10'000;

/// Runs a step that may fail and keeps its error.
template <class Step>
void Keep(ApplyOutcome& outcome, Step&& step) {
  const auto result = Attempt(std::forward<Step>(step));
  if (const Error* error = ErrorOf(result)) outcome.error = *error;
}

/// Snapshots of releases before tenants, before drained zones and before suspects end where the
/// respective field begins.
Result<ReplicatedStateImage> DecodeImage(std::string_view bytes) {
  const std::string no_tenants = codec::Encode(traffic::TenancyImage{});
  const std::string no_drains = codec::Encode(traffic::ZoneDrainImage{}) + no_tenants;
  const std::string no_suspects = codec::Encode(traffic::SuspectImage{}) + no_drains;
  auto current = Attempt([&] { return codec::Decode<ReplicatedStateImage>(bytes); });
  if (ErrorOf(current) == nullptr) return std::get<ReplicatedStateImage>(std::move(current));
  for (const std::string& missing : {no_tenants, no_drains}) {
    auto whole =
        Attempt([&] { return codec::Decode<ReplicatedStateImage>(std::string(bytes) + missing); });
    if (ErrorOf(whole) == nullptr) return std::get<ReplicatedStateImage>(std::move(whole));
  }
  return codec::Decode<ReplicatedStateImage>(std::string(bytes) + no_suspects);
}

Error UnknownServer(const ServerId& server) {
  return {ErrorKind::kNotFound, "No server " + server.value + " is registered.",
          "List the servers with `graniteseamctl fleet status`."};
}

}  // namespace

ApplyOutcome ReplicatedState::Apply(const consensus::LogEntry& entry) {
  ApplyOutcome outcome;
  applied_ = entry.index;
  if (entry.kind != consensus::EntryKind::kCommand) return outcome;
  const auto decoded = Attempt([&] { return DecodeCommand(entry.payload); });
  if (const Error* error = ErrorOf(decoded)) {
    outcome.error = *error;
    return outcome;
  }
  std::visit([&](const auto& command) { Run(command, outcome); }, std::get<CommandBody>(decoded));
  return outcome;
}

void ReplicatedState::Run(const SubmitBundleCommand& command, ApplyOutcome& outcome) {
  Keep(outcome,
       [&] { return bundles_.Submit(command.bundle, command.digest, command.source_text); });
}

void ReplicatedState::Run(const bundle::SignatureCommand& command, ApplyOutcome& outcome) {
  Keep(outcome, [&] { return bundles_.Sign(command); });
}

void ReplicatedState::Run(const RollBundleCommand& command, ApplyOutcome& outcome) {
  const BundleVersion before = bundles_.in_force_version();
  Keep(outcome, [&] { return bundles_.Roll(command.version, command.digest); });
  if (bundles_.in_force_version() == before) return;
  AdoptServices(*bundles_.InForce());
  outcome.bundle_rolled = true;
}

void ReplicatedState::AdoptServices(const bundle::Bundle& bundle) {
  for (const auto& service : bundle.services) {
    Duration& longest = longest_leases_[service.name];
    longest = std::max<Duration>(longest, std::chrono::milliseconds(service.lease_ms));
    if (service.kind != bundle::ServiceKind::kKeyed) continue;
    // The bundle store refuses a bundle that changes a service's shard count, so this can't fail.
    const auto added =
        Attempt([&] { return shards_.AddService(service.name, service.shard_count, version()); });
    static_cast<void>(added);
  }
}

bool ReplicatedState::Serving(const ServerId& server) const {
  const auto* record = servers_.Find(server);
  return record != nullptr && record->serving;
}

void ReplicatedState::Run(const RegisterServerCommand& command, ApplyOutcome& outcome) {
  const auto* known = servers_.Find(command.server);
  const bool restarted = known != nullptr && known->incarnation != command.incarnation;
  if (known != nullptr && !restarted && known->serving) return;
  membership::ServerRecord record;
  record.id = command.server;
  record.service = command.service;
  record.address = command.address;
  record.zone = command.zone;
  record.incarnation = command.incarnation;
  servers_.Register(record, version());
  if (restarted) Reassign(command.server);
  outcome.registered.push_back(command.server);
}

void ReplicatedState::Reassign(const ServerId& server) {
  for (const auto& owned : shards_.OwnedBy(server)) {
    const bool moving = owned.state == placement::OwnershipState::kMoving;
    Assign({owned.shard, owned.epoch, moving ? owned.target : server});
  }
}

void ReplicatedState::Assign(const placement::Assignment& assignment) {
  if (Serving(assignment.server)) {
    shards_.Assign(assignment, version());
  } else {
    // The former owner released the shard and does not run it, so it must not keep the assignment.
    shards_.Unassign(assignment.shard, assignment.from_epoch, version());
  }
}

void ReplicatedState::Run(const LoseServerCommand& command, ApplyOutcome& outcome) {
  const auto* known = servers_.Find(command.server);
  if (known == nullptr || !known->serving || known->incarnation != command.incarnation) return;
  servers_.SetServing(command.server, false, version());
  shards_.UnassignAll(command.server, version());
  for (const auto& assignment : command.assignments) Assign(assignment);
  outcome.lost.push_back(command.server);
}

void ReplicatedState::Run(const AssignShardsCommand& command, ApplyOutcome& /*outcome*/) {
  for (const auto& assignment : command.assignments) Assign(assignment);
}

void ReplicatedState::Run(const BeginMovesCommand& command, ApplyOutcome& outcome) {
  bool begun = false;
  for (const auto& move : command.moves) {
    if (Serving(move.target)) begun = shards_.BeginMove(move, version()) || begun;
  }
  if (begun || command.moves.empty()) return;
  outcome.error = Error{ErrorKind::kFailedPrecondition,
                        "The shard's owner or the target changed since the move was planned.",
                        "Check the shard with `graniteseamctl shard show` and try again."};
}

void ReplicatedState::Run(const SetDrainingCommand& command, ApplyOutcome& outcome) {
  if (!servers_.SetDraining(command.server, command.draining, version())) {
    outcome.error = UnknownServer(command.server);
  }
}

void ReplicatedState::Run(const SetLeavingCommand& command, ApplyOutcome& outcome) {
  if (!servers_.SetLeaving(command.server, command.leaving, version())) {
    outcome.error = UnknownServer(command.server);
  }
}

void ReplicatedState::Run(const JournalCommand& command, ApplyOutcome& outcome) {
  for (const auto& completion : command.completions) journal_.Complete(completion);
  const auto* bundle = bundles_.InForce();
  for (const auto& claim : command.claims) {
    const auto* service = bundle == nullptr ? nullptr : bundle->FindService(claim.service);
    const std::int64_t retention = service == nullptr ? 0 : service->operation_retention_ms;
    outcome.claims.push_back(journal_.Claim(claim, retention, command.wall_ms));
  }
}

void ReplicatedState::Run(const ExpireJournalCommand& command, ApplyOutcome& /*outcome*/) {
  const auto* bundle = bundles_.InForce();
  if (bundle == nullptr) return;
  for (const auto& service : bundle->services) {
    if (service.repeatable) continue;
    journal_.Expire(service.name, service.operation_retention_ms, command.wall_ms, kExpiredMaximum);
  }
}

void ReplicatedState::Run(const RemoveServerCommand& command, ApplyOutcome& outcome) {
  const auto* known = servers_.Find(command.server);
  if (known == nullptr || known->serving || shards_.OwnedCount(command.server) > 0) return;
  servers_.Remove(command.server, version());
  outcome.removed.push_back(command.server);
}

void ReplicatedState::Run(const ChangeConfigurationCommand& command, ApplyOutcome& outcome) {
  const std::uint64_t before = traffic_.configuration().changed_at();
  Keep(outcome, [&] { return traffic_.Apply(command.change, version()); });
  outcome.configuration_accepted = !outcome.error;
  outcome.configuration_changed = traffic_.configuration().changed_at() != before;
}

void ReplicatedState::Run(const ReportInstancesCommand& command, ApplyOutcome& /*outcome*/) {
  traffic_.Report(command.reports, version());
}

void ReplicatedState::Run(const DeregisterInstanceCommand& command, ApplyOutcome& /*outcome*/) {
  traffic_.Deregister(command.instance, version());
}

void ReplicatedState::Run(const AssignRangesCommand& command, ApplyOutcome& /*outcome*/) {
  traffic_.Assign(command.assignments, version());
}

void ReplicatedState::Run(const ReleaseRangesCommand& command, ApplyOutcome& /*outcome*/) {
  traffic_.BeginReleases(command.releases, version());
}

void ReplicatedState::Run(const ConfirmRangesCommand& command, ApplyOutcome& /*outcome*/) {
  traffic_.Confirm(command.confirmations, version());
}

void ReplicatedState::Run(const RecordSuspectsCommand& command, ApplyOutcome& /*outcome*/) {
  traffic_.RecordSuspects(command.suspects, version());
}

void ReplicatedState::Run(const ClearSuspectsCommand& command, ApplyOutcome& /*outcome*/) {
  traffic_.ClearSuspects(command.digests, version());
}

void ReplicatedState::Run(const DrainZoneCommand& command, ApplyOutcome& outcome) {
  Keep(outcome, [&] { return traffic_.DrainZone(command.zone, command.drained, version()); });
}

void ReplicatedState::Run(const ReverseDisplacementCommand& command, ApplyOutcome& /*outcome*/) {
  traffic_.ReverseDisplacement(command.displaced, command.successor, version());
}

std::string ReplicatedState::Save() const {
  ReplicatedStateImage image;
  image.applied = applied_;
  image.bundles = bundles_.Snapshot();
  image.servers = servers_.State();
  image.shards = shards_.State();
  image.journal = journal_.Snapshot();
  image.traffic = traffic_.Image();
  image.suspects = traffic_.suspects().Image();
  image.zone_drains = traffic_.ZoneDrains();
  image.tenants = traffic_.configuration().Tenants();
  for (const auto& [service, longest] : longest_leases_) {
    image.leases.push_back(
        {service, std::chrono::duration_cast<std::chrono::milliseconds>(longest).count()});
  }
  return codec::Encode(image);
}

Result<void> ReplicatedState::Restore(std::string_view bytes) {
  BOOST_LEAF_AUTO(image, DecodeImage(bytes));
  BOOST_LEAF_CHECK(shards_.Restore(image.shards));
  applied_ = image.applied;
  bundles_.Restore(image.bundles);
  servers_.Restore(image.servers);
  journal_.Restore(image.journal);
  traffic_.Restore(std::move(image.traffic));
  traffic_.Restore(image.suspects);
  traffic_.Restore(image.zone_drains);
  traffic_.Restore(image.tenants);
  longest_leases_.clear();
  for (const auto& lease : image.leases) {
    longest_leases_[lease.service] = std::chrono::milliseconds(lease.longest_ms);
  }
  return {};
}

std::uint64_t ReplicatedState::map_version() const {
  return std::max(shards_.version(), servers_.version());
}

std::optional<Duration> ReplicatedState::LeaseOf(const ServiceName& service) const {
  const auto* bundle = bundles_.InForce();
  const auto* found = bundle == nullptr ? nullptr : bundle->FindService(service);
  if (found == nullptr) return std::nullopt;
  return std::chrono::milliseconds(found->lease_ms);
}

Duration ReplicatedState::LongestLease(const ServiceName& service) const {
  const auto found = longest_leases_.find(service);
  return found == longest_leases_.end() ? Duration::zero() : found->second;
}

}  // namespace graniteseam::control
