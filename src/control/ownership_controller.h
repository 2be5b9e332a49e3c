/// @file
/// What the control leader decides about servers and shards: whom to admit, whose lease is over,
/// which shard goes where, and which move to start.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <vector>

#include "graniteseam/control/operator_messages.h"
#include "graniteseam/lease/lease_table.h"
#include "src/control/commands.h"
#include "src/control/load_balancer.h"
#include "src/control/replicated_state.h"
#include "src/control/shard_assigner.h"

namespace graniteseam::control {

struct OwnershipOptions {
  lease::LeaseTableOptions leases;
  LoadBalancerOptions balancer;
  /// Shards that were never assigned wait until no server of their service joined for this long,
  /// so that the first server to join doesn't get them all.
  Duration first_assignment_delay{200'000};
  /// A server without a lease that the platform's list does not name is forgotten after this long.
  Duration forget_after{600'000'000};
  /// Assignments in one command: bounds a log entry, and the time to apply it.
  std::size_t assignments_maximum = 5'000;
  /// How soon shards are looked at again whose candidates had not answered lately.
  Duration placement_retry{50'000};
  /// Shards of one drained server that are under way at once.
  std::size_t drain_moves_maximum = 64;
};

/// The duties of an established leader in one term. Reads the replicated state and changes it only
/// through commands, which the caller proposes.
///
/// Lifecycle: made when leadership is established, dropped with it or when a proposal fails: all it
/// knows is soft. Called only while the leader lease is held. Not thread safe; deterministic.
class OwnershipController {
 public:
  /// @param state outlives the controller.
  OwnershipController(OwnershipOptions options, const ReplicatedState& state, Term term,
                      std::uint64_t numbers_used, Instant now);
  OwnershipController(const OwnershipController&) = delete;
  OwnershipController& operator=(const OwnershipController&) = delete;

  /// Takes the platform's list, a hint: names whom to greet and who is about to leave.
  void TakePlatformList(const PlatformList& list, Instant now);
  void TakeAnswer(const lease::LeaseAnswer& answer, Instant now);
  /// Takes the shard load that a router counted.
  void TakeLoad(const std::vector<ShardLoad>& loads, Instant now) { balancer_.Report(loads, now); }
  /// Follows what applied entries changed. Called after each applied entry.
  void HandleApplied(const ApplyOutcome& outcome, Instant now);

  /// Commands to propose now. The caller proposes all of them at once and reports with Proposed(),
  /// or drops the controller.
  std::vector<CommandBody> Decide(Instant now);
  /// Tells where the commands of the last Decide() stand in the log.
  void Proposed(LogIndex last);

  /// Messages to servers that are due, as (address, request).
  std::vector<std::pair<std::string, lease::LeaseRequest>> Sends(Instant now);
  /// When Decide() or Sends() has something to do next without another event.
  Instant NextDue() const;

  const lease::LeaseTable& leases() const { return leases_; }

 private:
  void AddKnownServers(Instant now);
  void ContactMachines(Instant now);
  void SyncShards(Instant now);
  bool HasPendingChange(const ServerId& server) const;
  const PlatformMachine* Machine(const ServerId& server) const;

  void DecideLosses(Instant now, TargetChoosers& choosers, std::vector<CommandBody>& commands);
  void DecideAppearances(std::vector<CommandBody>& commands);
  void DecideReleases(TargetChoosers& choosers, std::vector<CommandBody>& commands);
  void DecideRemovals(Instant now, std::vector<CommandBody>& commands);
  void DecideLeaving(std::vector<CommandBody>& commands);
  void DecideUnassigned(Instant now, TargetChoosers& choosers, std::vector<CommandBody>& commands);
  void DecideBalance(Instant now, std::vector<CommandBody>& commands);
  void DecideDrains(Instant now, TargetChoosers& choosers, std::vector<CommandBody>& commands);
  std::optional<CommandBody> Registration(const ServerId& server, Incarnation incarnation) const;
  bool MayReceiveShards(const ServerId& server) const;
  bool MayReplace(const ServerId& server) const;
  bool FirstAssignmentWaits(const ServiceName& service, Instant now);
  void SchedulePlacement(Instant at);
  void CountPendingAssignments(const std::vector<CommandBody>& commands);

  OwnershipOptions options_;
  const ReplicatedState& state_;
  lease::LeaseTable leases_;
  HealthCheck healthy_;
  LoadBalancer balancer_;
  Instant now_{};  ///< Of the call under way, for `healthy_`.
  std::map<ServerId, PlatformMachine> machines_;
  std::map<ServerId, bool> reported_leaving_;  ///< Each server's own word.
  std::map<ServiceName, Instant> last_joined_;
  /// Servers with a registration or loss under way, and its log index; 0 until it is proposed.
  std::map<ServerId, LogIndex> pending_changes_;
  PendingAssignments pending_assignments_;
  LogIndex pending_assignments_until_;  ///< `pending_assignments_` counts until this is applied.
  std::map<ServerId, Instant> absent_since_;  ///< Without a lease and not on the platform's list.
  std::uint64_t synced_map_version_ = 0;      ///< Version of servers and shards last looked at.
  std::uint64_t synced_shards_version_ = 0;   ///< Version of the shard table that leases_ knows.
  LogIndex placement_proposed_;               ///< Orphans and drains wait until this is applied.
  bool placement_decided_ = false;            ///< In the last Decide().
  bool leaving_stale_ = true;
  bool placement_stale_ = true;
  std::optional<Instant> placement_due_;  ///< When to look at placement again.
};

}  // namespace graniteseam::control
