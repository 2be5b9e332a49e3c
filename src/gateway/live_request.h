/// @file
/// One request as long as a gateway has it.
#pragma once

#include <compare>
#include <optional>
#include <vector>

#include "graniteseam/traffic/configuration.h"
#include "src/gateway/gateway_events.h"

namespace graniteseam::gateway {

/// Order in which requests leave a queue: the most urgent first, then the oldest.
struct WaitingPlace {
  std::int64_t priority = 0;
  RequestNumber number;

  auto operator<=>(const WaitingPlace&) const = default;
};

/// The attempt under way.
struct OpenAttempt {
  std::uint32_t number = 0;
  traffic::InstanceId instance;
  Instant sent_at{};
};

/// The servers that are asked for their load before a request's next attempt.
struct ProbeRound {
  std::uint32_t number = 0;                ///< Answers to earlier rounds are late.
  std::vector<traffic::InstanceId> asked;  ///< Empty while there is no round.
  std::uint32_t open = 0;                  ///< Answers that are waited for.
  std::uint32_t loads_received = 0;        ///< Of the servers asked, those that told their load.
  Instant back_off_until{};                ///< No further round before.
};

struct LiveRequest {
  ArrivedRequest arrived;
  traffic::RouteKind kind = traffic::RouteKind::kUnsafe;
  ServiceName service;
  traffic::TenantName tenant;  ///< Empty when it showed no key.
  std::int64_t priority = 0;
  Duration target_latency{};
  std::uint32_t attempts_maximum = 1;

  Instant received{};
  Instant hold_from{};  ///< Since when it waits for its next server.
  Instant give_up{};    ///< The caller's deadline or the route's timeout.
  Instant timer{};      ///< As entered in LiveRequests; Instant{} for none.

  std::optional<OpenAttempt> open;
  std::uint32_t attempts = 0;   ///< Sent so far, one that got no byte out not counted.
  std::uint32_t numbering = 0;  ///< Of the newest attempt.
  std::uint32_t unsent = 0;     ///< Attempts that got no byte out.
  std::vector<traffic::InstanceId> tried;
  bool may_have_run = false;
  ProbeRound probes;

  bool waiting = false;                   ///< In its service's queue.
  bool admitted_by_hot_key_gate = false;  ///< While its key was known to be hot.
  bool charged_to_quota = false;          ///< Let in by its tenant's quota.
  Instant
      token_wait_since{};  ///< For a token of its owner's limit; Instant{} while it asks for none.
  Instant server_back_off_until{};  ///< The server that alone can run it; Instant{} for none.
  Instant not_before{};             ///< While waiting: not tried again earlier.
  RefusalReason waits_for = RefusalReason::kOverloaded;
};

}  // namespace graniteseam::gateway
