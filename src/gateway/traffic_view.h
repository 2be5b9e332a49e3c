/// @file
/// The traffic state as a gateway knows it from control's updates.
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

/// Invariant: the state never goes back to an older version, and leaves out none. Not thread safe;
/// `now` never goes back.
class TrafficView {
 public:
  /// @param gateways_assumed while control has not said how many there are.
  TrafficView(BackendOptions backends, std::uint32_t gateways_assumed, std::uint64_t seed);

  /// Takes an update that begins at or before this version and ends after it.
  /// @return false when it is not one. One that leaves a gap is asked for again by poll.
  auto take(traffic::TrafficUpdate const& update, Instant now) -> bool;

  /// Whether a configuration was ever received.
  auto is_ready() const -> bool { return m_configuration.value > 0; }
  auto is_keyed(ServiceName const& service) const -> bool;
  /// Where servers of a service tell their load; empty when the service names no such path.
  auto health_path(ServiceName const& service) const -> std::string;
  auto gateway_count() const -> std::uint32_t;
  auto limits() const -> traffic::CallerLimits const& { return m_limits; }
  auto configuration() const -> traffic::ConfigurationVersion { return m_configuration; }
  auto version() const -> std::uint64_t { return m_version; }
  /// "version 12, configuration 5, routes 3, ..." for the log: what stands here, and how much of
  /// it an update brought.
  auto describe(traffic::TrafficUpdate const& update) const -> std::string;

  auto routes() -> RouteTable& { return m_routes; }
  auto backends() -> BackendTable& { return m_backends; }
  auto backends() const -> BackendTable const& { return m_backends; }
  auto keys() -> KeyMap& { return m_keys; }
  auto tenants() const -> TenantTable const& { return m_tenants; }

 private:
  auto apply(traffic::TrafficUpdate const& update, Instant now) -> void;
  /// Notes how far the leader was when it answered.
  auto note_answer(std::uint64_t version, Instant now) -> void;
  /// What is here is all that was true when the leader last told a version that is here by now. A
  /// feed proves nothing itself: it may be behind.
  auto confirm_backends() -> void;

  struct Told {
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
  std::deque<Told> m_told;       ///< By the leader, and not here yet; oldest first.
  std::uint32_t m_gateways = 0;  ///< As control said; 0 before it did.
};

}  // namespace graniteseam::gateway
