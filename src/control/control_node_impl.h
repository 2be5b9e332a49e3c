/// @file
/// The insides of ControlNode: joins consensus, replicated state and the leader's duties.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "graniteseam/control/control_node.h"
#include "src/control/deferred_requests.h"
#include "src/control/feed_selector.h"
#include "src/control/heartbeat_relayer.h"
#include "src/control/operator_requests.h"
#include "src/control/ownership_controller.h"
#include "src/control/pending_requests.h"
#include "src/control/replicated_state.h"
#include "src/control/router_sessions.h"
#include "src/control/state_feed.h"
#include "src/control/traffic_leader.h"

namespace graniteseam::control {

/// Each entry point collects effects in `effects_` and hands them out with Finish(). The leader's
/// duties run at the end of each entry point, and only while Leading().
class ControlNode::Impl {
 public:
  Impl(ControlOptions options, consensus::RecoveredState recovered, std::uint64_t seed,
       Instant now);

  ControlEffects Tick(Instant now, std::int64_t wall_ms);
  Instant NextTick() const;
  ControlEffects OnPeerMessage(const consensus::PeerMessage& message, Instant now);
  ControlEffects OnPersistDone(std::uint64_t sequence, Instant now);
  ControlEffects OnServerAnswer(const lease::LeaseAnswer& answer, Instant now);
  ControlEffects OnRouterMessage(ConnectionId connection, const RouterToControl& message,
                                 Instant now, std::int64_t wall_ms);
  ControlEffects OnRouterDisconnected(ConnectionId connection, Instant now);
  ControlEffects OnOperatorRequest(RequestId request, const OperatorRequest& command, Instant now);
  ControlEffects OnPlatformList(const PlatformList& list, Instant now);
  ControlEffects OnRangeOrderResult(const RangeOrderResult& result, Instant now);
  ControlEffects OnPushSent(std::uint64_t push, Instant now);
  ControlEffects OnFeedPushSent(std::uint64_t push, Instant now);
  ControlEffects PrepareStop(Instant now);

  const consensus::RaftConsensus& consensus() const { return consensus_; }
  bool Leading(Instant now) const;
  FleetView Fleet(Instant now) const;
  std::uint64_t decision_evaluations() const;

 private:
  /// Everything that is known only to an established leader in one term.
  struct Leadership {
    Leadership(const ControlOptions& options, const ReplicatedState& state, Term in_term,
               std::uint64_t numbers_used, OrderNumber orders_used, std::uint64_t pushes_used,
               Instant now);

    Term term;
    OwnershipController ownership;
    RouterSessions routers;
    TrafficLeader traffic;
  };

  // Consensus.
  void HandleConsensusEffects(consensus::Effects effects, Instant now);
  void MergePersist(consensus::PersistRequest persist);
  void RestoreState(const consensus::Snapshot& snapshot);
  void ApplyEntry(const consensus::LogEntry& entry, Instant now);
  void AnswerWaiter(const consensus::LogEntry& entry, const ApplyOutcome& outcome, Instant now);
  std::optional<LogIndex> Propose(const std::vector<CommandBody>& commands, Instant now);
  void CompactIfDue(Instant now);

  // Leadership.
  void UpdateRole(Instant now);
  void EndLeadership();
  void RunLeaderDuties(Instant now);
  /// Proposes what one part of the leadership decided, all of it at once.
  template <class Decider>
  void ProposeDecisions(Decider& decider, Instant now);
  void SendTrafficOrders(Instant now);
  void RepairMembership(Instant now);
  /// Tells operators of the changes of the configuration that routers have.
  void AcknowledgeChanges(Instant now);
  ControlEffects Finish(Instant now);
  /// Whether it leads but for its lease, which may come back with any message of a peer.
  bool AwaitsLease(Instant now) const { return leadership_ && !stopping_ && !Leading(now); }
  /// Takes what was asked meanwhile, once the lease is back.
  void ProcessDeferred(Instant now);

  // Requests.
  void TakeRequest(RequestId request, const OperatorRequest& command, Instant now);
  void TakePoll(ConnectionId connection, const TrafficPoll& poll, Instant now);
  void OnRenewal(ConnectionId connection, const RouterRenewal& renewal, Instant now);
  void OnTrafficPoll(ConnectionId connection, const TrafficPoll& poll, Instant now);
  void OnTokenRequest(ConnectionId connection, const TokenRequest& request, Instant now);
  void OnFeedRequest(ConnectionId connection, const FeedRequest& request);
  /// Brings the state to the routers that take it from here.
  void PushFeed(Instant now);
  /// Where a router is to take the state from.
  std::string FeedFor(const TrafficPoll& poll, Instant now);
  /// Takes a heartbeat in place of the leader.
  /// @return false when only the leader may answer it.
  bool RelayHeartbeat(RequestId request, const ReportInstance& heartbeat, Instant now);
  /// Answers relayed heartbeats whose time has come, and tells the leader of those that wait.
  void ProcessRelay(Instant now);
  bool FollowsLeader() const;
  void TakeRelay(const consensus::PeerMessage& message, Instant now);
  void TakeRelayedChanges(const std::string& changes, Instant now);
  void OnHeartbeat(RequestId request, const ReportInstance& heartbeat, Instant now);
  /// Acknowledges a heartbeat, with leases where its instance gets its keys so.
  void ReplyToHeartbeat(RequestId request, const ReportInstance& heartbeat, LogIndex index,
                        Instant now);
  void OnJournal(ConnectionId connection, const JournalRequest& request, Instant now,
                 std::int64_t wall_ms);
  void RunStep(RequestId request, OperatorStep step, Instant now);
  void Reply(RequestId request, OperatorAnswer answer);
  void SendToRouter(ConnectionId connection, ControlToRouter message);
  void SendNotLeader(ConnectionId connection, std::uint64_t sequence);
  OperatorStep Plan(const OperatorRequest& command, Instant now) const;
  BundlesView Bundles(Instant now) const;
  Error NotLeaderError() const;
  std::string LeaderAddress() const;

  ControlOptions options_;
  consensus::RaftConsensus consensus_;
  ReplicatedState state_;
  std::optional<Leadership> leadership_;
  PendingRequests pending_;
  DeferredRequests deferred_;
  PlatformList platform_list_;
  ControlEffects effects_;
  LogIndex compacted_index_;
  Term numbers_term_;                      ///< Term in which `numbers_used_` counts.
  std::uint64_t numbers_used_ = 0;         ///< Of earlier lease tables of that term.
  OrderNumber orders_used_;                ///< By earlier leaderships of this process.
  std::uint64_t pushes_used_ = 0;          ///< By earlier leaderships of this process.
  std::uint64_t earlier_evaluations_ = 0;  ///< Of decisions of earlier leaderships.
  Instant journal_expiry_due_{};
  Instant membership_check_due_{};
  HeartbeatRelayer relayer_{state_.traffic()};
  StateFeed feed_;
  FeedSelector feed_selector_;
  Instant leader_known_at_{};  ///< When this process last knew another one that leads.
  Instant last_entry_at_{};    ///< Of the latest entry point.
  bool stopping_ = false;
};

}  // namespace graniteseam::control
