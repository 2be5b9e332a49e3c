/// @file
/// Monitors for how long a gateway has lacked a configuration that exists.
#pragma once

#include <deque>

#include "graniteseam/common/time.h"
#include "graniteseam/traffic/configuration.h"

namespace graniteseam::gateway {

/// Configurations that control reported and that have not arrived here. The leader and the
/// processes that follow it report them, so that a gateway that one of them does not reach learns
/// of a configuration from another one.
///
/// Invariant: a gateway in contact with control does not route requests by a configuration that
/// was replaced more than 2 s ago, plus the time to hear of it. The operator's acknowledgement of a
/// configuration relies on that where it could not wait for a gateway.
struct ConfigurationLag {
  struct Report {
    traffic::ConfigurationVersion configuration;
    Instant reported_at{};  ///< By the first answer that named it, or a newer one.
  };
  std::deque<Report> missing;  ///< Oldest first.
  Instant last_report_at{};
};

/// Records the configuration that a control process has.
auto note_report(ConfigurationLag& lag, traffic::ConfigurationVersion reported,
                 traffic::ConfigurationVersion own, Instant now) -> void;

/// Records that a configuration was applied here.
auto note_applied(ConfigurationLag& lag, traffic::ConfigurationVersion own) -> void;

/// Whether requests must not be routed by the configuration here. Never while control has no leader
/// or does not answer: then no change is acknowledged either, and the other gateways may lack the
/// same configuration.
auto is_outdated(ConfigurationLag const& lag, Instant now) -> bool;

}  // namespace graniteseam::gateway
