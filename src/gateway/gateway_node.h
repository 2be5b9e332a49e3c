/// @file
/// The gateway's decision logic: which server gets a request, what is retried, what is refused.
#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "graniteseam/traffic/update.h"
#include "src/coordination/coordinator_selector.h"
#include "src/coordination/slot_client.h"
#include "src/coordination/slot_coordinator.h"
#include "src/gateway/backend_table.h"
#include "src/gateway/caller_age.h"
#include "src/gateway/configuration_lag.h"
#include "src/gateway/crash_watch.h"
#include "src/gateway/feed_watch.h"
#include "src/gateway/forward_share.h"
#include "src/gateway/gateway_events.h"
#include "src/gateway/hot_key_gate.h"
#include "src/gateway/key_loads.h"
#include "src/gateway/limit_queue.h"
#include "src/gateway/live_requests.h"
#include "src/gateway/peer_selector.h"
#include "src/gateway/probe_policy.h"
#include "src/gateway/quota_gate.h"
#include "src/gateway/server_reachability.h"
#include "src/gateway/shared_retry_budget.h"
#include "src/gateway/token_queue.h"
#include "src/gateway/traffic_view.h"

namespace graniteseam::gateway {

/// Settings of a GatewayNode.
struct GatewayOptions {
  RouterId id;
  BackendOptions backends;
  RetryBudgetLimits budget;
  ProbeOptions probes;
  /// Assumed number of gateways that share the retry budget until control reports it.
  std::uint32_t gateways_assumed = 64;
  /// Subtracted from the caller's time, so that an answer still reaches it.
  Duration answer_margin{10'000};
  std::size_t waiting_maximum = 256;  ///< Maximum of waiting requests for one service.
  /// The address at which other gateways reach this one for coordinated admission, "ip:port"; empty
  /// when it takes no part.
  std::string coordination_address;
  double machine_weight = 1;  ///< The machine's processor share, relative to other gateways.
  /// The address at which it takes requests that other gateways forward, "ip:port"; empty when it
  /// takes none.
  std::string caller_address;
  /// When this process started. What it did in an earlier life is unknown here.
  Instant started_at{};
};

/// The planned end of a gateway's process.
struct PlannedStop {
  /// From here on, no request begins that may last beyond the end.
  Instant begin_only_what_ends;
  Instant ends;  ///< What has no answer by then is broken off.
};

/// Decides about requests; performs no input or output itself.
///
/// Invariants: a request of an unsafe route is retried only if the server reported that it did not
/// run it, or if no byte of it was sent. Status 503 is given only to a request that has not run and
/// never will (see AttemptRecord). The traffic state never returns to an older version.
///
/// Deterministic under its seed: the daemon drives it with sockets, tests drive it in virtual time.
/// Not thread safe; `now` must not decrease.
class GatewayNode {
 public:
  GatewayNode(GatewayOptions options, std::uint64_t seed);

  /// Handles an update of the traffic state from the feed, or a leader's answer to a poll.
  GatewayEffects OnUpdate(const traffic::TrafficUpdate& update, Instant now);
  /// Handles the answer of a control process that does not lead.
  GatewayEffects OnFollowerReport(const FollowerReport& report, Instant now);
  /// Handles what control aggregated over all gateways: server hints, hot keys and rate limits.
  GatewayEffects OnHints(const traffic::TrafficHints& hints, Instant now);
  /// Handles a leader's answer to a token request.
  GatewayEffects OnTokens(const traffic::TokenAnswer& answer, Instant now);
  /// Handles messages of coordinated admission.
  /// @param from where answers are to be sent.
  GatewayEffects OnSlotBatch(std::string_view from, const coordination::SlotBatch& batch,
                             Instant now);
  /// Handles a caller's request that was read completely.
  GatewayEffects OnRequest(const ArrivedRequest& request, Instant now);
  /// Handles the end of an attempt; ignored for an attempt that is no longer in flight.
  GatewayEffects OnAttemptEnd(const AttemptReport& report, Instant now);
  /// Handles the end of a trial connection to a server.
  GatewayEffects OnConnectionTried(const ConnectionTrial& trial, Instant now);
  /// Records how late this process handles its events. Called before the events that it concerns.
  void OnLoopDelay(const LoopDelay& delay, Instant now);
  /// Handles the end of a probe.
  GatewayEffects OnProbeEnd(const ProbeReport& report, Instant now);
  /// Drops a request whose caller closed its connection.
  GatewayEffects OnCallerGone(RequestNumber request, Instant now);
  /// Refuses requests from now on that the end of the process would break off.
  void BeginStop(PlannedStop stop) { stop_ = stop; }
  /// Answers all requests, since the process ends.
  GatewayEffects EndAll(Instant now);
  /// Handles the end of the connection to the control process that feeds the state.
  void OnFeedLost(Instant now) { abandon_feed(feed_, now); }
  /// Handles all timers that are due.
  GatewayEffects Tick(Instant now);
  /// When to call Tick() next; Instant::max() when no timer is set.
  Instant NextTick() const;

  /// Whether each request has a timer: no request waits for an event that may never come. True
  /// between any two events.
  bool EachRequestHasTimer() const { return !requests_.has_untimed(); }

  /// The next poll to control, including the loads counted since the last call.
  traffic::TrafficPoll TakePoll(Instant now);

  /// Whether a poll should be sent at once: a key got many requests since the last poll, or the
  /// back pressure of a server changed.
  bool PollIsUrgent() const {
    return key_loads_.is_urgent() || traffic_.backends().pressure().has_unreported_changes();
  }

  /// Whether the active configuration has not been reported by a poll yet. The operator's
  /// acknowledgement of that configuration waits for the report.
  bool HasUnreportedConfiguration() const { return reported_configuration_ != configuration(); }

  /// The control process that feeds the state, "ip:port": as the leader named it, or a follower
  /// that has newer state while neither leader nor feed delivers. Empty before the first.
  const std::string& feed() const { return feed_.address; }

  /// Whether a request may run in parallel with others that its caller pipelined: it has a safe
  /// method, and its route's requests may be repeated.
  bool MayRunBeside(std::string_view host, std::string_view path, std::string_view method) const;

  /// Whether this gateway is partitioned from the servers.
  bool is_partitioned() const { return reachability_.is_partitioned(); }

  /// Whether a configuration was ever received.
  bool Ready() const { return traffic_.is_ready(); }
  const traffic::CallerLimits& limits() const { return traffic_.limits(); }
  /// Requests of all gateways that wait for servers which this gateway coordinates.
  std::size_t coordinated_queue() const { return coordinator_.queued(); }
  traffic::ConfigurationVersion configuration() const { return traffic_.configuration(); }
  std::uint64_t version() const { return traffic_.version(); }
  std::size_t requests() const { return requests_.size(); }
  /// The number of instances known here to have a rate limit.
  std::size_t limited_instances() const { return traffic_.backends().pressure().limited(); }
  /// The retry budget of each service that had a request.
  const std::map<ServiceName, SharedRetryBudget>& retry_budgets() const { return budgets_; }
  /// The number of gateways by which the retry budgets are divided.
  std::uint32_t gateway_count() const { return traffic_.gateway_count(); }
  /// The newest instant as of which the configuration here is known to include all accepted
  /// changes: the sending time of the newest poll that a leader answered with the same
  /// configuration. The clock's start before the first. Pushed updates confirm nothing: they may
  /// come from a member that is cut off from the leader.
  Instant confirmed_at() const { return confirmed_at_; }

 private:
  enum class Step { kSent, kWaits };

  // gateway_node.cc
  /// Applies what a newer state of traffic means for requests.
  void ApplyState(const traffic::TrafficUpdate& update, Instant now);
  /// Updates confirmed_at() and this gateway's place by a leader's answer to the newest poll.
  void NoteConfirmation(const traffic::TrafficUpdate& update, Instant now);
  /// How long ago the poll with this sequence was created; Duration::max() for one of long ago.
  Duration PollAge(std::uint64_t sequence, Instant now) const;
  /// Records what the end of an attempt tells of its server, if it tells anything.
  void NoteAttemptEnd(const OpenAttempt& attempt, const AttemptReport& report, Instant now);
  void Admit(LiveRequest& request, Instant now);
  /// Whether the end of the process may break the request off, and it came too late for that.
  bool OutlastsStop(const LiveRequest& request, Instant now) const;
  /// Copies the route's settings to the request.
  void ApplyRoute(LiveRequest& request, const traffic::Route& route, const ServiceName& service);
  /// Finds the tenant of the presented API key.
  /// @return the reason to refuse the request; nullopt when it may continue.
  std::optional<RefusalReason> ResolveTenant(LiveRequest& request, const traffic::Route& route,
                                             Instant now);
  /// Admits a request under its tenant's quota, queues it for a token, or refuses it.
  /// @return whether it was admitted.
  bool ChargeQuota(LiveRequest& request, Instant now);
  /// Admits a request that waited for its tenant's quota.
  void AdmitWithToken(LiveRequest& request, Instant now);
  /// Ends the wait of a request for which no token arrived in time.
  void EndTokenWait(LiveRequest& request, Instant now);
  void RefuseByQuota(LiveRequest& request, Instant now);
  /// Requests tokens from the leader for all waiting requests, unless a token request is open.
  void AskForTokens(Instant now);
  /// Queues an admitted request for its service and tries to send it.
  void Offer(LiveRequest& request, Instant now);
  /// Whether a leader recently confirmed that the configuration here is current.
  bool IsConfirmed(Instant now) const;
  /// Whether the request's key is not hot, or the hot key gate admits the request.
  bool PassesHotKeyGate(LiveRequest& request, Instant now);
  /// Refuses waiting requests for a hot key that the hot key gate does not admit.
  void RefuseExcess(const traffic::HotKey& hot, Instant now);
  /// Refuses waiting requests that control has quarantined.
  void RefuseQuarantined(Instant now);
  void AwaitConfiguration(LiveRequest& request, Instant now);
  void AdmitUnrouted(Instant now);
  SharedRetryBudget& BudgetOf(const ServiceName& service);
  /// Decides whether a request is retried, as retry_block_reason() does.
  std::optional<RefusalReason> RetryBlockReason(LiveRequest& request, AttemptEnd end, Instant now);
  /// Logs that a service's retry budget is exhausted, or available again.
  void NoteRetryBudget(const ServiceName& service, Instant now);
  /// Charges the retry budget if the attempt that ends or is abandoned was a retry.
  void SpendRetry(LiveRequest& request, Instant now);
  void Note(RequestNumber request, std::string_view what, const traffic::InstanceId& instance,
            std::string inputs);
  /// ", loop delay 12 ms" for the log of decisions that rest on a timer.
  std::string DescribeDelay() const;
  /// Why an attempt failed, with the delay when it may be the cause; empty for an answer.
  std::string DescribeCause(const AttemptReport& report) const;
  /// Sends the requests covered by new tokens of an owner's limit, and refuses the rest.
  void ApplyLimitTokens(const traffic::LimitTokenGrant& grant, Instant now);
  void NoteChanges(const BackPressureTable::Changes& changes);
  /// Instances that announced their shutdown and are not known to drain. Told with each poll until
  /// they are, so that a new leader hears of them too.
  std::vector<traffic::InstanceId> LeavingUnknownToControl() const;
  /// Applies a change of the list of gateways that coordinate admission.
  /// @return the gateways that are no longer listed.
  std::vector<RouterId> ApplyPeers(const traffic::PeerUpdate& update);
  void NoteBackPressure(const traffic::InstanceId& instance, const AttemptReport& report,
                        Instant now);
  /// Sends the messages of coordinated admission that are due and returns the effects of the event.
  GatewayEffects Finish(Instant now);
  /// Ends the requests that the event left without a timer.
  void EndUntimed(Instant now);

  // request_sending.cc
  void ServeWaiting(const ServiceName& service, Instant now);
  void ServeAllWaiting(Instant now);
  /// Makes all requests behind `place` wait for the same reason. Each still needs its own timer.
  void HoldBehind(const WaitingPlace& place, const std::vector<WaitingPlace>& places, Instant now);
  Step TryNext(LiveRequest& request, Instant now);
  Step TryOwner(LiveRequest& request, Instant now);
  Step TryPool(LiveRequest& request, Instant now);
  /// Probes a few servers for their load before the request is sent to one of them.
  /// @return whether any probe was sent.
  bool BeginProbes(LiveRequest& request, Instant now);
  /// Probes a key's owner, which may warm up without this gateway's knowledge; the request waits.
  Step ProbeOwner(LiveRequest& request, const Backend& owner, Instant now);
  /// Starts a round of probes, for whose answers the request waits.
  void Probe(LiveRequest& request, const BackendTable::Backends& servers, Instant now);
  /// Sends the request to the best of the probed servers.
  /// @return whether it was sent; false when none of them answered and has room, or the chosen one
  /// accepts none from this gateway now.
  bool SendToProbed(LiveRequest& request, Instant now);
  /// Sends a request to the chosen server, or makes it wait while the server accepts none from this
  /// gateway. All requests to servers are sent through this function.
  Step Send(LiveRequest& request, const Backend& backend, Instant now);
  void BeginAttempt(LiveRequest& request, const Backend& backend, Instant now);

  // forwarding.cc
  /// Whether control lists any other gateway.
  bool KnowsPeers() const;
  /// Begins a round of trial connections when one is due.
  void CheckReachability(Instant now);
  /// Queues requests again that wait for servers which this gateway does not reach any more, as far
  /// as they may be repeated.
  void AbandonHanging(Instant now);
  /// Whether another gateway has routed requests of this one by a newer configuration: going back
  /// to an older one is not allowed.
  bool IsBehindPeers() const { return configuration() < peers_configuration_; }
  /// Forwards a request to another gateway if it must not go to a server from here.
  /// @return whether it was forwarded; false also when no other gateway takes it.
  bool Forward(LiveRequest& request, Instant now);
  void ForwardTo(LiveRequest& request, const traffic::GatewayPeer& peer, Instant now);
  void HandleForwardEnd(LiveRequest& request, const AttemptReport& report, Instant now);

  // slot_requests.cc
  /// Whether a service's requests are coordinated, by its configuration and this gateway's
  /// settings.
  bool IsCoordinatedService(const ServiceName& service) const;
  /// Whether requests to an owner of keys need a slot from its coordinator.
  bool IsCoordinated(const LiveRequest& request, const Backend& owner, Instant now) const;
  /// Asks the owner's coordinator for a slot, or waits for one that was asked for.
  /// @return nullopt when the request is to be sent without a slot.
  std::optional<Step> TrySlot(LiveRequest& request, const Backend& owner, Instant now);
  Step AskForSlot(LiveRequest& request, const Backend& owner,
                  const traffic::GatewayPeer& coordinator, Instant now);
  /// Returns the request's slot, or withdraws its slot request.
  void EndSlot(LiveRequest& request, const coordination::SlotRelease& release);
  void WithdrawSlot(LiveRequest& request) { EndSlot(request, {}); }
  void ReleaseSlot(LiveRequest& request, const AttemptReport& report, Duration taken);
  /// Exchanges what this gateway has to say to itself, and sends the rest.
  void SendSlotMessages(Instant now);
  void DeliverSlots(std::vector<coordination::SlotSend> sends, Instant now);
  void ApplySlotResults(const std::vector<coordination::SlotResult>& results, Instant now);
  void ApplySlotResult(const coordination::SlotResult& result, Instant now);
  /// Waits for the end of the back-off of the only server that can run the request, if it ends
  /// within the request's hold time.
  Step WaitForBackOff(LiveRequest& request, const Backend& owner, Instant now);
  /// Whether the back-off of the key's owner lasts longer than the request may be held.
  bool BacksOffPastHold(const LiveRequest& request, const traffic::InstanceId& owner) const;
  /// Waits for a token from the leader under the owner's rate limit.
  /// @return kSent when the request may be sent on one of this gateway's own tokens.
  Step WaitForToken(LiveRequest& request, const Backend& owner, Instant now);
  /// Keeps the request queued until `limit` after `hold_from`. A request whose wait is over gets no
  /// timer; the caller then ends it.
  Step Wait(LiveRequest& request, RefusalReason reason, Duration limit, Instant now);
  /// Waits for the only server that can run the request, for a part of its caller's time.
  Step WaitForOwner(LiveRequest& request, RefusalReason reason, Instant now);

  // request_ending.cc
  void HandleAttemptEnd(LiveRequest& request, const AttemptReport& report, Instant now);
  /// Records whether the attempt was lost or answered, for crash tracking.
  void RecordForCrashTracking(const LiveRequest& request, const AttemptReport& report,
                              const OpenAttempt& ended, Instant now);
  void RetryOrEnd(LiveRequest& request, const AttemptReport& report, Instant now);
  /// Queues a request again for another attempt.
  void Requeue(LiveRequest& request, Instant now);
  void Relay(LiveRequest& request);
  void GiveUp(LiveRequest& request, Instant now);
  /// Why a request that did not run by its deadline is refused.
  RefusalReason ReasonAtDeadline(const LiveRequest& request) const;
  /// Refuses the request for the reason; one that may have run is told that its outcome is unknown.
  void End(LiveRequest& request, RefusalReason reason, Instant now);
  void Remove(LiveRequest& request);
  /// Adds what the log tells of a request that ends to the effects.
  void Summarise(const LiveRequest& request);

  const GatewayOptions options_;
  TrafficView traffic_;
  LiveRequests requests_;
  std::map<ServiceName, SharedRetryBudget> budgets_;
  KeyLoads key_loads_;
  HotKeyGate hot_keys_;
  CrashWatch crashes_;
  ProbePolicy probes_;
  FeedWatch feed_;
  ConfigurationLag configuration_lag_;
  QuotaGate quotas_;
  TokenQueue token_queue_;
  LimitQueue limit_queue_;
  CallerAge caller_ages_;
  ServerReachability reachability_;
  PeerSelector peers_;
  ForwardShare forward_share_;
  /// The newest configuration by which another gateway may have routed a request of this one.
  traffic::ConfigurationVersion peers_configuration_;
  coordination::CoordinatorSelector coordinators_;
  coordination::SlotClient slots_;
  coordination::SlotCoordinator coordinator_;
  std::map<std::uint64_t, RequestNumber> slot_requests_;  ///< By number of the slot request.
  std::uint64_t poll_sequence_ = 0;
  /// The active configuration at the newest poll.
  traffic::ConfigurationVersion reported_configuration_;
  Instant polled_at_{};             ///< When the newest poll was created.
  std::deque<Instant> poll_times_;  ///< Of the newest polls; the last one is polled_at_.
  Instant confirmed_at_{};
  LoopDelay loop_delay_;
  std::optional<PlannedStop> stop_;
  GatewayEffects effects_;
};

}  // namespace graniteseam::gateway
