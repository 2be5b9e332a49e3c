/// @file
/// A gateway's copy of the traffic state, built from control's updates.
#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <string>

#include "graniteseam/traffic/update.h"
#include "src/gateway/backend_table.h"
#include "src/gateway/key_map.h"
#include "src/gateway/route_table.h"
#include "src/gateway/tenant_table.h"

namespace graniteseam::gateway {

/// Invariant: the state never returns to an older version and skips none. Not thread safe; `now`
/// must not decrease.
class TrafficView {
 public:
  /// @param gateways_assumed number of gateways until control reports it.
  TrafficView(BackendOptions backends, std::uint32_t gateways_assumed, std::uint64_t seed);

  /// Applies an update that begins at or before this version and ends after it.
  /// @return false when the update does not fit and was ignored. After a gap, the next poll
  /// requests the missing changes.
  auto apply_update(traffic::TrafficUpdate const& update, Instant now) -> bool;

  /// Whether a configuration was ever received.
  auto is_ready() const -> bool { return m_configuration.value > 0; }
  auto is_keyed(ServiceName const& service) const -> bool;
  /// Whether the owners of a service's keys receive their leases by heartbeat.
  auto is_leased_by_heartbeat(ServiceName const& service) const -> bool;
  /// The path at which servers of a service report their load; empty when the service has none.
  auto health_path(ServiceName const& service) const -> std::string;
  auto gateway_count() const -> std::uint32_t;
  auto limits() const -> traffic::CallerLimits const& { return m_limits; }
  auto configuration() const -> traffic::ConfigurationVersion { return m_configuration; }
  auto version() const -> std::uint64_t { return m_version; }
  /// "version 12, configuration 5, routes 3, ..." for the log: the current versions, and the number
  /// of items in the update.
  auto describe(traffic::TrafficUpdate const& update) const -> std::string;

  auto routes() -> RouteTable& { return m_routes; }
  auto routes() const -> RouteTable const& { return m_routes; }
  auto backends() -> BackendTable& { return m_backends; }
  auto backends() const -> BackendTable const& { return m_backends; }
  auto keys() -> KeyMap& { return m_keys; }
  auto tenants() const -> TenantTable const& { return m_tenants; }

 private:
  auto apply(traffic::TrafficUpdate const& update, Instant now) -> void;
  /// Records the leader's version at the time of its answer.
  auto note_answer(std::uint64_t version, Instant now) -> void;
  /// Confirms that the state here was complete when the leader last reported a version that has
  /// arrived by now. An update from the feed confirms nothing itself, since the feed may be behind.
  auto confirm_backends() -> void;

  struct ReportedVersion {
    std::uint64_t version = 0;
    Instant at;
  };

  std::uint32_t const m_gateways_assumed;
  RouteTable m_routes;
  BackendTable m_backends;
  KeyMap m_keys;
  TenantTable m_tenants;
  std::map<ServiceName, traffic::Service> m_services;
  traffic::CallerLimits m_limits;
  traffic::ConfigurationVersion m_configuration;
  std::uint64_t m_version = 0;
  /// Reported by the leader and not yet reached here; oldest first.
  std::deque<ReportedVersion> m_pending_versions;
  std::uint32_t m_gateways = 0;  ///< As reported by control; 0 before its first report.
};

}  // namespace graniteseam::gateway
