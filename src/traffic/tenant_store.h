/// @file
/// The tenants of the current configuration and their change history: part of the replicated state.
#pragma once

#include <boost/describe/class.hpp>
#include <cstdint>
#include <set>
#include <vector>

#include "graniteseam/common/error.h"
#include "graniteseam/traffic/configuration.h"
#include "graniteseam/traffic/update.h"
#include "src/traffic/item_history.h"

namespace graniteseam::traffic {

/// The rules of one configuration for which callers may send requests.
struct Tenancy {
  bool keys_required = false;
  std::vector<Tenant> tenants;
  std::set<RouteName> anonymous_routes;

  /// The result of applying a change. A route that the change contains is anonymous only if the
  /// change lists it as such.
  Tenancy Changed(const ConfigurationChange& change) const;
};

/// Snapshot of a TenantStore.
struct TenancyImage {
  bool keys_required = false;
  std::vector<Tenant> tenants;
  std::vector<RouteName> anonymous_routes;
  std::vector<ItemVersion> tenant_versions;
  std::vector<ItemVersion> removed_tenants;
};
BOOST_DESCRIBE_STRUCT(TenancyImage, (),
                      (keys_required, tenants, anonymous_routes, tenant_versions, removed_tenants))

/// Validates the tenants of one configuration: unique names, valid quotas, and no key that belongs
/// to two tenants.
/// @return kInvalidArgument with the tenant's name and the remedy, never with a key.
Result<void> CheckTenancy(const Tenancy& tenancy);

/// The current tenants and their change history. Not thread safe.
class TenantStore {
 public:
  /// @param next must have passed CheckTenancy().
  void Replace(Tenancy next, std::uint64_t log_index);

  const Tenancy& current() const { return tenancy_; }

  /// Adds the changes after `base` to an update whose routes are already filled in.
  void AddChanges(std::uint64_t base, TrafficUpdate& update) const;

  TenancyImage Image() const;
  void Restore(const TenancyImage& image);

 private:
  Tenancy tenancy_;
  ItemHistory history_;
};

}  // namespace graniteseam::traffic
