/// @file
/// Settings of a gateway.
#pragma once

#include <cstddef>
#include <string>
#include <vector>

#include "src/gateway/gateway_node.h"
#include "src/protocol/internal_security.h"
#include "src/runtime/settings.h"

namespace graniteseam::daemon {

struct GatewaySettings {
  std::string id;
  std::string zone;
  runtime::SocketAddress caller_address;
  runtime::SocketAddress advertised_caller_address;  ///< Empty: caller_address.
  runtime::SocketAddress status_address;
  runtime::SocketAddress metrics_address;  ///< Empty: only at status_address.
  std::vector<runtime::SocketAddress> control;
  std::int64_t control_port = 0;  ///< In place of the listed ports; 0 leaves them.
  protocol::InternalSecurity security;
  Duration poll_interval{500'000};
  Duration stop_limit{6'000'000};
  gateway::RetryBudgetLimits budget;
  std::int64_t connections_maximum = 2'000;
  /// That an instance may get from all gateways while it warms up; 0: no bound.
  double warm_up_requests_per_second = 0;
  runtime::SocketAddress coordination_address;             ///< Empty: no coordinated admission.
  runtime::SocketAddress advertised_coordination_address;  ///< Empty: coordination_address.
  double machine_weight = 1;
  double link_mbps = 0;  ///< Of the machine's link; 0: unknown.
  double memory_mb = 0;  ///< Of the machine, in units of 1,000,000 bytes; 0: unknown.
};

/// What a gateway may hold for callers and servers: bodies, answers, and what was read of them. The
/// rest of the memory is left to the program itself.
std::size_t HeldBytesMaximum(const GatewaySettings& settings);

/// Declares all settings with their checks. `settings` must stay valid until the reader is gone.
void DeclareGatewaySettings(runtime::SettingsReader& reader, GatewaySettings& settings);

}  // namespace graniteseam::daemon
