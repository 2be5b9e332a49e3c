/// @file
/// Processing of all unanswered requests, from admission to answer.
#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

#include "graniteseam/routing/messages.h"
#include "graniteseam/routing/request_state.h"
#include "graniteseam/routing/routing_table.h"
#include "src/routing/journal_batcher.h"
#include "src/routing/service_router.h"

namespace graniteseam::routing {

/// Check repeated before each send, because lease and bundle may change while a request waits.
class SendGuard {
 public:
  virtual ~SendGuard() = default;
  /// Returns the reason why the request may not be sent, or nullopt.
  virtual std::optional<Error> Refusal(const CallerRequest& request, Instant now) const = 0;
};

/// All unanswered requests of one router.
///
/// A request holds at most one slot of its group's limit and one slot at a server for each attempt
/// or reservation; each is released exactly once, however the request ends. Not thread
/// safe.
class RequestFlow {
 public:
  RequestFlow(const RoutingTable& table, JournalBatcher& journal, const SendGuard& guard,
              RetryOptions options, std::uint64_t seed);
  ~RequestFlow();

  void Begin(const CallerRequest& request, std::shared_ptr<ServiceRouter> service, Instant now,
             RouterEffects& effects);
  void OnAttemptEnd(const AttemptResult& result, Instant now, RouterEffects& effects);
  void OnCallerGone(RequestNumber number, Instant now, RouterEffects& effects);
  void OnClaimResult(const control::ClaimResult& result, Instant now, RouterEffects& effects);
  /// Handles a change of the shard map or the servers.
  void OnTableChanged(Instant now, RouterEffects& effects);
  /// Dispatches queued requests of all services, after a change of group limits.
  void DispatchAll(Instant now, RouterEffects& effects);
  void Tick(Instant now, RouterEffects& effects);
  std::optional<Instant> NextTick() const;

  std::size_t size() const { return live_.size(); }
  bool Contains(RequestNumber number) const { return live_.contains(number); }
  std::size_t held() const { return held_; }
  std::uint64_t attempts() const { return attempts_; }
  std::uint64_t retries() const { return retries_; }
  std::uint64_t hedges() const { return hedges_; }

 private:
  struct Live;
  struct Flight;

  void OfferToLimiter(Live& live, Instant now, RouterEffects& effects);
  void OnAdmitted(Live& live, Instant now, RouterEffects& effects);
  std::optional<ServerId> ChooseServer(Live& live, Instant now);
  void Claim(Live& live, Instant now);
  void SendReserved(Live& live, Instant now, RouterEffects& effects);
  bool ReservationValid(const Live& live, Instant now) const;
  void Send(Live& live, Instant now, RouterEffects& effects);
  void Hedge(Live& live, Instant now, RouterEffects& effects);
  void Hold(Live& live, Instant now, RouterEffects& effects);
  void Decide(Live& live, const Decision& decision, const AttemptResult& result, Instant now,
              RouterEffects& effects);
  void Supersede(Live& live, Instant now, RouterEffects& effects);
  void OnTimer(Live& live, Instant now, RouterEffects& effects);

  void GiveUp(Live& live, Error error, std::optional<Duration> retry_after, Instant now,
              RouterEffects& effects);
  void GiveUp(Live& live, ErrorKind reason, std::optional<Duration> retry_after, Instant now,
              RouterEffects& effects);
  RequestOutcome OutcomeOfGivingUp(Live& live) const;
  void Finish(Live& live, RequestAnswer answer, Instant now, RouterEffects& effects);
  void Complete(const Live& live, const RequestAnswer& answer);
  void End(Live& live, Instant now, RouterEffects& effects);

  void SetTimer(Live& live, Instant until);
  void ClearTimer(Live& live);
  void SetHeld(Live& live, bool held);
  void ReleaseGroupSlot(Live& live, Instant now);
  void ReleaseReservation(Live& live);
  void RecordUsage(Live& live, Instant now);
  void DispatchLater(const std::shared_ptr<ServiceRouter>& service);
  void Dispatch(Instant now, RouterEffects& effects);
  double Jitter();
  std::uint64_t NextRandom();

  const RoutingTable& table_;
  JournalBatcher& journal_;
  const SendGuard& guard_;
  RetryOptions options_;
  std::uint64_t random_;
  std::string attempt_prefix_;
  std::unordered_map<RequestNumber, std::unique_ptr<Live>> live_;
  std::unordered_map<std::uint64_t, RequestNumber> claims_;  ///< Claims without a result yet.
  std::set<std::pair<Instant, RequestNumber>> timers_;
  /// Services in which a slot became free during this event, each once, in order of occurrence: an
  /// order by pointer would differ between runs.
  std::deque<std::shared_ptr<ServiceRouter>> to_dispatch_;
  bool dispatching_ = false;
  /// While requests are queued: the next check for slots freed by expired ejections and pauses.
  std::optional<Instant> dispatch_at_;
  std::size_t held_ = 0;
  AttemptNumber attempts_ = 0;
  std::uint64_t retries_ = 0;
  std::uint64_t hedges_ = 0;
};

}  // namespace graniteseam::routing
