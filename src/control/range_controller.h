/// @file
/// The leader's care for key ranges: grants and their renewals, planned releases, and new owners
/// for the keys of instances that are gone.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <vector>

#include "graniteseam/control/range_orders.h"
#include "graniteseam/control/traffic_options.h"
#include "src/control/commands.h"
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
/// another instance reported from the owner's address, so that the owner has ended. Answers the
/// failures: crash, cut, pause of an owner; lost and late orders; loss of the leader.
///
/// Deterministic; not thread safe; `now` never goes back.
class RangeController {
 public:
  /// @param last_used the newest order number of this process's earlier leaderships. Results of
  /// their orders may still come, and must not be taken for those of this one's.
  RangeController(RangeOptions options, const traffic::TrafficState& state,
                  const InstanceLiveness& liveness, OrderNumber last_used, Instant now);

  OrderNumber last_number() const { return last_number_; }

  /// Commands to propose. Call it again only when those before were applied. Costs next to nothing
  /// where neither the state nor an order's result nor the time gives anything new to decide.
  std::vector<CommandBody> Decide(Instant now);
  /// Orders to send now; as cheap where none is due.
  std::vector<RangeOrder> Orders(Instant now);
  void TakeResult(const RangeOrderResult& result, Instant now);
  void TakeLoads(const traffic::TrafficPoll& poll, Instant now);

  /// The next instant at which Decide() or Orders() has something to do by itself.
  Instant NextDue() const;
  /// The same of Orders() alone.
  Instant NextOrderDue() const;

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
  struct RangeCare {
    traffic::Fence fence;  ///< For which the rest holds.
    std::uint32_t last = 0;
    Instant next_order{};
    bool confirmed = false;
    bool released = false;
    /// The owner saw a higher fence: no order goes out under this one again.
    bool refused = false;
    std::string handover;
    std::optional<OrderNumber> open_order;
  };

  void FollowRanges(Instant now);
  /// What is known of the range that held `key` under the same fence, null when there was none.
  const RangeCare* CareBefore(const RangeKey& key, traffic::Fence fence) const;
  RangeCare* CareOf(const OpenOrder& open);
  /// Whether nobody but a new owner can act for the range's keys any more.
  bool OwnerIsOver(const traffic::KeyRange& range, const RangeCare& care, Instant now) const;
  Instant GrantEndOf(const traffic::KeyRange& range) const;
  void NoteGrant(const traffic::InstanceId& instance, const ServiceName& service,
                 const traffic::KeySpan& span, Instant end);
  Instant EndOfGrantReceivedBy(Instant received) const;
  bool OwnerMustGo(const traffic::KeyRange& range) const;

  void DecideConfirmations(std::vector<CommandBody>& commands) const;
  void DecideReleases(Instant now, std::vector<CommandBody>& commands);
  void DecideAssignments(Instant now, std::vector<CommandBody>& commands);
  /// Whether registrations have settled enough to give out a service's keys for the first time.
  bool Settled(const ServiceName& service, const std::vector<RangeCandidate>& candidates,
               Instant now);
  std::vector<traffic::RangeAssignment> NextOwners(
      const traffic::KeyRange& range, const RangeCare& care,
      const traffic::KeyRangeTable::Ranges& ranges,
      const std::vector<RangeCandidate>& candidates) const;

  /// Instances that may be given keys.
  std::vector<RangeCandidate> CandidatesFor(const ServiceName& service, Instant now) const;
  /// Whether an instance answers neither orders nor sends heartbeats.
  bool Unresponsive(const traffic::InstanceId& instance, Instant now) const;
  std::optional<RangeOrder> NextOrder(const traffic::KeyRange& range, RangeCare& care, Instant now);

  const RangeOptions options_;
  const traffic::TrafficState& state_;
  const InstanceLiveness& liveness_;
  RangeBalancer balancer_;
  InstanceSpeeds speeds_;
  std::map<RangeKey, RangeCare> care_;
  std::map<traffic::InstanceId, std::vector<GrantEnd>> grant_ends_;
  std::map<OrderNumber, OpenOrder> open_;
  /// Since when an instance left orders unanswered; not there when it answered the last one.
  std::map<traffic::InstanceId, Instant> failing_since_;
  OrderNumber last_number_;
  /// When the number of a service's candidates last changed while all its keys are unowned.
  struct Settling {
    std::size_t candidates = 0;
    Instant since;
  };
  std::map<ServiceName, Settling> settling_;
  std::uint64_t followed_version_ = 0;
  std::uint64_t decided_version_ = 0;  ///< Of the state at the last full Decide().
  std::uint64_t ordered_version_ = 0;  ///< The same of Orders().
  Instant decide_due_{};
  Instant orders_due_{};
};

}  // namespace graniteseam::control
