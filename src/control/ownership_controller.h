/// @file
/// The control leader's decisions about servers and shards: admission of servers, expiry of leases,
/// assignment of shards, and moves.
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
  /// A service's shards are first assigned once no server of it has registered for this long, so
  /// that the first server to register does not receive all of them.
  Duration first_assignment_delay{200'000};
  /// A server without a lease that is absent from the platform's list is removed after this long.
  Duration forget_after{600'000'000};
  /// Maximum assignments in one command; bounds the size of a log entry and the time to apply it.
  std::size_t assignments_maximum = 5'000;
  /// Interval after which placement is retried for shards whose candidates were all unhealthy.
  Duration placement_retry{50'000};
  /// Maximum concurrent moves away from one drained server.
  std::size_t drain_moves_maximum = 64;
};

/// The duties of an established leader in one term. Reads the replicated state and changes it only
/// through commands, which the caller proposes.
///
/// Lifecycle: created when leadership is established, destroyed when leadership ends or a proposal
/// fails; all of its state is volatile. Called only while the leader lease is held. Not thread
/// safe; deterministic.
class OwnershipController {
 public:
  /// @param state outlives the controller.
  /// @param numbers_used the highest lease request number that this process has used in the same
  /// term: numbers_used() of an earlier lease table, else 0.
  OwnershipController(OwnershipOptions options, const ReplicatedState& state, Term term,
                      std::uint64_t numbers_used, Instant now);
  OwnershipController(const OwnershipController&) = delete;
  OwnershipController& operator=(const OwnershipController&) = delete;

  /// Processes the platform's list of machines. The list is a hint: it names servers to contact and
  /// servers that are about to leave.
  void TakePlatformList(const PlatformList& list, Instant now);
  /// Processes a server's answer to a lease request.
  void TakeAnswer(const lease::LeaseAnswer& answer, Instant now);
  /// Processes the load per shard that a router measured.
  void TakeLoad(const std::vector<ShardLoad>& loads, Instant now) { balancer_.Report(loads, now); }
  /// Updates leases and placement. Called after each applied entry.
  void HandleApplied(const ApplyOutcome& outcome, Instant now);

  /// Returns the commands to propose now. The caller proposes all of them at once and calls
  /// Proposed(), or destroys the controller.
  std::vector<CommandBody> Decide(Instant now);
  /// Records the log index of the last command that Decide() returned.
  void Proposed(LogIndex last);

  /// Returns the lease requests that are due, as (address, request).
  std::vector<std::pair<std::string, lease::LeaseRequest>> Sends(Instant now);
  /// The next time at which Decide() or Sends() has work without a further event.
  Instant NextDue() const;

  const lease::LeaseTable& leases() const { return leases_; }

 private:
  void AddKnownServers(Instant now);
  void ContactMachines(Instant now);
  void SyncShards(Instant now);
  bool HasPendingChange(const ServerId& server) const;
  const PlatformMachine* Machine(const ServerId& server) const;

  void DecideLosses(Instant now, TargetChoosers& choosers, std::vector<CommandBody>& commands);
  void DecideUnleasedIncarnations(std::vector<CommandBody>& commands);
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
  Instant now_{};  ///< Time of the current Decide(), for `healthy_`.
  std::map<ServerId, PlatformMachine> machines_;
  std::map<ServerId, bool> reported_leaving_;  ///< As each server reported itself.
  std::map<ServiceName, Instant> last_joined_;
  /// Servers with a pending registration or loss, and the log index of its command; 0 until that is
  /// proposed.
  std::map<ServerId, LogIndex> pending_changes_;
  PendingAssignments pending_assignments_;
  /// `pending_assignments_` is valid until this index is applied.
  LogIndex pending_assignments_until_;
  /// Servers without a lease that are absent from the platform's list.
  std::map<ServerId, Instant> absent_since_;
  /// Version of servers and shards at the last placement decision.
  std::uint64_t synced_map_version_ = 0;
  std::uint64_t synced_shards_version_ =
      0;                            ///< Version of the shard table that `leases_` reflects.
  LogIndex placement_proposed_;     ///< Placement decisions wait until this index is applied.
  bool placement_decided_ = false;  ///< Whether the last Decide() returned placement commands.
  bool leaving_stale_ = true;
  bool placement_stale_ = true;
  /// Time of the next placement decision without a further event.
  std::optional<Instant> placement_due_;
};

}  // namespace graniteseam::control
