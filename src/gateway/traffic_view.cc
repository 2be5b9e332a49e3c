#include "src/gateway/traffic_view.h"

#include <utility>

namespace graniteseam::gateway {

TrafficView::TrafficView(BackendOptions backends, std::uint32_t gateways_assumed,
                         std::uint64_t seed)
    : m_gateways_assumed(gateways_assumed), m_routes(seed), m_backends(std::move(backends), seed) {}

auto TrafficView::apply_update(traffic::TrafficUpdate const& update, Instant now) -> bool {
  if (update.routers > 0) m_gateways = update.routers;
  m_backends.pressure().set_gateways(gateway_count());
  if (update.sequence > 0) note_answer(update.version, now);
  auto const fits = update.base == 0 || update.base <= m_version;
  auto const applies = update.version > m_version && fits;
  if (applies) apply(update, now);
  confirm_backends();
  return applies;
}

auto TrafficView::note_answer(std::uint64_t version, Instant now) -> void {
  constexpr std::size_t kPendingMaximum = 16;
  m_pending_versions.push_back({version, now});
  if (m_pending_versions.size() > kPendingMaximum) m_pending_versions.pop_front();
}

auto TrafficView::confirm_backends() -> void {
  while (!m_pending_versions.empty() && m_pending_versions.front().version <= m_version) {
    m_backends.Confirm(m_pending_versions.front().at);
    m_pending_versions.pop_front();
  }
}

auto TrafficView::apply(traffic::TrafficUpdate const& update, Instant now) -> void {
  m_routes.Apply(update);
  m_backends.Apply(update, now);
  m_keys.Apply(update);
  m_tenants.apply(update);
  if (update.base == 0) m_services.clear();
  for (auto const& name : update.removed_services) m_services.erase(name);
  for (auto const& service : update.services) m_services[service.name] = service;
  if (update.limits) m_limits = *update.limits;
  m_backends.ShareConnections(m_services, gateway_count());
  m_version = update.version;
  m_configuration = update.configuration;
}

auto TrafficView::is_keyed(ServiceName const& service) const -> bool {
  auto const found = m_services.find(service);
  return found != m_services.end() && found->second.keyed;
}

auto TrafficView::is_leased_by_heartbeat(ServiceName const& service) const -> bool {
  auto const found = m_services.find(service);
  return found != m_services.end() && found->second.keyed &&
         found->second.lease_form == traffic::LeaseForm::kHeartbeat;
}

auto TrafficView::health_path(ServiceName const& service) const -> std::string {
  auto const found = m_services.find(service);
  return found == m_services.end() ? std::string() : found->second.health_path;
}

auto TrafficView::gateway_count() const -> std::uint32_t {
  return m_gateways == 0 ? m_gateways_assumed : m_gateways;
}

auto TrafficView::describe(traffic::TrafficUpdate const& update) const -> std::string {
  return "version " + std::to_string(m_version) + ", configuration " +
         std::to_string(m_configuration.value) + ", routes " +
         std::to_string(update.routes.size()) + ", instances " +
         std::to_string(update.instances.size()) + ", ranges " +
         std::to_string(update.ranges.size()) + ", tenants " +
         std::to_string(update.tenancy.tenants.size()) + ", gateways " + std::to_string(m_gateways);
}

}  // namespace graniteseam::gateway
