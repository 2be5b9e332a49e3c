/// @file
/// Monitors for how long a gateway has lacked a configuration that exists.
#pragma once

#include <deque>

#include "graniteseam/common/time.h"
#include "graniteseam/traffic/configuration.h"

namespace graniteseam::gateway {

/// Configurations that a leader reported and that have not arrived here.
///
/// Invariant: a gateway in contact with a leader does not route requests by a configuration that
/// was replaced more than 2 s ago, plus the time to hear of it. The operator's acknowledgement of a
/// configuration relies on that where it could not wait for a gateway.
struct ConfigurationLag {
  struct Report {
    traffic::ConfigurationVersion configuration;
    Instant reported_at{};  ///< By the first answer that named it, or a newer one.
  };
  std::deque<Report> missing;  ///< Oldest first.
  Instant leader_answered_at{};
};

/// Records the configuration that a leader's answer names.
auto note_leader_answer(ConfigurationLag& lag, traffic::ConfigurationVersion leaders,
                        traffic::ConfigurationVersion own, Instant now) -> void;

/// Records that a configuration was applied here.
auto note_applied(ConfigurationLag& lag, traffic::ConfigurationVersion own) -> void;

/// Whether requests must not be routed by the configuration here. Never while no leader answers:
/// then no change is acknowledged either, and the other gateways may lack the same configuration.
auto is_outdated(ConfigurationLag const& lag, Instant now) -> bool;

}  // namespace graniteseam::gateway
