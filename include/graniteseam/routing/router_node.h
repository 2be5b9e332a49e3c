/// @file
/// The router's decision logic without I/O: lease, shard map, bundle, admission, server selection,
/// retries and journal claims as one deterministic state machine. The daemon and the simulator
/// drive the same class.
#pragma once

#include <cstdint>
#include <memory>
#include <string>

#include "graniteseam/control/router_messages.h"
#include "graniteseam/routing/messages.h"
#include "graniteseam/routing/request_state.h"
#include "graniteseam/routing/retry_budget.h"
#include "graniteseam/routing/server_selector.h"

namespace graniteseam::routing {

/// Settings of a router node.
struct RouterNodeOptions {
  RouterId router;
  ZoneName zone;
  RetryOptions retry;
  RetryBudgetOptions retry_budget;
  SelectorOptions selector;
  Duration renewal_interval_first{100'000};  ///< Until the first grant; then a fifth of the lease.
  Duration renewal_timeout{300'000};  ///< An unanswered renewal is sent again after this time.
  std::size_t requests_maximum =
      50'000;  ///< Concurrent requests; further ones are refused as not run.
};

/// Router status for operators.
struct RouterStatus {
  bool lease_valid = false;
  bool stopping = false;
  BundleVersion bundle_version;
  std::string bundle_digest;
  std::uint64_t map_version = 0;
  std::size_t requests = 0;
  std::size_t held = 0;
  std::size_t queued = 0;
  std::size_t ejected_servers = 0;
  std::size_t claims_waiting = 0;
  bool journal_idle = true;    ///< No claim or completion is waiting for the journal.
  std::uint64_t attempts = 0;  ///< Since the start; the same for those below.
  std::uint64_t retries = 0;
  std::uint64_t hedges = 0;
};

/// One router, without its I/O.
///
/// Each request passed to OnRequest() is ended by exactly one RequestAnswer, in the same or a later
/// call. Each AttemptSend must be followed by one OnAttemptEnd() no later than its `give_up_at`,
/// unless the attempt is cancelled. Not thread safe; `now` must never decrease.
class RouterNode {
 public:
  /// @param seed must differ at each start: attempt ids and claim numbers are derived from it.
  RouterNode(RouterNodeOptions options, std::uint64_t seed, Instant now);
  ~RouterNode();
  RouterNode(const RouterNode&) = delete;
  RouterNode& operator=(const RouterNode&) = delete;

  /// Runs expired timers and due sends.
  RouterEffects Tick(Instant now);
  /// The time at which Tick() is due if no event occurs earlier.
  Instant NextTick() const;

  /// Handles a new connection to a control process: messages sent on an earlier one may be lost, so
  /// the renewal is due at once and unanswered journal batches are sent again.
  RouterEffects OnControlConnected(Instant now);
  RouterEffects OnControlMessage(const control::ControlToRouter& message, Instant now);

  RouterEffects OnRequest(const CallerRequest& request, Instant now);
  RouterEffects OnAttemptEnd(const AttemptResult& result, Instant now);
  /// Handles a caller that disconnected. A request that may not be repeated and was already sent
  /// continues, so that its outcome is stored for a resend; any other request is cancelled.
  RouterEffects OnCallerGone(RequestNumber request, Instant now);

  /// Starts a planned stop: new requests are refused, accepted ones are finished.
  RouterEffects PrepareStop(Instant now);

  /// Whether requests are accepted: the lease is valid for the newest bundle and no stop is in
  /// progress.
  bool Ready(Instant now) const;
  /// The largest request body that the service accepts, in bytes; 0 for an unknown service.
  std::size_t BodyBytesMaximum(const ServiceName& service) const;
  RouterStatus Status(Instant now) const;

 private:
  class Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace graniteseam::routing
