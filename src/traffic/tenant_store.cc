#include "src/traffic/tenant_store.h"

#include <algorithm>
#include <cmath>
#include <map>
#include <utility>

namespace graniteseam::traffic {
namespace {

boost::leaf::error_id Invalid(const Tenant& tenant, const std::string& what, std::string remedy) {
  return Fail(ErrorKind::kInvalidArgument, "Tenant " + tenant.name.value + " " + what + ".",
              std::move(remedy));
}

Result<void> CheckQuota(const Tenant& tenant) {
  const auto valid = [](double number) { return std::isfinite(number) && number >= 0; };
  if (valid(tenant.quota.rate_per_second) && valid(tenant.quota.burst)) return {};
  return Invalid(tenant, "has a rate or a burst that is negative or not finite",
                 "Use finite numbers of 0 or more; a rate of 0 means no limit.");
}

}  // namespace

Tenancy Tenancy::Changed(const ConfigurationChange& change) const {
  Tenancy next;
  if (!change.whole) next = *this;
  next.keys_required = next.keys_required || change.tenancy.given;
  for (const Route& route : change.routes) next.anonymous_routes.erase(route.name);
  for (const RouteName& route : change.removed_routes) next.anonymous_routes.erase(route);
  next.anonymous_routes.insert(change.tenancy.anonymous_routes.begin(),
                               change.tenancy.anonymous_routes.end());
  if (change.whole) {
    // Copied as sent, so that CheckTenancy() detects duplicate names.
    next.tenants = change.tenancy.tenants;
    return next;
  }
  RemoveItems(next.tenants, change.tenancy.removed_tenants);
  for (const Tenant& tenant : change.tenancy.tenants) PutItem(next.tenants, tenant);
  return next;
}

Result<void> CheckTenancy(const Tenancy& tenancy) {
  BOOST_LEAF_CHECK(CheckNames(tenancy.tenants, "tenant"));
  std::map<KeyDigest, const Tenant*> holders;
  for (const Tenant& tenant : tenancy.tenants) {
    BOOST_LEAF_CHECK(CheckQuota(tenant));
    for (const KeyDigest& key : tenant.keys) {
      const auto [holder, first] = holders.emplace(key, &tenant);
      if (!first && holder->second != &tenant) {
        return Invalid(tenant,
                       "has an API key that tenant " + holder->second->name.value + " has too",
                       "Give each key to one tenant.");
      }
    }
  }
  return {};
}

void TenantStore::Replace(Tenancy next, std::uint64_t log_index) {
  history_.NoteChanges(tenancy_.tenants, next.tenants, log_index);
  tenancy_ = std::move(next);
}

void TenantStore::AddChanges(std::uint64_t base, TrafficUpdate& update) const {
  update.tenancy.keys_required = tenancy_.keys_required;
  history_.AddChanged(tenancy_.tenants, base, update.tenancy.tenants);
  history_.AddRemoved(base, update.tenancy.removed_tenants);
  for (const Route& route : update.routes) {
    if (tenancy_.anonymous_routes.contains(route.name)) {
      update.tenancy.anonymous_routes.push_back(route.name);
    }
  }
}

TenancyImage TenantStore::Image() const {
  const auto& anonymous = tenancy_.anonymous_routes;
  return {tenancy_.keys_required,
          tenancy_.tenants,
          {anonymous.begin(), anonymous.end()},
          history_.Changed(),
          history_.Removed()};
}

void TenantStore::Restore(const TenancyImage& image) {
  const auto& anonymous = image.anonymous_routes;
  tenancy_ = {image.keys_required, image.tenants, {anonymous.begin(), anonymous.end()}};
  history_ = ItemHistory(image.tenant_versions, image.removed_tenants);
}

}  // namespace graniteseam::traffic
