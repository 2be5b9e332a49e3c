/// @file
/// The tenants, found by the digests of their API keys, as received from control.
#pragma once

#include <map>
#include <set>
#include <string>
#include <unordered_map>

#include "graniteseam/traffic/update.h"

namespace graniteseam::gateway {

/// API keys take effect, and lose effect, with the update that adds or removes them. Not thread
/// safe.
class TenantTable {
 public:
  /// Applies an update's tenants; one with base 0 replaces all.
  auto apply(traffic::TrafficUpdate const& update) -> void;

  /// Whether requests need an API key. If so, keys are for gateways only and are hidden from
  /// servers.
  auto keys_required() const -> bool { return m_keys_required; }
  /// Whether a route admits requests without a known API key.
  auto is_anonymous(traffic::RouteName const& route) const -> bool;

  /// @return the tenant that holds a key, null when there is none; valid until the next apply().
  auto find(traffic::KeyDigest const& key) const -> traffic::Tenant const*;
  auto tenants() const -> std::map<traffic::TenantName, traffic::Tenant> const& {
    return m_tenants;
  }

 private:
  auto remove(traffic::TenantName const& name) -> void;

  bool m_keys_required = false;
  std::map<traffic::TenantName, traffic::Tenant> m_tenants;
  std::unordered_map<traffic::KeyDigest, traffic::TenantName> m_holders;
  std::set<traffic::RouteName> m_anonymous;
};

}  // namespace graniteseam::gateway
