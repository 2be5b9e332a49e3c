/// @file
/// Deterministic state machine of a control process: combines consensus, replicated state, leases,
/// placement, admission and the operation journal. The daemon and the simulator drive the same
/// class.
#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "graniteseam/consensus/raft_consensus.h"
#include "graniteseam/control/membership_note.h"
#include "graniteseam/control/operator_messages.h"
#include "graniteseam/control/range_orders.h"
#include "graniteseam/control/rollout_note.h"
#include "graniteseam/control/router_messages.h"
#include "graniteseam/control/traffic_options.h"
#include "graniteseam/lease/grant.h"

namespace graniteseam::control {

/// Settings of a control process; see docs/operations/settings.md.
struct ControlOptions {
  consensus::ConsensusOptions consensus;
  /// Length of the lease that a router gets with each renewal.
  Duration router_lease{1'000'000};
  double clock_drift_bound = 0.001;  ///< Maximum relative rate difference between the clocks of two
                                     ///< machines.
  /// Number of applied log entries after which the log is compacted into a snapshot.
  std::size_t compact_after_entries = 10'000;
  /// Bytes of applied log entries after which it is compacted as well; the size of the latest
  /// snapshot when that is larger, so that snapshots are not written more than the log itself.
  std::size_t compact_after_bytes = 8UL << 20U;
  /// Bytes of log entries without a quorum beyond which operators' changes are refused.
  std::size_t uncommitted_bytes_maximum = 8UL << 20U;
  /// Bytes of the traffic configuration beyond which a change that makes it larger is refused.
  std::size_t configuration_bytes_maximum = 16UL << 20U;
  TrafficOptions traffic;
  MembershipRepairOptions membership;
  std::map<std::string, std::string> reviewer_keys;  ///< Reviewer -> Ed25519 public key, base64.
};

/// Identifies a router connection in the driver.
using ConnectionId = std::uint64_t;
/// Identifies an operator request in the driver.
using RequestId = std::uint64_t;

/// A lease request to be sent to a server.
struct LeaseSend {
  std::string address;  ///< The server's HTTP "ip:port".
  lease::LeaseRequest request;
};
/// A message to be sent to a router. Messages to many routers share one object, so that it is
/// stored and encoded once.
struct RouterSend {
  ConnectionId connection = 0;
  std::shared_ptr<const ControlToRouter> message;
};
/// The answer to a pending operator request.
struct OperatorReply {
  RequestId request = 0;
  OperatorAnswer answer;
};

/// Actions for the driver: persist first, then perform the others in any order. Effects that depend
/// on durability are returned only by the later call that reports it.
struct ControlEffects {
  consensus::PersistRequest persist;
  std::vector<consensus::PeerMessage> peer_messages;
  std::vector<LeaseSend> lease_sends;
  std::vector<RouterSend> router_sends;
  /// Identifies the state changes in `router_sends` that are broadcast to many routers. With
  /// TrafficOptions::reports_push_completion the driver calls OnPushSent() when they have been
  /// sent.
  std::optional<std::uint64_t> push;
  /// Identifies the changes broadcast to routers that subscribe to this process's state feed;
  /// completed with OnFeedPushSent().
  std::optional<std::uint64_t> feed_push;
  std::vector<OperatorReply> operator_replies;
  std::vector<RangeOrder> range_orders;          ///< For instances that own keys.
  std::vector<RangeNote> range_notes;            ///< For the event log.
  std::vector<SuspectNote> suspect_notes;        ///< For the event log.
  std::vector<RolloutNote> rollout_notes;        ///< For the event log.
  std::vector<MembershipNote> membership_notes;  ///< For the event log and the metrics.
  std::vector<Error> faults;  ///< Malformed or unusable peer messages, for the log.
};

/// One control process without its I/O. Not thread safe; `now` must not decrease between calls.
/// Each entry point returns the effects that it causes.
class ControlNode {
 public:
  /// @param recovered the durable consensus state read from storage.
  /// @param seed initialises the random election timeouts.
  ControlNode(ControlOptions options, consensus::RecoveredState recovered, std::uint64_t seed,
              Instant now);
  ~ControlNode();

  /// Runs timers and, on the leader, periodic work. Must be called at NextTick() or earlier.
  /// @param wall_ms milliseconds since 1970, used to expire journal entries.
  ControlEffects Tick(Instant now, std::int64_t wall_ms);
  /// The latest time of the next Tick() call.
  Instant NextTick() const;
  /// Processes a message of another member of the control group.
  ControlEffects OnPeerMessage(const consensus::PeerMessage& message, Instant now);
  /// Reports that the persist request with this sequence number, and all before it, are durable.
  ControlEffects OnPersistDone(std::uint64_t sequence, Instant now);
  /// Processes a server's answer to a lease request.
  ControlEffects OnServerAnswer(const lease::LeaseAnswer& answer, Instant now);
  /// Processes a router's message.
  ControlEffects OnRouterMessage(ConnectionId connection, const RouterToControl& message,
                                 Instant now, std::int64_t wall_ms);
  /// Discards all state and pending requests of a closed router connection.
  ControlEffects OnRouterDisconnected(ConnectionId connection, Instant now);
  /// Processes an operator request or an instance's heartbeat. The answer is returned as an
  /// OperatorReply by this call or a later one.
  ControlEffects OnOperatorRequest(RequestId request, const OperatorRequest& command, Instant now,
                                   std::int64_t wall_ms);
  /// Replaces the platform's list of machines.
  ControlEffects OnPlatformList(const PlatformList& list, Instant now);
  /// Processes the outcome of an order that was sent to an instance.
  ControlEffects OnRangeOrderResult(const RangeOrderResult& result, Instant now);
  /// Reports that all router messages of the broadcast `push` have been sent.
  ControlEffects OnPushSent(std::uint64_t push, Instant now);
  /// Reports that all router messages of the broadcast `feed_push` have been sent.
  ControlEffects OnFeedPushSent(std::uint64_t push, Instant now);
  /// Transfers leadership before a planned stop. The process takes no part in leading afterwards.
  ControlEffects PrepareStop(Instant now);

  /// Replaces the seeds to which this process announces itself while no leader knows it.
  void SetSeeds(std::vector<consensus::Member> seeds);
  /// After PrepareStop(): whether the group loses nothing by the end of this process that it could
  /// still be handed.
  bool ReadyToStop(Instant now) const;

  const consensus::RaftConsensus& consensus() const;
  /// Whether this process is the leader, holds its leader lease and has applied the no-op entry of
  /// its term.
  bool Leading(Instant now) const;
  /// The state of the fleet for operators, as far as this process has it: lease and router details
  /// are filled in on the leader only.
  FleetView Fleet(Instant now) const;
  /// Number of ranges and instances examined by decisions since the start, counted once per
  /// examination. Measures the cost of decisions, for metrics and cost models.
  std::uint64_t decision_evaluations() const;

 private:
  class Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace graniteseam::control
