/// @file
/// The implementation of ControlNode: connects consensus, replicated state and the leader's duties.
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

/// Each entry point collects effects in `effects_` and returns them with Finish(). The leader's
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

  void SetSeeds(std::vector<consensus::Member> seeds) { consensus_.SetSeeds(std::move(seeds)); }
  bool ReadyToStop(Instant now) const;
  const consensus::RaftConsensus& consensus() const { return consensus_; }
  bool Leading(Instant now) const;
  FleetView Fleet(Instant now) const;
  std::uint64_t decision_evaluations() const;

 private:
  /// State that only an established leader has, for one term.
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
  /// Collects the effects of a consensus call, applies committed entries and updates the role.
  void HandleConsensusEffects(consensus::Effects effects, Instant now);
  void MergePersist(consensus::PersistRequest persist);
  void RestoreState(const consensus::Snapshot& snapshot);
  void ApplyEntry(const consensus::LogEntry& entry, Instant now);
  /// Answers the request, if any, that waits for this entry.
  void AnswerWaiter(const consensus::LogEntry& entry, const ApplyOutcome& outcome, Instant now);
  /// @return the index of the first entry; nullopt when consensus refused the proposal.
  std::optional<LogIndex> Propose(const std::vector<CommandBody>& commands, Instant now);
  void CompactIfDue(Instant now);

  // Leadership.
  /// Creates or ends the leadership according to the consensus role and the leader lease.
  void UpdateRole(Instant now);
  void EndLeadership();
  void RunLeaderDuties(Instant now);
  /// Proposes all decisions of one part of the leadership in one batch.
  template <class Decider>
  void ProposeDecisions(Decider& decider, Instant now);
  void SendTrafficOrders(Instant now);
  void RepairMembership(Instant now);
  /// Whether this voter, which stops, may still be replaced by a learner.
  bool MayBeReplaced(Instant now) const;
  /// Records a committed change of the membership.
  void NoteMembership(const consensus::LogEntry& entry);
  /// Sends the due acknowledgements of configuration changes to operators.
  void AcknowledgeChanges(Instant now);
  /// Runs the work that follows every entry point and returns the collected effects.
  ControlEffects Finish(Instant now);
  /// Whether this process leads without a valid leader lease, which any peer message may renew.
  bool AwaitsLease(Instant now) const { return leadership_ && !stopping_ && !Leading(now); }
  /// Processes the deferred requests once the leader lease is valid again.
  void ProcessDeferred(Instant now);

  // Requests.
  void TakeRequest(RequestId request, const OperatorRequest& command, Instant now);
  void TakePoll(ConnectionId connection, const TrafficPoll& poll, Instant now);
  void OnRenewal(ConnectionId connection, const RouterRenewal& renewal, Instant now);
  void OnTrafficPoll(ConnectionId connection, const TrafficPoll& poll, Instant now);
  void OnTokenRequest(ConnectionId connection, const TokenRequest& request, Instant now);
  void OnFeedRequest(ConnectionId connection, const FeedRequest& request);
  /// Sends state changes to the routers subscribed to this process's feed.
  void PushFeed(Instant now);
  /// The address of the member whose feed a router should use.
  std::string FeedFor(const TrafficPoll& poll, Instant now);
  /// Handles a heartbeat on behalf of the leader.
  /// @return false when only the leader may answer it.
  bool RelayHeartbeat(RequestId request, const ReportInstance& heartbeat, Instant now);
  /// Answers relayed heartbeats that are complete or expired, and forwards the pending ones to the
  /// leader.
  void ProcessRelay(Instant now);
  /// Whether another process is known to lead.
  bool FollowsLeader() const;
  void TakeRelay(const consensus::PeerMessage& message, Instant now);
  void TakeRelayedChanges(const std::string& changes, Instant now);
  void OnHeartbeat(RequestId request, const ReportInstance& heartbeat, Instant now);
  /// Acknowledges a heartbeat; the answer contains leases if the instance's keys are leased by
  /// heartbeat.
  void ReplyToHeartbeat(RequestId request, const ReportInstance& heartbeat, LogIndex index,
                        Instant now);
  void OnJournal(ConnectionId connection, const JournalRequest& request, Instant now,
                 std::int64_t wall_ms);
  void RunStep(RequestId request, OperatorStep step, Instant now);
  void Reply(RequestId request, OperatorAnswer answer);
  void SendToRouter(ConnectionId connection, ControlToRouter message);
  void SendNotLeader(ConnectionId connection, std::uint64_t sequence);
  /// Determines whether a request is answered directly, proposed as a command or applied as a
  /// membership change.
  OperatorStep Plan(const OperatorRequest& command, Instant now) const;
  BundlesView Bundles(Instant now) const;
  /// Refuses a configuration that is too large for this process's memory.
  OperatorStep PlanChange(const traffic::ConfigurationChange& change) const;
  Error BacklogError() const;
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
  /// Last log index that is covered by a snapshot.
  LogIndex compacted_index_;
  std::size_t bytes_since_snapshot_ = 0;   ///< Of the entries that were applied after it.
  Term numbers_term_;                      ///< The term that `numbers_used_` refers to.
  std::uint64_t numbers_used_ = 0;         ///< Numbers used by earlier lease tables of that term.
  OrderNumber orders_used_;                ///< By earlier leaderships of this process.
  std::uint64_t pushes_used_ = 0;          ///< By earlier leaderships of this process.
  std::uint64_t earlier_evaluations_ = 0;  ///< Evaluations of earlier leaderships of this process.
  Instant journal_expiry_due_{};
  Instant membership_check_due_{};
  consensus::Membership committed_membership_;
  HeartbeatRelayer relayer_{state_.traffic()};
  StateFeed feed_;
  FeedSelector feed_selector_;
  Instant leader_known_at_{};  ///< When this process last knew another process that leads.
  Instant last_entry_at_{};    ///< Time of the latest entry point.
  bool stopping_ = false;
  Instant stop_prepared_at_{};
};

}  // namespace graniteseam::control
