/// @file
/// The registered instances: part of the replicated state.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "graniteseam/traffic/instance.h"

namespace graniteseam::traffic {

/// The registered instances, indexed by id, address and server name.
///
/// Invariants:
/// - A deregistered instance never becomes active again.
/// - A displaced instance becomes active again only by ReverseDisplacement(), or by a committed
///   report while no other instance has its address. WouldChange() does not request such a commit.
/// - A draining instance never accepts new work again.
/// - At most one instance per address, and one incarnation per server name, is not gone.
///
/// This guards against heartbeats that arrive after their instance has ended, including those that
/// arrive after the first heartbeat of the next process at its address or under its name. Not
/// thread safe.
class InstanceTable {
 public:
  /// Applies a committed heartbeat.
  /// @return the instances that changed.
  std::vector<InstanceId> Report(const InstanceReport& report, std::uint64_t log_index);

  /// Whether a heartbeat must be committed before it is acknowledged. One from a displaced instance
  /// need not be, since it may be late, unless it newly reports draining.
  bool WouldChange(const InstanceReport& report) const;

  /// Marks an instance as deregistered. A tombstone is kept even for an unknown instance, so that a
  /// late heartbeat does not register it.
  /// @param id an incarnation, or a server name for its newest incarnation.
  /// @return whether anything changed.
  bool Deregister(const InstanceId& id, std::uint64_t log_index);

  /// Makes a displaced instance active again and displaces its successor. May be applied to the
  /// same pair in turn: which of the two is running is never certain.
  /// @return whether anything changed; false when another instance has the address by now.
  bool ReverseDisplacement(const InstanceId& displaced, const InstanceId& successor,
                           std::uint64_t log_index);

  /// Drains or undrains a zone. Instances of a drained zone, including those that register later,
  /// get no new work. After the undrain an instance counts as warming up until its next heartbeat.
  /// @return whether anything changed.
  bool DrainZone(const ZoneName& zone, bool drained, std::uint64_t log_index);
  /// Whether draining the zone would leave no instance that accepts new work, while there is one
  /// now.
  bool WouldDrainLastReadyZone(const ZoneName& zone) const;
  const std::set<ZoneName>& drained_zones() const { return drained_zones_; }

  const Instance* Find(const InstanceId& id) const;
  /// The active instance at an address; null when there is none.
  const Instance* FindByAddress(const std::string& address) const;
  /// The newest incarnation under the server name of `id`; null when none reported a start time.
  const Instance* NewestIncarnation(const InstanceId& id) const;
  const std::map<InstanceId, Instance>& instances() const { return instances_; }
  /// Log index of the last change.
  std::uint64_t changed_at() const { return changed_at_; }

  /// Adds the instances that changed after `base`. When `base` is 0, ended instances are omitted.
  void AddChanges(std::uint64_t base, std::vector<Instance>& changed) const;

  std::vector<Instance> Image() const;
  /// Restores the instances and clears the drained zones.
  void Restore(const std::vector<Instance>& image);
  /// Restores the drained zones. Called after Restore(), which restores the instances' states.
  void RestoreZones(const std::vector<ZoneName>& drained) {
    drained_zones_ = {drained.begin(), drained.end()};
  }

 private:
  /// Removes the instance from the address index.
  void RemoveFromAddressIndex(const InstanceReport& report);
  void EvictOldestTombstone();
  /// The state of an instance after a heartbeat; nullopt when nothing changes.
  std::optional<Instance> Changed(const InstanceReport& report) const;
  /// The state of an unknown instance after its first heartbeat.
  Instance NewInstance(const InstanceReport& report) const;
  InstanceState StateOf(const InstanceReport& report) const;
  /// Marks `former`, which has the successor's address or server name, as displaced. No effect when
  /// it is null, gone or the successor itself.
  /// @param changed receives the id of the displaced instance.
  void Displace(const Instance* former, const InstanceId& successor, std::uint64_t log_index,
                std::vector<InstanceId>& changed);
  /// Updates the newest incarnation of the server name, if the id has a start time.
  void RecordIncarnation(const InstanceId& id);

  std::map<InstanceId, Instance> instances_;
  std::map<std::string, InstanceId> instances_by_address_;  ///< Active ones only.
  std::map<std::string, InstanceId>
      newest_incarnations_;  ///< By server name; only ids with a start time.
  std::set<ZoneName> drained_zones_;
  std::uint64_t changed_at_ = 0;
};

}  // namespace graniteseam::traffic
