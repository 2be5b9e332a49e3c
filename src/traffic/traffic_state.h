/// @file
/// The replicated state of traffic: configuration, instances, key ranges and
/// suspects behind one class.
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

/// All of a TrafficState, for snapshots.
struct TrafficImage {
  ConfigurationImage configuration;
  std::vector<Instance> instances;
  std::vector<KeyRange> ranges;
  std::uint64_t version = 0;
};
BOOST_DESCRIBE_STRUCT(TrafficImage, (), (configuration, instances, ranges, version))

/// The zones that operators drain, for snapshots.
struct ZoneDrainImage {
  std::vector<ZoneName> zones;
};
BOOST_DESCRIBE_STRUCT(ZoneDrainImage, (), (zones))

/// Deterministic; changed only by entries of the log, whose index becomes the version. Not thread
/// safe.
class TrafficState {
 public:
  /// @return errors of ConfigurationStore::Apply().
  Result<void> Apply(const ConfigurationChange& change, std::uint64_t log_index);
  void Report(const std::vector<InstanceReport>& reports, std::uint64_t log_index);
  void Deregister(const InstanceId& id, std::uint64_t log_index);
  /// Drains a zone, or takes it back; the same again changes nothing.
  /// @return kFailedPrecondition when no instance of another zone takes work: a drain moves work
  /// elsewhere, and is no way to stop the service.
  Result<void> DrainZone(const ZoneName& zone, bool drained, std::uint64_t log_index);
  void Assign(const std::vector<RangeAssignment>& assignments, std::uint64_t log_index);
  void BeginReleases(const std::vector<RangeRelease>& releases, std::uint64_t log_index);
  void Confirm(const std::vector<RangeConfirmation>& confirmations, std::uint64_t log_index);

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

  /// Whether the instances of a service are given their keys in answers to their heartbeats.
  bool LeasedByHeartbeat(const ServiceName& service) const;

  /// Log index of the newest change; 0 when nothing ever changed.
  std::uint64_t version() const;

  /// Instances and ranges: what an update is searched in.
  std::size_t item_count() const;

  /// Log index of the newest change that routers must know at once.
  std::uint64_t urgent_version() const;

  /// What changed after `base`, or the whole state when base is 0 or unknown here.
  TrafficUpdate UpdateSince(std::uint64_t base) const;

  /// Without the suspects, the drained zones and the tenants, which have images of their own.
  TrafficImage Image() const;
  ZoneDrainImage ZoneDrains() const;
  void Restore(TrafficImage image);
  void Restore(const SuspectImage& image) { suspects_.Restore(image); }
  void Restore(const ZoneDrainImage& image) { instances_.RestoreZones(image.zones); }
  void Restore(const TenancyImage& image) { configuration_.Restore(image); }

 private:
  /// A service that became keyed gets its keys. They are kept when it is dropped: its servers may
  /// hold grants for some time, and the service may come back.
  void AddKeyedServices(std::uint64_t log_index);

  ConfigurationStore configuration_;
  InstanceTable instances_;
  KeyRangeTable ranges_;
  SuspectTable suspects_;
};

}  // namespace graniteseam::traffic
