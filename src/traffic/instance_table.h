/// @file
/// The instances that registered themselves: part of the replicated state.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "graniteseam/traffic/instance.h"

namespace graniteseam::traffic {

/// Invariants: an instance that was deregistered never comes back, a displaced one only when nobody
/// holds its address and somebody proposes it (WouldChange() asks for no such proposal), a draining
/// one never takes new work again, and of the instances at one address, as of the lives under one
/// name, at most one is not gone. Answers the failure: a heartbeat that arrives after its instance
/// has ended, also after the first one of the next process at its address, or under its name. Not
/// thread safe.
class InstanceTable {
 public:
  /// Takes a heartbeat.
  /// @return the instances that changed.
  std::vector<InstanceId> Report(const InstanceReport& report, std::uint64_t log_index);

  /// Whether a heartbeat must be committed before it is acknowledged. One of a displaced instance
  /// need not, unless it says that it drains: it may be late.
  bool WouldChange(const InstanceReport& report) const;

  /// Keeps a tombstone also for an instance that was never seen, so that a heartbeat which arrives
  /// late does not bring it back.
  /// @param id a life, or a name: then its newest life.
  /// @return whether anything changed.
  bool Deregister(const InstanceId& id, std::uint64_t log_index);

  /// Drains a zone, or takes it back: its instances get no new work as long as it is drained, also
  /// those that come meanwhile. One that is taken back counts as warming up until it tells.
  /// @return whether anything changed.
  bool DrainZone(const ZoneName& zone, bool drained, std::uint64_t log_index);
  /// Whether some instance takes new work now and none would with the zone drained.
  bool WouldDrainLastReadyZone(const ZoneName& zone) const;
  const std::set<ZoneName>& drained_zones() const { return drained_zones_; }

  const Instance* Find(const InstanceId& id) const;
  /// The instance at an address that is not gone; null when there is none.
  const Instance* FindByAddress(const std::string& address) const;
  /// The newest life under the name of `id`; null when no life of it told when it began.
  const Instance* NewestIncarnation(const InstanceId& id) const;
  const std::map<InstanceId, Instance>& instances() const { return instances_; }
  /// Log index of the newest change.
  std::uint64_t changed_at() const { return changed_at_; }

  /// Adds the instances that changed after `base`; the whole leaves out those that are gone.
  void AddChanges(std::uint64_t base, std::vector<Instance>& changed) const;

  std::vector<Instance> Image() const;
  /// Takes the instances, and no zone for drained.
  void Restore(const std::vector<Instance>& image);
  /// Takes the drained zones after Restore(), whose instances tell of them already.
  void RestoreZones(const std::vector<ZoneName>& drained) {
    drained_zones_ = {drained.begin(), drained.end()};
  }

 private:
  /// The instance holds the address that it reported no more.
  void RemoveFromAddressIndex(const InstanceReport& report);
  void EvictOldestTombstone();
  /// What a heartbeat makes of an instance; nullopt when it changes nothing.
  std::optional<Instance> Changed(const InstanceReport& report) const;
  /// The same of an instance that was never heard of.
  Instance NewInstance(const InstanceReport& report) const;
  InstanceState StateOf(const InstanceReport& report) const;
  /// Ends whoever is known in the place of an instance that reports: at its address, or the life
  /// before it under its name.
  void Displace(const Instance* former, const InstanceId& successor, std::uint64_t log_index,
                std::vector<InstanceId>& changed);
  void RecordIncarnation(const InstanceId& id);

  std::map<InstanceId, Instance> instances_;
  std::map<std::string, InstanceId> instances_by_address_;  ///< By address, of those not gone.
  std::map<std::string, InstanceId>
      newest_incarnations_;  ///< By name, of those that tell their start.
  std::set<ZoneName> drained_zones_;
  std::uint64_t changed_at_ = 0;
};

}  // namespace graniteseam::traffic
