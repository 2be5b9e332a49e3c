/// @file
/// The state of one request while a gateway handles it.
#pragma once

#include <compare>
#include <optional>
#include <set>
#include <vector>

#include "graniteseam/traffic/configuration.h"
#include "src/gateway/attempt_record.h"
#include "src/gateway/gateway_events.h"

namespace graniteseam::gateway {

/// Order of requests in a queue: highest urgency first, then oldest.
struct WaitingPlace {
  std::int64_t priority = 0;
  RequestNumber number;

  auto operator<=>(const WaitingPlace&) const = default;
};

/// The servers that are probed for their load before a request's next attempt.
struct ProbeRound {
  std::uint32_t number = 0;                ///< Answers to earlier rounds are ignored.
  std::vector<traffic::InstanceId> asked;  ///< Empty while no round is in progress.
  std::uint32_t open = 0;                  ///< Answers still awaited.
  std::uint32_t loads_received = 0;        ///< Probed servers that reported their load.
  Instant back_off_until{};                ///< No further round before this instant.
};

/// A slot that a request asked for at its key's owner.
struct SlotHold {
  std::uint64_t number = 0;    ///< Of the slot request; 0 for none.
  traffic::InstanceId server;  ///< Kept when the coordinator did not answer.
  Instant hold_end{};
  bool queued = false;  ///< The coordinator answered that it waits.
  bool granted = false;
  /// The coordinator did not answer: the next attempt at `server` goes without a slot.
  bool unanswered = false;
};

/// A request with its route's settings, its attempts so far and what it waits for.
struct LiveRequest {
  ArrivedRequest arrived;
  traffic::RouteKind kind = traffic::RouteKind::kUnsafe;
  std::uint32_t attempts_maximum = 1;
  ServiceName service;
  RoutingDecision routing;
  traffic::TenantName tenant;  ///< Empty when the request presented no API key.
  std::int64_t priority = 0;
  Duration target_latency{};

  Instant received{};
  /// How long its caller had been trying when it was received; zero for a first attempt.
  Duration age{};
  Instant hold_from{};  ///< Start of the wait for its next server.
  Instant give_up{};    ///< The caller's deadline or the route's timeout.
  Instant timer{};      ///< As entered in LiveRequests; Instant{} for none.

  AttemptRecord record;
  std::optional<RouterId> peer;  ///< The gateway that has the open attempt; nullopt for a server.
  std::set<RouterId> peers_tried;
  std::uint32_t attempts = 0;  ///< At servers so far, without those that sent no byte.
  std::uint32_t unsent = 0;    ///< Attempts at servers that sent no byte.
  std::vector<traffic::InstanceId> tried;
  /// The server of its last attempt refused to run it although it had a slot.
  bool refused_with_slot = false;
  ProbeRound probes;

  SlotHold slot;
  /// When its caller should return, if a coordinator rejected it.
  std::optional<Duration> return_after;

  bool waiting = false;                   ///< In its service's queue.
  bool admitted_by_hot_key_gate = false;  ///< Set while its key was known to be hot.
  bool charged_to_quota = false;          ///< Admitted under its tenant's quota.
  /// When it raised the retry budget of its service; Instant{} when it does not.
  Instant counted_at{};
  /// Its next attempt, or the one in flight, is a retry that its service's budget has reserved.
  bool retry_reserved = false;
  /// Start of the wait for a token of its owner's rate limit; Instant{} while it waits for none.
  Instant token_wait_since{};
  /// Back-off of the only server that can run it; Instant{} for none.
  Instant server_back_off_until{};
  Instant not_before{};  ///< While waiting: the earliest instant of the next try.
  RefusalReason waits_for = RefusalReason::kOverloaded;
};

}  // namespace graniteseam::gateway
