#include "src/gateway/tenant_table.h"

namespace graniteseam::gateway {

auto TenantTable::apply(traffic::TrafficUpdate const& update) -> void {
  if (update.base == 0) {
    m_tenants.clear();
    m_holders.clear();
    m_anonymous.clear();
  }
  auto const& tenancy = update.tenancy;
  m_keys_required = tenancy.keys_required;
  for (auto const& route : update.removed_routes) m_anonymous.erase(route);
  for (auto const& route : update.routes) m_anonymous.erase(route.name);
  m_anonymous.insert(tenancy.anonymous_routes.begin(), tenancy.anonymous_routes.end());
  // A key may move from one tenant to another in one update: removals come first.
  for (auto const& name : tenancy.removed_tenants) remove(name);
  for (auto const& tenant : tenancy.tenants) remove(tenant.name);
  for (auto const& tenant : tenancy.tenants) {
    m_tenants[tenant.name] = tenant;
    for (auto const& key : tenant.keys) m_holders[key] = tenant.name;
  }
}

auto TenantTable::remove(traffic::TenantName const& name) -> void {
  auto const found = m_tenants.find(name);
  if (found == m_tenants.end()) return;
  for (auto const& key : found->second.keys) m_holders.erase(key);
  m_tenants.erase(found);
}

auto TenantTable::is_anonymous(traffic::RouteName const& route) const -> bool {
  return m_anonymous.contains(route);
}

auto TenantTable::find(traffic::KeyDigest const& key) const -> traffic::Tenant const* {
  auto const holder = m_holders.find(key);
  return holder == m_holders.end() ? nullptr : &m_tenants.at(holder->second);
}

}  // namespace graniteseam::gateway
