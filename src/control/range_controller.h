/// @file
/// The leader's control of key ranges: grants and their renewals, planned releases, and new owners
/// for the keys of instances that are gone. Grants are sent in one of two forms: as orders to the
/// owner (range_controller.cc), or in the answers to its heartbeats (heartbeat_leases.cc).
/// Candidates for keys are in range_candidates.cc, planned releases in range_releases.cc.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "graniteseam/control/operator_messages.h"
#include "graniteseam/control/range_orders.h"
#include "graniteseam/control/traffic_options.h"
#include "graniteseam/traffic/hints.h"
#include "src/control/commands.h"
#include "src/control/instance_limits.h"
#include "src/control/instance_liveness.h"
#include "src/control/instance_speeds.h"
#include "src/control/range_balancer.h"
#include "src/traffic/traffic_state.h"

namespace graniteseam::control {

/// Controls the key ranges during one leadership. A new leader creates a new controller, which
/// assumes that every grant was given at its own election.
///
/// Invariant: a span is assigned to another instance only when its owner has confirmed the release,
/// when every grant that may have reached the owner has expired on the owner's own clock, or when
/// another process answered an order to the owner at its address, so that the owner's process has
/// ended. Orders that were sent to the owner earlier have no effect on the other process, because
/// each names its instance. The order in which heartbeats arrive proves nothing, because any of
/// them may be late by any time (displacement.h). Tolerates a crash, partition or pause of an
/// owner; another process at its address; lost and late orders and heartbeats; loss of the leader.
///
/// Deterministic; not thread safe; `now` never decreases.
class RangeController {
 public:
  /// @param last_used the newest order number of this process's earlier leaderships. Results of
  /// their orders may still arrive and must not be mistaken for results of this leadership's
  /// orders.
  RangeController(RangeOptions options, const traffic::TrafficState& state,
                  const InstanceLiveness& liveness, const InstanceLimits& limits,
                  OrderNumber last_used, Instant now);

  OrderNumber last_number() const { return last_number_; }

  /// Returns commands to propose. Called again only after the previous ones were applied. Cheap
  /// when neither the state, an order's result nor the time requires a decision.
  std::vector<CommandBody> Decide(Instant now);
  /// Returns the orders to send now; cheap when none is due.
  std::vector<RangeOrder> Orders(Instant now);
  /// Processes the result of an order; results of unknown orders are ignored.
  void TakeResult(const RangeOrderResult& result, Instant now);
  /// Processes the key loads and instance speeds of a router's poll.
  void TakeLoads(const traffic::TrafficPoll& poll, Instant now);

  /// Processes a heartbeat and decides which keys its answer leases to the instance. The caller
  /// must hold the leader lease at `now` and must send the result in the answer to this heartbeat.
  /// @return nullopt when the answer must not contain leases: the instance receives orders, or a
  /// later heartbeat of it was processed before this one.
  std::optional<traffic::KeyLeases> TakeHeartbeat(const ReportInstance& heartbeat, Instant now);

  /// Keys whose request rate exceeds what their owners can serve.
  std::vector<traffic::HotKey> HotKeys() const;
  /// Records in the notes that a hot key was sent to routers.
  void RecordHotKeySent(const traffic::HotKey& hot);

  /// Returns and clears the notes on decisions and their reasons since the last call.
  std::vector<RangeNote> TakeNotes() { return std::exchange(notes_, {}); }

  /// The next time at which Decide() or Orders() has work without a further event.
  Instant NextDue() const;
  /// The same for Orders() alone.
  Instant NextOrderDue() const;

  /// Number of ranges and instances evaluated by decisions so far: their cost in a unit that does
  /// not depend on the machine. One takes about half a microsecond.
  std::uint64_t evaluations() const { return evaluations_; }

 private:
  /// The latest time until which a sent grant may be held.
  struct GrantEnd {
    ServiceName service;
    traffic::KeySpan span;
    Instant end;
  };
  /// An order that was sent and has no result yet.
  struct OpenOrder {
    RangeOrder order;
    ServiceName service;
  };
  /// Identifies a range by service and first key.
  struct RangeKey {
    ServiceName service;
    std::uint32_t first = 0;
    auto operator<=>(const RangeKey&) const = default;
  };
  /// The leader's record of a range under one fence.
  struct RangeStatus {
    traffic::Fence fence;  ///< The fence under which the other members are valid.
    std::uint32_t last = 0;
    Instant next_order{};
    bool confirmed = false;
    bool released = false;
    /// The owner refused a grant because it has seen a higher fence, or several heartbeats in a row
    /// did not report the leased range: nothing further is granted under this fence.
    bool refused = false;
    std::string handover;
    std::optional<OrderNumber> open_order;
    Instant since{};  ///< Creation time of this record.
    /// A new owner was proposed. Until that is committed, the state still names the previous owner,
    /// which must not get another lease even if it becomes reachable again.
    bool reassigned = false;
    bool leased = false;  ///< Leases by heartbeat: an answer of this leadership leased the range.
    /// Consecutive heartbeats that do not report the range although it was leased.
    int missed_reports = 0;
  };

  /// Keys that all answers to an instance's heartbeats have omitted since the heartbeat `sequence`.
  struct Omission {
    traffic::KeySpan span;
    std::int64_t sequence = 0;
    Instant at;
  };
  /// The record of an instance's heartbeats.
  struct HeartbeatStatus {
    std::int64_t sequence = 0;  ///< Sequence of the newest heartbeat processed.
    Instant last_heartbeat{};
    Duration interval{};  ///< Interval between heartbeats, except those that report a release.
    std::vector<Omission> omissions;
  };
  /// A planned move that waits for its owner's next heartbeat. Routers are notified of the release
  /// at the same time as the owner, which minimizes the time without an owner.
  struct PlannedMove {
    traffic::RangeRelease release;
    bool begun = false;  ///< An answer to the owner has omitted the keys.
  };

  /// Brings the range records up to date with the applied state.
  void SyncRanges(Instant now);
  /// The record of the range that contained `key` under the same fence; null if there is none.
  const RangeStatus* PreviousStatus(const RangeKey& key, traffic::Fence fence) const;
  RangeStatus* StatusOf(const OpenOrder& open);
  /// Whether the keys may be assigned to a new owner because no other instance can act for them.
  bool CanReassign(const traffic::KeyRange& range, const RangeStatus& status, Instant now) const;
  Instant GrantEndOf(const traffic::KeyRange& range) const;
  /// Whether a grant of the range's keys to its owner has no result yet.
  bool GrantUnderWay(const traffic::KeyRange& range) const;
  void NoteGrant(const traffic::InstanceId& instance, const ServiceName& service,
                 const traffic::KeySpan& span, Instant end);
  /// The time at which a grant has certainly expired on its owner's clock.
  Instant EndOfGrant(Duration length, Instant received) const;
  bool MustRelease(const traffic::KeyRange& range) const;
  /// Whether another process answered an order to the instance, which proves that it has ended.
  bool HasEnded(const traffic::InstanceId& instance) const;

  void Note(std::string_view what, const traffic::KeyRange& range, const traffic::KeySpan& span,
            std::string inputs);
  /// The reason, for notes, why the range's keys may be assigned to a new owner.
  std::string ReassignmentReason(const traffic::KeyRange& range, const RangeStatus& status) const;
  void DecideConfirmations(std::vector<CommandBody>& commands) const;
  void DecideReleases(Instant now, std::vector<CommandBody>& commands);
  bool InDrainedZone(const traffic::InstanceId& owner) const;
  /// Number of a drained zone's ranges that may be released now, beside those being released.
  std::size_t ZoneReleasesAllowed(const traffic::KeyRangeTable::Ranges& ranges,
                                  const std::vector<RangeCandidate>& candidates) const;
  void DecideAssignments(Instant now, std::vector<CommandBody>& commands);
  /// Whether the set of candidates has been stable long enough for a service's first assignment.
  bool Settled(const ServiceName& service, const std::vector<RangeCandidate>& candidates,
               Instant now);
  std::vector<traffic::RangeAssignment> NextOwners(const traffic::KeyRange& range,
                                                   const RangeStatus& status,
                                                   const std::vector<RangeCandidate>& candidates,
                                                   std::size_t successors_maximum,
                                                   RangeBalancer::LoadByOwner& loads) const;

  /// Capacity of a range's owner in requests per second; nullopt when it is unknown.
  std::optional<double> CapacityOf(const traffic::KeyRange& range) const;

  /// A service's instances as evaluated in one pass of Decide(); computed at most once a pass.
  struct ServiceView {
    /// Instances that fail requests or asked routers to back off.
    std::set<traffic::InstanceId> avoided;
    std::vector<RangeCandidate> candidates;  ///< Instances that may receive keys.
  };
  const ServiceView& ViewOf(const ServiceName& service, Instant now);
  std::vector<RangeCandidate> CandidatesFor(const ServiceName& service,
                                            const std::set<traffic::InstanceId>& avoided,
                                            Instant now) const;
  /// Reduces the slots of candidates that report a rate limit, so that their load stays within it.
  void BoundByLimits(const ServiceName& service, std::vector<RangeCandidate>& candidates) const;
  /// Instances that fail requests or asked routers to back off; each group is omitted when it makes
  /// up too large a part of the service.
  std::set<traffic::InstanceId> AvoidedInstances(const ServiceName& service, Instant now) const;
  /// Whether an instance neither answers orders nor sends heartbeats.
  bool Unresponsive(const traffic::InstanceId& instance, Instant now) const;
  /// The next order for a range; nullopt when none may be sent.
  std::optional<RangeOrder> NextOrder(const traffic::KeyRange& range, RangeStatus& status,
                                      Instant now);

  // Leases by heartbeat.
  /// Updates the form of each service's leases from the configuration.
  void UpdateLeaseForms(Instant now);
  bool LeasedByHeartbeat(const ServiceName& service) const;
  /// Whether leases of a service's previous form may still be held; until they have expired, none
  /// of the new form is granted.
  bool InFormTransition(const ServiceName& service, Instant now) const;
  void NoteUnknownKeys(const ReportInstance& heartbeat);
  /// Adds the leased spans of one range to an answer and records the omitted ones.
  void Lease(const traffic::KeyRange& range, RangeStatus& status, HeartbeatStatus& heartbeat_status,
             traffic::KeyLeases& leases, Instant now);
  /// Records the release of a range if a heartbeat proves it.
  void TakeRelease(const ReportInstance& heartbeat, const HeartbeatStatus& heartbeat_status,
                   const traffic::KeyRange& range, RangeStatus& status, Instant now);
  /// Counts the consecutive heartbeats that do not report a range although earlier answers leased
  /// it.
  static void TakeHeldSpans(const traffic::HeldKeys& keys, const traffic::KeyRange& range,
                            RangeStatus& status);
  /// Spans of a range that may be leased to its owner now; the owner has to release the rest.
  std::vector<traffic::KeySpan> SpansToLease(const traffic::KeyRange& range,
                                             const RangeStatus& status);
  /// Records that an answer omits a span.
  /// @return true when no such omission was recorded, so that answers may have leased the keys
  /// until now.
  static bool NoteOmission(HeartbeatStatus& heartbeat_status, const traffic::KeySpan& span,
                           Instant now);
  /// Whether an owner may still send the heartbeat whose answer is the first to lease it the range.
  bool AwaitsFirstLease(const traffic::KeyRange& range, const RangeStatus& status,
                        Instant now) const;
  std::vector<traffic::RangeRelease> PlannedMoves(const ServiceName& service) const;
  /// Adds the planned moves whose owners were notified, and discards those that no longer match the
  /// ranges.
  void AddBegunMoves(std::vector<traffic::RangeRelease>& releases);
  /// Whether an instance sent a heartbeat recently enough to expect that it will collect new keys.
  bool SentHeartbeatRecently(const traffic::InstanceId& instance, Instant now) const;

  /// The next time at which Decide() has work.
  Instant NextDecision() const;
  static Duration PauseAfter(std::uint64_t evaluations);
  /// Adds to the number of evaluated items.
  void AddEvaluations(std::size_t items) const { evaluations_ += items; }
  std::size_t InstanceCount() const { return state_.instances().instances().size(); }

  const RangeOptions options_;
  /// Until then, leases granted by former leaders may be held.
  const Instant inherited_until_;
  const traffic::TrafficState& state_;
  const InstanceLiveness& liveness_;
  const InstanceLimits& limits_;
  RangeBalancer balancer_;
  InstanceSpeeds speeds_;
  std::map<RangeKey, RangeStatus> range_status_;
  std::map<traffic::InstanceId, std::vector<GrantEnd>> grant_ends_;
  std::map<OrderNumber, OpenOrder> open_;
  /// Time since which an instance has left orders unanswered; absent when it answered the last one.
  std::map<traffic::InstanceId, Instant> failing_since_;
  /// Instances for which another process answered an order, and the time of that answer.
  std::map<traffic::InstanceId, Instant> replaced_;
  std::map<traffic::InstanceId, HeartbeatStatus>
      heartbeat_status_;  ///< Of instances that hold leases by heartbeat.
  std::vector<PlannedMove> planned_;
  std::map<ServiceName, ServiceView> views_;  ///< Of the current pass of Decide().
  /// The form of a service's leases and the end of the transition from the previous form.
  struct LeaseFormStatus {
    traffic::LeaseForm form = traffic::LeaseForm::kOrders;
    Instant transition_until{};
  };
  std::map<ServiceName, LeaseFormStatus> lease_forms_;  ///< Kept when the service is removed.
  std::uint64_t synced_configuration_ = 0;
  OrderNumber last_number_;
  /// The time at which the number of a service's candidates last changed before its first
  /// assignment.
  struct Settling {
    std::size_t candidates = 0;
    Instant since;
  };
  std::map<ServiceName, Settling> settling_;
  std::vector<RangeNote> notes_;
  std::uint64_t synced_version_ = 0;
  std::uint64_t decided_version_ = 0;  ///< State version at the last complete Decide().
  std::uint64_t ordered_version_ = 0;  ///< State version at the last complete Orders().
  Instant decide_due_{};
  Instant decide_not_before_{};  ///< Applies even if the state changed.
  Instant orders_due_{};
  Instant orders_not_before_{};
  mutable std::uint64_t evaluations_ = 0;  ///< Mutable: const queries count as well.
};

}  // namespace graniteseam::control
