/// @file
/// What is known of a request's attempts: the one in flight, and whether the request may have run.
#pragma once

#include <array>
#include <cstdint>
#include <optional>
#include <string>

#include "graniteseam/common/time.h"
#include "graniteseam/traffic/instance.h"
#include "src/gateway/gateway_events.h"
#include "src/gateway/not_run_proof.h"

namespace graniteseam::gateway {

/// The attempt in flight.
struct OpenAttempt {
  std::uint32_t number = 0;
  traffic::InstanceId instance;  ///< Empty for an attempt at another gateway.
  Instant sent_at{};
};

/// The attempts of one request, at servers and at other gateways. At most one is in flight.
///
/// Invariant: there is no proof while an attempt is in flight, nor after one that may have run.
class AttemptRecord {
 public:
  /// Begins an attempt; none is in flight. @return its number, from 1.
  auto begin(traffic::InstanceId const& instance, Instant now) -> std::uint32_t;
  /// Ends the attempt in flight. @return it.
  auto end(AttemptEnd end) -> OpenAttempt;
  /// Gives up the attempt in flight: it may run all the same. @return it.
  auto abandon() -> OpenAttempt;

  auto open() const -> std::optional<OpenAttempt> const& { return m_open; }
  auto is_open(std::uint32_t number) const -> bool { return m_open && m_open->number == number; }
  /// Whether an attempt that ended may have run.
  auto ended_may_have_run() const -> bool;
  auto not_run() const -> std::optional<NotRunProof>;

  /// How many attempts ended in which way, for the log.
  auto describe() const -> std::string;

 private:
  static constexpr std::size_t kEnds = static_cast<std::size_t>(AttemptEnd::kUnusable) + 1;

  std::optional<OpenAttempt> m_open;
  std::uint32_t m_newest = 0;
  std::array<std::uint32_t, kEnds> m_ended{};  ///< By AttemptEnd.
};

}  // namespace graniteseam::gateway
