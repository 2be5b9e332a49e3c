/// @file
/// JSON of the traffic configuration and of instances' heartbeats; docs/interface/traffic.md.
#pragma once

#include <string>
#include <string_view>

#include "graniteseam/common/error.h"
#include "graniteseam/control/operator_messages.h"
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

/// Writes a configuration as it was submitted, item by item, without its tenants.
std::string ToJson(const traffic::Configuration& configuration);
/// The same with the tenants and their keys: for the operator who reads it back, and nobody else.
std::string ToJson(const control::ConfigurationView& view);

/// Reads a heartbeat of the instance `id`.
/// @return kMalformedMessage naming the value that does not fit; nothing of it may be taken then.
Result<control::ReportInstance> ReadHeartbeat(const std::string& json,
                                              const traffic::InstanceId& id);

/// The answer to a heartbeat.
/// @param leases null where the instance is not leased keys by heartbeat.
/// @param next_address where its later heartbeats should go; empty: unchanged.
std::string HeartbeatAnswerJson(const traffic::KeyLeases* leases, const std::string& next_address);

}  // namespace graniteseam::http
