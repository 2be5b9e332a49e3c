/// @file
/// The gateway's decision maker: which server gets a request, what is sent again, what is refused.
#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "graniteseam/traffic/update.h"
#include "src/gateway/backend_table.h"
#include "src/gateway/gateway_events.h"
#include "src/gateway/key_map.h"
#include "src/gateway/live_request.h"
#include "src/gateway/route_table.h"
#include "src/gateway/shared_retry_budget.h"

namespace graniteseam::gateway {

struct GatewayOptions {
  RouterId id;
  BackendOptions backends;
  RetryBudgetLimits budget;
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
  GatewayEffects OnRequest(const ArrivedRequest& request, Instant now);
  GatewayEffects OnAttemptEnd(const AttemptReport& report, Instant now);
  GatewayEffects OnCallerGone(RequestNumber request, Instant now);
  GatewayEffects Tick(Instant now);
  Instant NextTick() const;

  /// What to ask control, with the loads counted since the last call.
  traffic::TrafficPoll TakePoll();

  /// Whether some key got so much since the last poll that control should know at once.
  bool LoadIsUrgent() const { return load_is_urgent_; }

  /// Whether a configuration was ever received.
  bool Ready() const { return configuration_.value > 0; }
  const traffic::CallerLimits& limits() const { return limits_; }
  traffic::ConfigurationVersion configuration() const { return configuration_; }
  std::uint64_t version() const { return version_; }
  std::size_t requests() const { return requests_.size(); }

 private:
  struct ServiceQueue {
    std::set<WaitingPlace> waiting;
  };
  enum class Step { kSent, kWaits };

  void Admit(LiveRequest& request, Instant now);
  void AwaitConfiguration(LiveRequest& request, Instant now);
  void AdmitUnrouted(Instant now);
  Step TryNext(LiveRequest& request, Instant now);
  Step TryOwner(LiveRequest& request, Instant now);
  /// Waits for the only server that can run a request, for a part of its caller's time.
  Step WaitForOwner(LiveRequest& request, RefusalReason reason, Instant now);
  static bool InTime(const LiveRequest& request, Instant now);
  /// @param at Instant{} for none.
  void SetTimer(LiveRequest& request, Instant at);
  Step TryPool(LiveRequest& request, Instant now);
  void Send(LiveRequest& request, const Backend& backend, Instant now);
  Step Wait(LiveRequest& request, RefusalReason reason, Duration limit, Instant now);
  void ServeWaiting(const ServiceName& service, Instant now);
  void ServeAllWaiting(Instant now);
  void StopWaiting(LiveRequest& request);

  void TakeEnd(LiveRequest& request, const AttemptReport& report, Instant now);
  void RetryOrEnd(LiveRequest& request, const AttemptReport& report, Instant now);
  bool MayRetry(LiveRequest& request, AttemptEnd end, Instant now, RefusalReason& reason);
  void GiveUp(LiveRequest& request, Instant now);
  void End(LiveRequest& request, RefusalReason reason, Instant now);
  void EndWithoutRun(LiveRequest& request, RefusalReason reason, Instant now);
  static Duration RetryAfter(const LiveRequest& request, Instant now);
  void Forget(LiveRequest& request);

  SharedRetryBudget& BudgetOf(const ServiceName& service);
  std::uint32_t GatewayCount() const;
  bool Keyed(const ServiceName& service) const;
  void CountKey(const ServiceName& service, std::uint32_t key);
  void Note(RequestNumber request, std::string_view what, const traffic::InstanceId& instance,
            std::string inputs);
  GatewayEffects Finish() { return std::exchange(effects_, {}); }

  const GatewayOptions options_;
  RouteTable routes_;
  BackendTable backends_;
  KeyMap keys_;
  std::map<ServiceName, traffic::Service> services_;
  traffic::CallerLimits limits_;
  traffic::ConfigurationVersion configuration_;
  std::uint64_t version_ = 0;
  std::uint32_t gateways_ = 0;

  std::map<RequestNumber, LiveRequest> requests_;
  std::set<RequestNumber> unrouted_;  ///< Read before the first configuration came.
  std::map<ServiceName, ServiceQueue> queues_;
  std::set<std::pair<Instant, RequestNumber>> timers_;
  std::map<ServiceName, SharedRetryBudget> budgets_;
  std::map<ServiceName, std::map<std::uint32_t, std::uint32_t>> key_loads_;  ///< By key.
  bool load_is_urgent_ = false;
  std::uint64_t poll_sequence_ = 0;
  GatewayEffects effects_;
};

}  // namespace graniteseam::gateway
