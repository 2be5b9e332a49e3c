/// @file
/// Tenants: callers identified by their API keys, with their quotas.
#pragma once

#include <boost/describe/class.hpp>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "graniteseam/common/ids.h"
#include "graniteseam/traffic/configuration_ids.h"

namespace graniteseam::traffic {

/// Name of a tenant, unique within a configuration.
using TenantName = NameId<struct TenantNameTag>;

/// SHA-256 of an API key in hexadecimal digits. Keys are secrets: only the configuration that an
/// operator reads back contains one.
using KeyDigest = std::string;

/// The request rate that a tenant may send, over all gateways together.
struct TenantQuota {
  double rate_per_second = 0;  ///< 0: no limit.
  double burst = 0;            ///< Requests beyond the rate that may arrive at the same time.

  bool is_limited() const { return rate_per_second > 0; }
  bool operator==(const TenantQuota&) const = default;
};
BOOST_DESCRIBE_STRUCT(TenantQuota, (), (rate_per_second, burst))

/// A tenant of the configuration.
struct Tenant {
  TenantName name;
  std::vector<KeyDigest> keys;
  std::optional<std::int64_t> priority;  ///< Overrides the priority of the requests' routes.
  TenantQuota quota;
  std::string source;  ///< The item as submitted, in JSON, with its keys; empty in updates.

  bool operator==(const Tenant&) const = default;
};
BOOST_DESCRIBE_STRUCT(Tenant, (), (name, keys, priority, quota, source))

/// The tenants' part of a configuration change.
struct TenancyChange {
  /// Whether the change has a list of tenants. A whole configuration with such a list, even an
  /// empty one, makes API keys mandatory for callers.
  bool given = false;
  std::vector<Tenant> tenants;
  std::vector<TenantName> removed_tenants;
  /// The changed routes that require no API key.
  std::vector<RouteName> anonymous_routes;

  bool operator==(const TenancyChange&) const = default;
};
BOOST_DESCRIBE_STRUCT(TenancyChange, (), (given, tenants, removed_tenants, anonymous_routes))

/// The tenants' part of an update to gateways.
struct TenancyUpdate {
  bool keys_required = false;   ///< Requests need an API key, except on anonymous routes.
  std::vector<Tenant> tenants;  ///< New or changed, with `source` empty.
  std::vector<TenantName> removed_tenants;
  std::vector<RouteName> anonymous_routes;  ///< Those among the update's routes.

  bool operator==(const TenancyUpdate&) const = default;
};
BOOST_DESCRIBE_STRUCT(TenancyUpdate, (),
                      (keys_required, tenants, removed_tenants, anonymous_routes))

}  // namespace graniteseam::traffic
