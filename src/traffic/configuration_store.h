/// @file
/// The current traffic configuration and its change history: part of the replicated state.
#pragma once

#include <boost/describe/class.hpp>
#include <cstdint>
#include <deque>
#include <string>
#include <vector>

#include "graniteseam/common/error.h"
#include "graniteseam/traffic/configuration.h"
#include "graniteseam/traffic/update.h"
#include "src/traffic/item_history.h"
#include "src/traffic/tenant_store.h"

namespace graniteseam::traffic {

/// Snapshot of a ConfigurationStore without its tenants.
struct ConfigurationImage {
  Configuration configuration;
  std::vector<std::string> accepted_digests;  ///< Oldest first.
  std::vector<ItemVersion> route_versions;
  std::vector<ItemVersion> service_versions;
  std::vector<ItemVersion> removed_routes;
  std::vector<ItemVersion> removed_services;
  std::uint64_t limits_changed_at = 0;
  std::uint64_t changed_at = 0;
};
BOOST_DESCRIBE_STRUCT(ConfigurationImage, (),
                      (configuration, accepted_digests, route_versions, service_versions,
                       removed_routes, removed_services, limits_changed_at, changed_at))

/// Holds the current configuration and applies changes by compare-and-set.
///
/// Invariant: the version only increases, and each accepted version is based on the previous one.
/// Not thread safe.
class ConfigurationStore {
 public:
  /// Applies a change that is based on the current version and results in a valid configuration.
  /// A resent change that was accepted before succeeds without effect.
  /// @param log_index becomes the version of what changes.
  /// @return kVersionConflict when another version is current, kInvalidArgument when the result
  ///     would be invalid; the state is unchanged then.
  Result<void> Apply(const ConfigurationChange& change, std::uint64_t log_index);

  /// Bytes that the configuration takes in memory, its tenants included.
  std::size_t Bytes() const;
  /// Bytes that it would take after a change.
  std::size_t BytesAfter(const ConfigurationChange& change) const;

  const Configuration& current() const { return configuration_; }
  const Tenancy& tenancy() const { return tenants_.current(); }
  /// Log index of the last change.
  std::uint64_t changed_at() const { return changed_at_; }

  /// Adds the changes after `base` to an update; the whole state when `base` is 0.
  void AddChanges(std::uint64_t base, TrafficUpdate& update) const;

  /// The snapshot without the tenants, which Tenants() returns.
  ConfigurationImage Image() const;
  void Restore(ConfigurationImage image);
  TenancyImage Tenants() const { return tenants_.Image(); }
  void Restore(const TenancyImage& image) { tenants_.Restore(image); }

  /// @return nullptr when the configuration has no such service.
  const Service* FindService(const ServiceName& name) const;

 private:
  bool WasAccepted(const std::string& digest) const;
  Configuration Changed(const ConfigurationChange& change) const;

  Configuration configuration_;
  std::deque<std::string> accepted_digests_;
  ItemHistory routes_;
  ItemHistory services_;
  TenantStore tenants_;
  std::uint64_t limits_changed_at_ = 0;
  std::uint64_t changed_at_ = 0;
};

/// Validates a whole configuration.
/// @return kInvalidArgument with the name of the invalid item and the remedy.
Result<void> CheckConfiguration(const Configuration& configuration);

}  // namespace graniteseam::traffic
