/// @file
/// What a leader tells of a configuration change on its way to the routers.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>

#include "graniteseam/common/ids.h"
#include "graniteseam/traffic/configuration.h"

namespace graniteseam::control {

/// One step of a change, a router that is behind, or a tenant's quota that is used up; for the
/// event log.
struct RolloutNote {
  /// "configuration_committed", "configuration_acknowledged", "configuration_in_force",
  /// "router_behind", "router_caught_up" or "quota_used_up", which names its tenant in `inputs` and
  /// nothing of a configuration.
  std::string_view what;
  traffic::ConfigurationVersion configuration;
  std::uint64_t version = 0;  ///< Log index of the traffic state that first has the change.
  RouterId router;            ///< The one that it is about, if any.
  std::string inputs;         ///< How long it took, in short sentences.
};

}  // namespace graniteseam::control
