/// @file
/// The replicated traffic state: configuration, instances, key ranges and suspects.
#pragma once

#include <boost/describe/class.hpp>
#include <cstddef>
#include <vector>

#include "graniteseam/common/error.h"
#include "graniteseam/traffic/update.h"
#include "src/traffic/configuration_store.h"
#include "src/traffic/instance_table.h"
#include "src/traffic/key_range_table.h"
#include "src/traffic/suspect_table.h"

namespace graniteseam::traffic {

/// Snapshot of a TrafficState without suspects, drained zones and tenants.
struct TrafficImage {
  ConfigurationImage configuration;
  std::vector<Instance> instances;
  std::vector<KeyRange> ranges;
  std::uint64_t version = 0;  ///< TrafficState::version() at the time of the snapshot.
};
BOOST_DESCRIBE_STRUCT(TrafficImage, (), (configuration, instances, ranges, version))

/// Snapshot of the zones that operators have drained.
struct ZoneDrainImage {
  std::vector<ZoneName> zones;
};
BOOST_DESCRIBE_STRUCT(ZoneDrainImage, (), (zones))

/// Combines the tables of the traffic state. Deterministic; changed only by log entries, whose
/// index becomes the version. Not thread safe.
class TrafficState {
 public:
  /// @return errors of ConfigurationStore::Apply().
  Result<void> Apply(const ConfigurationChange& change, std::uint64_t log_index);
  /// Applies committed heartbeats.
  void Report(const std::vector<InstanceReport>& reports, std::uint64_t log_index);
  /// Marks an instance as deregistered; see InstanceTable::Deregister().
  void Deregister(const InstanceId& id, std::uint64_t log_index);
  /// Reverses a displacement; see InstanceTable::ReverseDisplacement().
  void ReverseDisplacement(const InstanceId& displaced, const InstanceId& successor,
                           std::uint64_t log_index);
  /// Drains or undrains a zone; idempotent.
  /// @return kFailedPrecondition when no instance of another zone accepts new work. A drain moves
  /// work to other zones; it must not stop the service.
  Result<void> DrainZone(const ZoneName& zone, bool drained, std::uint64_t log_index);
  /// Apply changes of key ranges. Each one whose fence does not match is skipped; see
  /// KeyRangeTable.
  void Assign(const std::vector<RangeAssignment>& assignments, std::uint64_t log_index);
  void BeginReleases(const std::vector<RangeRelease>& releases, std::uint64_t log_index);
  void Confirm(const std::vector<RangeConfirmation>& confirmations, std::uint64_t log_index);

  /// Change the suspect requests; see SuspectTable.
  void RecordSuspects(const std::vector<SuspectRequest>& suspects, std::uint64_t log_index) {
    suspects_.Record(suspects, log_index);
  }
  void ClearSuspects(const std::vector<RequestDigest>& digests, std::uint64_t log_index) {
    suspects_.Clear(digests, log_index);
  }

  const ConfigurationStore& configuration() const { return configuration_; }
  const InstanceTable& instances() const { return instances_; }
  const KeyRangeTable& ranges() const { return ranges_; }
  const SuspectTable& suspects() const { return suspects_; }

  /// Whether the service's key leases are granted in the responses to heartbeats.
  bool LeasedByHeartbeat(const ServiceName& service) const;

  /// Log index of the last change; 0 before the first.
  std::uint64_t version() const;

  /// Number of instances and ranges, which an update has to scan.
  std::size_t item_count() const;

  /// Log index of the last change that must reach routers without delay.
  std::uint64_t urgent_version() const;

  /// The changes after `base`, or the whole state when `base` is 0 or newer than this state.
  TrafficUpdate UpdateSince(std::uint64_t base) const;

  /// The snapshot without suspects, drained zones and tenants, which have their own.
  TrafficImage Image() const;
  ZoneDrainImage ZoneDrains() const;
  void Restore(TrafficImage image);
  void Restore(const SuspectImage& image) { suspects_.Restore(image); }
  void Restore(const ZoneDrainImage& image) { instances_.RestoreZones(image.zones); }
  void Restore(const TenancyImage& image) { configuration_.Restore(image); }

 private:
  /// Adds the key ranges of services that became keyed. The ranges are kept when a service is
  /// removed, since its servers may hold grants for some time and the service may be added again.
  void AddKeyedServices(std::uint64_t log_index);

  ConfigurationStore configuration_;
  InstanceTable instances_;
  KeyRangeTable ranges_;
  SuspectTable suspects_;
};

}  // namespace graniteseam::traffic
