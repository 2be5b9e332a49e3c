/// @file
/// JSON of the traffic configuration and of instances' heartbeats; docs/interface/traffic.md.
#pragma once

#include <string>
#include <string_view>

#include "graniteseam/common/error.h"
#include "graniteseam/traffic/configuration.h"
#include "graniteseam/traffic/instance.h"

namespace graniteseam::http {

/// Reads a whole configuration.
/// @param base the version that it builds on.
/// @return kMalformedMessage naming the value that does not fit.
Result<traffic::ConfigurationChange> ReadConfiguration(const std::string& json,
                                                       traffic::ConfigurationVersion base);

/// Reads a change of named items.
Result<traffic::ConfigurationChange> ReadConfigurationPatch(const std::string& json,
                                                            traffic::ConfigurationVersion base);

/// Writes a configuration as it was submitted, item by item.
std::string ToJson(const traffic::Configuration& configuration);

/// Reads a heartbeat of the instance `id`.
Result<traffic::InstanceReport> ReadHeartbeat(const std::string& json,
                                              const traffic::InstanceId& id);

}  // namespace graniteseam::http
