/// @file
/// The control process's decision maker: consensus, replicated state, leases, placement, admission
/// and journal behind one deterministic entry. The daemon and the simulator drive the same class.
#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "graniteseam/consensus/raft_consensus.h"
#include "graniteseam/control/operator_messages.h"
#include "graniteseam/control/range_orders.h"
#include "graniteseam/control/rollout_note.h"
#include "graniteseam/control/router_messages.h"
#include "graniteseam/control/traffic_options.h"
#include "graniteseam/lease/grant.h"

namespace graniteseam::control {

/// Tunables of a control process; see docs/operations/settings.md.
struct ControlOptions {
  consensus::ConsensusOptions consensus;
  Duration router_lease{1'000'000};
  double clock_drift_bound = 0.001;  ///< Rate by which two machines' clocks may differ.
  std::size_t compact_after_entries = 10'000;
  TrafficOptions traffic;
  MembershipRepairOptions membership;
  std::map<std::string, std::string> reviewer_keys;  ///< Reviewer -> Ed25519 public key, base64.
};

/// Names one router's connection or one operator's request at the driver.
using ConnectionId = std::uint64_t;
using RequestId = std::uint64_t;

struct LeaseSend {
  std::string address;  ///< The server's HTTP "ip:port".
  lease::LeaseRequest request;
};
/// One message may go to many routers: it is shared, so that it is kept and encoded once.
struct RouterSend {
  ConnectionId connection = 0;
  std::shared_ptr<const ControlToRouter> message;
};
struct OperatorReply {
  RequestId request = 0;
  OperatorAnswer answer;
};

/// What the driver must do: persist first, then everything else in any order. Effects that depend
/// on durability are only returned by the later call that makes them due.
struct ControlEffects {
  consensus::PersistRequest persist;
  std::vector<consensus::PeerMessage> peer_messages;
  std::vector<LeaseSend> lease_sends;
  std::vector<RouterSend> router_sends;
  /// Names the changes among them that go to many routers: with
  /// TrafficOptions::reports_push_completion the driver tells by OnPushSent() when they have left.
  std::optional<std::uint64_t> push;
  /// The same of changes that go to the routers which take the state from this process.
  std::optional<std::uint64_t> feed_push;
  std::vector<OperatorReply> operator_replies;
  std::vector<RangeOrder> range_orders;    ///< To instances that own keys.
  std::vector<RangeNote> range_notes;      ///< For the event log.
  std::vector<SuspectNote> suspect_notes;  ///< The same.
  std::vector<RolloutNote> rollout_notes;  ///< The same.
  std::vector<Error> faults;  ///< What others sent and could not be taken, for the log.
};

/// One control process without its I/O. Not thread safe; `now` never goes back.
class ControlNode {
 public:
  ControlNode(ControlOptions options, consensus::RecoveredState recovered, std::uint64_t seed,
              Instant now);
  ~ControlNode();

  ControlEffects Tick(Instant now, std::int64_t wall_ms);
  Instant NextTick() const;
  ControlEffects OnPeerMessage(const consensus::PeerMessage& message, Instant now);
  ControlEffects OnPersistDone(std::uint64_t sequence, Instant now);
  ControlEffects OnServerAnswer(const lease::LeaseAnswer& answer, Instant now);
  ControlEffects OnRouterMessage(ConnectionId connection, const RouterToControl& message,
                                 Instant now, std::int64_t wall_ms);
  ControlEffects OnRouterDisconnected(ConnectionId connection, Instant now);
  ControlEffects OnOperatorRequest(RequestId request, const OperatorRequest& command, Instant now,
                                   std::int64_t wall_ms);
  ControlEffects OnPlatformList(const PlatformList& list, Instant now);
  ControlEffects OnRangeOrderResult(const RangeOrderResult& result, Instant now);
  /// All that effects with this `push` sent to routers has left the process.
  ControlEffects OnPushSent(std::uint64_t push, Instant now);
  /// The same of a `feed_push`.
  ControlEffects OnFeedPushSent(std::uint64_t push, Instant now);
  /// Hands leadership over for a planned stop.
  ControlEffects PrepareStop(Instant now);

  const consensus::RaftConsensus& consensus() const;
  /// Whether this process leads, holds its leader lease and has applied its own term's no-op.
  bool Leading(Instant now) const;
  FleetView Fleet(Instant now) const;
  /// Ranges and instances that decisions looked at since the start, each as often as it was: what
  /// deciding costs, for metrics and for cost models.
  std::uint64_t decision_evaluations() const;

 private:
  class Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace graniteseam::control
