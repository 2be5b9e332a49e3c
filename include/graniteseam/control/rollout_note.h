/// @file
/// Records of the rollout of configuration changes to routers, for the event log.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>

#include "graniteseam/common/ids.h"
#include "graniteseam/traffic/configuration.h"

namespace graniteseam::control {

/// An event log record: a step of a configuration change, a router that lags behind, or a tenant's
/// quota that is exhausted.
struct RolloutNote {
  /// "configuration_committed", "configuration_acknowledged", "configuration_in_force",
  /// "router_behind", "router_caught_up" or "quota_used_up". The last one names its tenant in
  /// `inputs` and has no configuration.
  std::string_view what;
  traffic::ConfigurationVersion configuration;
  std::uint64_t version = 0;  ///< Log index of the first traffic state that contains the change.
  RouterId router;            ///< The router concerned, if any.
  std::string inputs;         ///< Durations and other details, in short sentences.
};

}  // namespace graniteseam::control
