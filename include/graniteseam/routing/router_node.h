/// @file
/// The router's decision maker: its lease, map, bundle, admission, choice of servers, retries and
/// journal claims behind one deterministic entry. The daemon and the simulator drive the same
/// class.
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

struct RouterNodeOptions {
  RouterId router;
  ZoneName zone;
  RetryOptions retry;
  RetryBudgetOptions retry_budget;
  SelectorOptions selector;
  Duration renewal_interval_first{100'000};  ///< Until the first grant; then a fifth of the lease.
  Duration renewal_timeout{300'000};         ///< A renewal unanswered this long is sent anew.
  std::size_t requests_maximum = 50'000;     ///< Live at once; more are refused as not run.
};

/// What operators see of a router.
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
  bool journal_idle = true;    ///< Nothing is left to tell the journal.
  std::uint64_t attempts = 0;  ///< Since the start; the same for those below.
  std::uint64_t retries = 0;
  std::uint64_t hedges = 0;
};

/// One router without its I/O.
///
/// Each request that OnRequest() took is ended by exactly one RequestAnswer, in the same or a later
/// call. Each AttemptSend must be followed by one OnAttemptEnd() not
/// later than its `give_up_at`, unless the attempt is cancelled. Not thread safe; `now` never goes
/// back.
class RouterNode {
 public:
  /// @param seed differs at each start: attempt ids and claim numbers are made from it.
  RouterNode(RouterNodeOptions options, std::uint64_t seed, Instant now);
  ~RouterNode();
  RouterNode(const RouterNode&) = delete;
  RouterNode& operator=(const RouterNode&) = delete;

  RouterEffects Tick(Instant now);
  /// When Tick() is due, if no event comes before.
  Instant NextTick() const;

  /// A connection to a control process is there; what was sent on an earlier one may be lost.
  RouterEffects OnControlConnected(Instant now);
  RouterEffects OnControlMessage(const control::ControlToRouter& message, Instant now);

  RouterEffects OnRequest(const CallerRequest& request, Instant now);
  RouterEffects OnAttemptEnd(const AttemptResult& result, Instant now);
  /// Nobody waits for the answer. What may not be repeated and is sent goes on, so that its outcome
  /// is kept for a resend; all else is cancelled.
  RouterEffects OnCallerGone(RequestNumber request, Instant now);

  /// Begins a planned stop: new requests are refused as not run, those taken are finished.
  RouterEffects PrepareStop(Instant now);

  /// Whether requests are taken: a valid lease for the newest bundle, and no stop under way.
  bool Ready(Instant now) const;
  /// The longest body that the service takes; 0 for an unknown service.
  std::size_t BodyBytesMaximum(const ServiceName& service) const;
  RouterStatus Status(Instant now) const;

 private:
  class Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace graniteseam::routing
