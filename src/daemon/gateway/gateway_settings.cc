#include "src/daemon/gateway/gateway_settings.h"

#include "src/protocol/internal_settings.h"

namespace graniteseam::daemon {

std::size_t HeldBytesMaximum(const GatewaySettings& settings) {
  constexpr double kMemoryMbWhereUnknown = 160;
  constexpr double kHeldPart = 0.6;
  constexpr double kBytesPerMegabyte = 1e6;
  const double megabytes = settings.memory_mb > 0 ? settings.memory_mb : kMemoryMbWhereUnknown;
  return static_cast<std::size_t>(megabytes * kHeldPart * kBytesPerMegabyte);
}

void DeclareGatewaySettings(runtime::SettingsReader& reader, GatewaySettings& settings) {
  using Presence = runtime::SettingsReader::Presence;
  using std::chrono::milliseconds;
  using std::chrono::seconds;
  constexpr std::int64_t kConnectionsMaximum = 65'536;
  constexpr double kExtraMaximum = 1e9;
  constexpr std::int64_t kPortMaximum = 65'535;
  reader.AddText("id", "This gateway's name, unique in the fleet.", settings.id,
                 Presence::kRequired);
  reader.AddText("zone", "The zone it runs in.", settings.zone, Presence::kRequired);
  reader.AddAddress("caller_address", "Address for callers.", settings.caller_address,
                    Presence::kRequired);
  reader.AddAddress("advertised_caller_address",
                    "Where other gateways reach caller_address, behind a relay or address "
                    "translation.",
                    settings.advertised_caller_address);
  reader.AddAddress("status_address", "Address for /ready and /metrics.", settings.status_address,
                    Presence::kRequired);
  reader.AddAddress("metrics_address",
                    "A further address for /metrics; the process runs without it when it is taken.",
                    settings.metrics_address);
  reader.AddAddressList("control", "Internal addresses of control processes.", settings.control,
                        Presence::kRequired);
  reader.AddInteger("control_port", "Internal port of all control processes; 0 takes those listed.",
                    settings.control_port, 0, kPortMaximum);
  reader.AddMilliseconds("poll_interval_ms", "Between two questions to control for changes.",
                         settings.poll_interval, milliseconds(50), seconds(5));
  reader.AddMilliseconds("stop_limit_ms",
                         "How long a stop may take; it serves on for the first part of it, so that "
                         "callers go elsewhere, and finishes what it has in the rest.",
                         settings.stop_limit, milliseconds(0), seconds(600));
  reader.AddNumber("retry_budget_ratio",
                   "Repetitions for each request that all gateways may send together.",
                   settings.budget.ratio, 0, 1);
  reader.AddNumber("retry_budget_extra", "Repetitions beyond that in a window.",
                   settings.budget.extra, 0, kExtraMaximum);
  reader.AddMilliseconds("retry_budget_window_ms", "Length of the window.", settings.budget.window,
                         milliseconds(100), seconds(600));
  constexpr double kRequestsMaximum = 1e6;
  reader.AddNumber("warm_up_requests_per_second",
                   "Requests that one instance of a pool may get from all gateways together in a "
                   "second while it warms up; 0: no bound.",
                   settings.warm_up_requests_per_second, 0, kRequestsMaximum);
  reader.AddAddress("coordination_address",
                    "Address at which other gateways ask for slots of the servers that this one "
                    "coordinates; without it "
                    "this gateway takes no part in coordinated admission.",
                    settings.coordination_address);
  reader.AddAddress("advertised_coordination_address",
                    "Where other gateways reach coordination_address, behind a relay or address "
                    "translation.",
                    settings.advertised_coordination_address);
  constexpr double kWeightMinimum = 0.001;
  constexpr double kWeightMaximum = 1e6;
  reader.AddNumber(
      "machine_weight",
      "This machine's processor share, relative to other gateways: the part of the servers "
      "that it coordinates follows it.",
      settings.machine_weight, kWeightMinimum, kWeightMaximum);
  constexpr double kLinkMaximum = 1e6;
  reader.AddNumber(
      "link_mbps",
      "Rate of this machine's link in Mbit/s: downloads use three quarters of it at most, so that "
      "small messages pass. 0: unknown, downloads are sent as fast as the link takes them.",
      settings.link_mbps, 0, kLinkMaximum);
  constexpr double kMemoryMaximumMb = 1e6;
  reader.AddNumber(
      "memory_mb",
      "Memory of this machine in MB, of which requests and answers that are being sent or read use "
      "60% at most. 0: unknown, as with 160.",
      settings.memory_mb, 0, kMemoryMaximumMb);
  reader.AddInteger("connections_maximum", "Callers' connections at once.",
                    settings.connections_maximum, 1, kConnectionsMaximum);
  protocol::AddInternalSecuritySettings(reader, settings.security, &settings.coordination_address,
                                        &settings.control);
  reader.AddLogSettings();
  reader.AddCheck([&settings](std::vector<runtime::SettingFault>&) {
    runtime::UsePort(settings.control, settings.control_port);
  });
}

}  // namespace graniteseam::daemon
