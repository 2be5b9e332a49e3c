/// @file
/// The gateway's decision maker: which server gets a request, what is sent again, what is refused.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "graniteseam/traffic/update.h"
#include "src/gateway/backend_table.h"
#include "src/gateway/crash_watch.h"
#include "src/gateway/feed_watch.h"
#include "src/gateway/gateway_events.h"
#include "src/gateway/hot_key_gate.h"
#include "src/gateway/key_loads.h"
#include "src/gateway/limit_queue.h"
#include "src/gateway/live_requests.h"
#include "src/gateway/probe_policy.h"
#include "src/gateway/quota_gate.h"
#include "src/gateway/shared_retry_budget.h"
#include "src/gateway/token_queue.h"
#include "src/gateway/traffic_view.h"

namespace graniteseam::gateway {

struct GatewayOptions {
  RouterId id;
  BackendOptions backends;
  RetryBudgetLimits budget;
  ProbeOptions probes;
  /// Gateways that are taken to share the budget while control has not said how many.
  std::uint32_t gateways_assumed = 64;
  /// Taken off the caller's time, so that an answer still reaches it.
  Duration answer_margin{10'000};
  std::size_t waiting_maximum = 256;  ///< Requests held here for one service.
};

/// Invariants: a request of an unsafe route is sent again only when the server said that it did not
/// run it, or when no byte of it was sent; a refusal with 503 is given only to a request that has
/// not run and never will; the state of traffic never goes back to an older version.
///
/// Deterministic under its seed: the daemon drives it with sockets, tests in virtual time. Not
/// thread safe; `now` never goes back.
class GatewayNode {
 public:
  GatewayNode(GatewayOptions options, std::uint64_t seed);

  GatewayEffects OnUpdate(const traffic::TrafficUpdate& update, Instant now);
  GatewayEffects OnHints(const traffic::TrafficHints& hints, Instant now);
  GatewayEffects OnTokens(const traffic::TokenAnswer& answer, Instant now);
  GatewayEffects OnRequest(const ArrivedRequest& request, Instant now);
  GatewayEffects OnAttemptEnd(const AttemptReport& report, Instant now);
  GatewayEffects OnProbeEnd(const ProbeReport& report, Instant now);
  GatewayEffects OnCallerGone(RequestNumber request, Instant now);
  /// The connection to the control process that brings the state has ended.
  void OnFeedLost(Instant now) { abandon_feed(feed_, now); }
  GatewayEffects Tick(Instant now);
  Instant NextTick() const;

  /// What to ask control, with the loads counted since the last call.
  traffic::TrafficPoll TakePoll(Instant now);

  /// Whether some key got so much since the last poll, or a server stated something new, that
  /// control should know at once.
  bool PollIsUrgent() const {
    return key_loads_.is_urgent() || traffic_.backends().pressure().has_unreported_changes();
  }

  /// Whether a configuration is in force here that no poll has told of. Its operator's
  /// acknowledgement waits for that word.
  bool HasUnreportedConfiguration() const { return reported_configuration_ != configuration(); }

  /// The control process from which to take the state, "ip:port"; empty while none was named.
  const std::string& feed() const { return feed_.address; }

  /// Whether a configuration was ever received.
  bool Ready() const { return traffic_.is_ready(); }
  const traffic::CallerLimits& limits() const { return traffic_.limits(); }
  traffic::ConfigurationVersion configuration() const { return traffic_.configuration(); }
  std::uint64_t version() const { return traffic_.version(); }
  std::size_t requests() const { return requests_.size(); }
  /// Instances that name a limit at present, as far as is known here.
  std::size_t limited_instances() const { return traffic_.backends().pressure().limited(); }
  /// The newest instant as of which the configuration here is known to leave out no accepted
  /// change: when the poll was sent that a leader answered with the same one. The clock's start
  /// before there was one. What is pushed proves nothing: it may come from a member that is cut
  /// off.
  Instant confirmed_at() const { return confirmed_at_; }

 private:
  enum class Step { kSent, kWaits };

  // gateway_node.cc
  /// Notes what a leader's answer to the newest poll proves.
  void NoteConfirmation(const traffic::TrafficUpdate& update, Instant now);
  void Admit(LiveRequest& request, Instant now);
  /// Takes what the request's route says of it.
  void ApplyRoute(LiveRequest& request, const traffic::Route& route, const ServiceName& service);
  /// Takes whose key the request shows.
  /// @return why it is refused; nullopt when it may go on.
  std::optional<RefusalReason> ResolveTenant(LiveRequest& request, const traffic::Route& route,
                                             Instant now);
  /// Lets a request in by its tenant's quota, or has it wait for a token, or refuses it.
  /// @return whether it goes on.
  bool ChargeQuota(LiveRequest& request, Instant now);
  /// Lets in a request that waited for its quota.
  void AdmitWithToken(LiveRequest& request, Instant now);
  /// No token came in time.
  void EndTokenWait(LiveRequest& request, Instant now);
  void RefuseByQuota(LiveRequest& request, Instant now);
  /// Asks the leader for what waits, unless a question is open.
  void AskForTokens(Instant now);
  /// Offers a request that was let in to its service.
  void Offer(LiveRequest& request, Instant now);
  /// Whether what control accepted lately is known to be in force here.
  bool IsConfirmed(Instant now) const;
  /// Whether the owner of its key has a place for the request, as far as is known.
  bool PassesHotKeyGate(LiveRequest& request, Instant now);
  /// Refuses those that wait for a hot key and have no place.
  void RefuseExcess(const traffic::HotKey& hot, Instant now);
  /// Refuses those that wait and that control found to end their servers.
  void RefuseQuarantined(Instant now);
  void AwaitConfiguration(LiveRequest& request, Instant now);
  void AdmitUnrouted(Instant now);
  SharedRetryBudget& BudgetOf(const ServiceName& service);
  void Note(RequestNumber request, std::string_view what, const traffic::InstanceId& instance,
            std::string inputs);
  /// Sends what the tokens of an owner's limit let in, and refuses the rest.
  void ApplyLimitTokens(const traffic::LimitTokenGrant& grant, Instant now);
  void NoteChanges(const BackPressureTable::Changes& changes);
  void NoteBackPressure(const traffic::InstanceId& instance, const AttemptReport& report,
                        Instant now);
  GatewayEffects Finish() { return std::exchange(effects_, {}); }

  // request_sending.cc
  void ServeWaiting(const ServiceName& service, Instant now);
  void ServeAllWaiting(Instant now);
  /// Lets all behind `place` wait for what it waits for. They still need their timers.
  void HoldBehind(const WaitingPlace& place, const std::vector<WaitingPlace>& places, Instant now);
  Step TryNext(LiveRequest& request, Instant now);
  Step TryOwner(LiveRequest& request, Instant now);
  Step TryPool(LiveRequest& request, Instant now);
  /// Asks a few servers for their load before the request is sent to one of them.
  /// @return whether there is anything to wait for.
  bool BeginProbes(LiveRequest& request, Instant now);
  /// Sends the request to the best of the servers that were asked.
  /// @return whether one of them answered and has room.
  bool SendToProbed(LiveRequest& request, Instant now);
  /// Sends a request to the server that was chosen, or has it wait while the server takes none from
  /// this gateway: every request to a server goes through here.
  Step Send(LiveRequest& request, const Backend& backend, Instant now);
  void BeginAttempt(LiveRequest& request, const Backend& backend, Instant now);
  /// Waits for the end of the rest that the only server of a request asked for, when that is soon.
  Step WaitForBackOff(LiveRequest& request, const Backend& owner, Instant now);
  /// Whether the owner of the request's key rests for longer than the request may be held.
  bool BacksOffPastHold(const LiveRequest& request, const traffic::InstanceId& owner) const;
  /// Waits for a token of the leader's by which the owner's limit lets the request in.
  Step WaitForToken(LiveRequest& request, const Backend& owner, Instant now);
  /// Leaves the request in its queue until `limit` after `hold_from`. With its time to wait over it
  /// gets no timer, and the caller ends it.
  Step Wait(LiveRequest& request, RefusalReason reason, Duration limit, Instant now);
  /// Waits for the only server that can run a request, for a part of its caller's time.
  Step WaitForOwner(LiveRequest& request, RefusalReason reason, Instant now);

  // request_ending.cc
  void HandleAttemptEnd(LiveRequest& request, const AttemptReport& report, Instant now);
  /// Remembers what the end of an attempt tells of whether its request ends servers.
  void RecordForCrashTracking(const LiveRequest& request, const AttemptReport& report,
                              const OpenAttempt& ended, Instant now);
  void RetryOrEnd(LiveRequest& request, const AttemptReport& report, Instant now);
  /// Puts a request back into its queue, to be sent again.
  void Requeue(LiveRequest& request, Instant now);
  void Relay(LiveRequest& request);
  void GiveUp(LiveRequest& request, Instant now);
  void End(LiveRequest& request, RefusalReason reason, Instant now);
  void EndWithoutRun(LiveRequest& request, RefusalReason reason, Instant now);
  void Forget(LiveRequest& request);

  const GatewayOptions options_;
  TrafficView traffic_;
  LiveRequests requests_;
  std::map<ServiceName, SharedRetryBudget> budgets_;
  KeyLoads key_loads_;
  HotKeyGate hot_keys_;
  CrashWatch crashes_;
  ProbePolicy probes_;
  FeedWatch feed_;
  QuotaGate quotas_;
  TokenQueue token_queue_;
  LimitQueue limit_queue_;
  std::uint64_t poll_sequence_ = 0;
  traffic::ConfigurationVersion reported_configuration_;  ///< In force at the newest poll.
  Instant polled_at_{};                                   ///< When the newest poll was made.
  Instant confirmed_at_{};
  GatewayEffects effects_;
};

}  // namespace graniteseam::gateway
