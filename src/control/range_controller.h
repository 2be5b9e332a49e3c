/// @file
/// The leader's care for key ranges: grants and their renewals, planned releases, and new owners
/// for the keys of instances that are gone. Grants travel in one of two forms: as orders to the
/// owner (range_controller.cc), or in the answers to its heartbeats (heartbeat_leases.cc).
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

/// Everything here belongs to one leadership: a new leader begins with a new controller, which
/// takes every grant as given at its own election.
///
/// Invariant: a span is assigned to another instance only when its owner confirmed the release, or
/// when every grant that may have reached the owner has run out on the owner's own clock, or when
/// the owner has ended for certain: another process answered an order to it, or reported from its
/// address and is no forerunner of it (displacement.h). Orders that were sent to the owner before
/// can not act on the other process, since each names its instance. Answers the failures: crash,
/// cut, pause of an owner; another process at its address; lost and late orders and heartbeats;
/// loss of the leader.
///
/// Deterministic; not thread safe; `now` never goes back.
class RangeController {
 public:
  /// @param last_used the newest order number of this process's earlier leaderships. Results of
  /// their orders may still come, and must not be taken for those of this one's.
  RangeController(RangeOptions options, const traffic::TrafficState& state,
                  const InstanceLiveness& liveness, const InstanceLimits& limits,
                  OrderNumber last_used, Instant now);

  OrderNumber last_number() const { return last_number_; }

  /// Commands to propose. Call it again only when those before were applied. Costs next to nothing
  /// where neither the state nor an order's result nor the time gives anything new to decide.
  std::vector<CommandBody> Decide(Instant now);
  /// Orders to send now; as cheap where none is due.
  std::vector<RangeOrder> Orders(Instant now);
  void TakeResult(const RangeOrderResult& result, Instant now);
  void TakeLoads(const traffic::TrafficPoll& poll, Instant now);

  /// Takes a heartbeat, and decides what its answer leases to the instance. The caller must hold
  /// the leader lease at `now`, and must answer this very heartbeat with it.
  /// @return nullopt when the answer must not speak of keys: the instance takes orders, or a later
  /// heartbeat of it was taken before this one.
  std::optional<traffic::KeyLeases> TakeHeartbeat(const ReportInstance& heartbeat, Instant now);

  /// Keys that are asked for more often than their owners can answer.
  std::vector<traffic::HotKey> HotKeys() const;
  /// Notes that routers are told of a hot key.
  void RecordHotKeySent(const traffic::HotKey& hot);

  /// What was decided and believed since the last call.
  std::vector<RangeNote> TakeNotes() { return std::exchange(notes_, {}); }

  /// The next instant at which Decide() or Orders() has something to do by itself.
  Instant NextDue() const;
  /// The same of Orders() alone.
  Instant NextOrderDue() const;

  /// Ranges and instances that decisions looked at so far, each as often as it was: what they cost,
  /// in a unit that does not depend on the machine (half a microsecond each, measured).
  std::uint64_t evaluations() const { return evaluations_; }

 private:
  /// Until when a grant that was sent may be held.
  struct GrantEnd {
    ServiceName service;
    traffic::KeySpan span;
    Instant end;
  };
  struct OpenOrder {
    RangeOrder order;
    ServiceName service;
  };
  /// When the next order for a range is due, by service and first key.
  struct RangeKey {
    ServiceName service;
    std::uint32_t first = 0;
    auto operator<=>(const RangeKey&) const = default;
  };
  struct RangeStatus {
    traffic::Fence fence;  ///< For which the rest holds.
    std::uint32_t last = 0;
    Instant next_order{};
    bool confirmed = false;
    bool released = false;
    /// The owner saw a higher fence: no order goes out under this one again.
    bool refused = false;
    std::string handover;
    std::optional<OrderNumber> open_order;
    Instant since{};  ///< When this began.
    /// A next owner was proposed. Until that is committed the state still names the last one, which
    /// must get no lease any more: it may be heard of again just then.
    bool reassigned = false;
    bool leased = false;     ///< By heartbeat: an answer of this leadership gave the range.
    int missed_reports = 0;  ///< Heartbeats in a row that do not tell of it although it was leased.
  };

  /// Keys that all answers to an instance's heartbeats left out since `sequence`.
  struct Omission {
    traffic::KeySpan span;
    std::int64_t sequence = 0;
    Instant at;
  };
  /// What is known of an instance by its heartbeats.
  struct HeartbeatStatus {
    std::int64_t sequence = 0;  ///< Of the newest heartbeat that was taken.
    Instant last_heartbeat{};
    Duration interval{};  ///< Between its heartbeats, but for those that tell of a release.
    std::vector<Omission> omissions;
  };
  /// A planned move that waits for its owner's next heartbeat: routers are told of the release
  /// together with the owner, so that the keys are without an owner for no longer than they must.
  struct PlannedMove {
    traffic::RangeRelease release;
    bool begun = false;  ///< An answer to the owner left the keys out.
  };

  void SyncRanges(Instant now);
  /// What is known of the range that held `key` under the same fence, null when there was none.
  const RangeStatus* PreviousStatus(const RangeKey& key, traffic::Fence fence) const;
  RangeStatus* StatusOf(const OpenOrder& open);
  /// Whether nobody but a new owner can act for the range's keys any more.
  bool CanReassign(const traffic::KeyRange& range, const RangeStatus& status, Instant now) const;
  Instant GrantEndOf(const traffic::KeyRange& range) const;
  /// Whether a grant of keys of the range to its owner has no result yet.
  bool GrantUnderWay(const traffic::KeyRange& range) const;
  void NoteGrant(const traffic::InstanceId& instance, const ServiceName& service,
                 const traffic::KeySpan& span, Instant end);
  /// When a grant is over for certain on its owner's clock.
  Instant EndOfGrant(Duration length, Instant received) const;
  bool MustRelease(const traffic::KeyRange& range) const;
  /// Whether an instance's process has ended for certain.
  bool HasEnded(const traffic::InstanceId& instance) const;

  void Note(std::string_view what, const traffic::KeyRange& range, const traffic::KeySpan& span,
            std::string inputs);
  /// Why the keys of a range may be given to somebody else.
  std::string ReassignmentReason(const traffic::KeyRange& range, const RangeStatus& status) const;
  void DecideConfirmations(std::vector<CommandBody>& commands) const;
  void DecideReleases(Instant now, std::vector<CommandBody>& commands);
  bool InDrainedZone(const traffic::InstanceId& owner) const;
  /// Ranges of drained zones that may be released now, beside those on their way.
  std::size_t ZoneReleasesAllowed(const traffic::KeyRangeTable::Ranges& ranges,
                                  const std::vector<RangeCandidate>& candidates) const;
  void DecideAssignments(Instant now, std::vector<CommandBody>& commands);
  /// Whether registrations have settled enough to give out a service's keys for the first time.
  bool Settled(const ServiceName& service, const std::vector<RangeCandidate>& candidates,
               Instant now);
  std::vector<traffic::RangeAssignment> NextOwners(const traffic::KeyRange& range,
                                                   const RangeStatus& status,
                                                   const std::vector<RangeCandidate>& candidates,
                                                   std::size_t successors_maximum,
                                                   RangeBalancer::LoadByOwner& loads) const;

  /// Requests a second that the owner of a range can run; nullopt when it is not known.
  std::optional<double> CapacityOf(const traffic::KeyRange& range) const;

  /// What one pass finds of a service's instances; worked out once a pass.
  struct ServiceView {
    std::set<traffic::InstanceId> avoided;   ///< They fail their requests.
    std::vector<RangeCandidate> candidates;  ///< They may be given keys.
  };
  const ServiceView& ViewOf(const ServiceName& service, Instant now);
  std::vector<RangeCandidate> CandidatesFor(const ServiceName& service,
                                            const std::set<traffic::InstanceId>& avoided,
                                            Instant now) const;
  /// Leaves candidates that name limits the slots to which as much load belongs as they take.
  void BoundByLimits(const ServiceName& service, std::vector<RangeCandidate>& candidates) const;
  /// Instances that fail their requests, none where many do.
  std::set<traffic::InstanceId> AvoidedInstances(const ServiceName& service, Instant now) const;
  /// Whether an instance answers neither orders nor sends heartbeats.
  bool Unresponsive(const traffic::InstanceId& instance, Instant now) const;
  std::optional<RangeOrder> NextOrder(const traffic::KeyRange& range, RangeStatus& status,
                                      Instant now);

  // Leases by heartbeat.
  /// Takes the forms of leases from the configuration.
  void UpdateLeaseForms(Instant now);
  bool LeasedByHeartbeat(const ServiceName& service) const;
  /// Whether leases of a service's former form may still be held: until they are over, none of the
  /// new form is given.
  bool InFormTransition(const ServiceName& service, Instant now) const;
  void NoteUnknownKeys(const ReportInstance& heartbeat);
  /// Adds to an answer what it leases of one range, and notes what it leaves out.
  void Lease(const traffic::KeyRange& range, RangeStatus& status, HeartbeatStatus& heartbeat_status,
             traffic::KeyLeases& leases, Instant now);
  /// Takes what a heartbeat proves about the release of one of its instance's ranges.
  void TakeRelease(const ReportInstance& heartbeat, const HeartbeatStatus& heartbeat_status,
                   const traffic::KeyRange& range, RangeStatus& status, Instant now);
  /// Counts the heartbeats that do not tell of a range although earlier answers leased it.
  static void TakeHeldSpans(const traffic::HeldKeys& keys, const traffic::KeyRange& range,
                            RangeStatus& status);
  /// Parts of a range that may be leased to its owner now; the rest is to be let go.
  std::vector<traffic::KeySpan> SpansToLease(const traffic::KeyRange& range,
                                             const RangeStatus& status);
  /// @return whether answers gave these keys until now.
  static bool NoteOmission(HeartbeatStatus& heartbeat_status, const traffic::KeySpan& span,
                           Instant now);
  /// Whether an owner has still to come for keys that no answer leased to it yet.
  bool AwaitsFirstLease(const traffic::KeyRange& range, const RangeStatus& status,
                        Instant now) const;
  std::vector<traffic::RangeRelease> PlannedMoves(const ServiceName& service) const;
  /// Adds the moves whose owners were told, and forgets those that fit no more.
  void AddBegunMoves(std::vector<traffic::RangeRelease>& releases);
  /// Whether an instance was heard of so lately that it will come for new keys.
  bool SentHeartbeatRecently(const traffic::InstanceId& instance, Instant now) const;

  /// When Decide() has something to decide.
  Instant NextDecision() const;
  static Duration PauseAfter(std::uint64_t evaluations);
  /// Counts what one pass looks at.
  void AddEvaluations(std::size_t items) const { evaluations_ += items; }
  std::size_t InstanceCount() const { return state_.instances().instances().size(); }

  const RangeOptions options_;
  /// Until then leases of former leaders may be held.
  const Instant inherited_until_;
  const traffic::TrafficState& state_;
  const InstanceLiveness& liveness_;
  const InstanceLimits& limits_;
  RangeBalancer balancer_;
  InstanceSpeeds speeds_;
  std::map<RangeKey, RangeStatus> range_status_;
  std::map<traffic::InstanceId, std::vector<GrantEnd>> grant_ends_;
  std::map<OrderNumber, OpenOrder> open_;
  /// Since when an instance left orders unanswered; not there when it answered the last one.
  std::map<traffic::InstanceId, Instant> failing_since_;
  /// Instances in whose place another process answered an order, and when it did.
  std::map<traffic::InstanceId, Instant> replaced_;
  std::map<traffic::InstanceId, HeartbeatStatus>
      heartbeat_status_;  ///< Of instances leased keys by heartbeat.
  std::vector<PlannedMove> planned_;
  std::map<ServiceName, ServiceView> views_;  ///< Of the pass under way.
  struct LeaseFormStatus {
    traffic::LeaseForm form = traffic::LeaseForm::kOrders;
    Instant transition_until{};
  };
  std::map<ServiceName, LeaseFormStatus> lease_forms_;  ///< A dropped service keeps its last one.
  std::uint64_t synced_configuration_ = 0;
  OrderNumber last_number_;
  /// When the number of a service's candidates last changed while all its keys are unowned.
  struct Settling {
    std::size_t candidates = 0;
    Instant since;
  };
  std::map<ServiceName, Settling> settling_;
  std::vector<RangeNote> notes_;
  std::uint64_t synced_version_ = 0;
  std::uint64_t decided_version_ = 0;  ///< Of the state at the last full Decide().
  std::uint64_t ordered_version_ = 0;  ///< The same of Orders().
  Instant decide_due_{};
  Instant decide_not_before_{};  ///< Whatever is new.
  Instant orders_due_{};
  Instant orders_not_before_{};
  mutable std::uint64_t evaluations_ = 0;  ///< Also of passes that decide nothing.
};

}  // namespace graniteseam::control
