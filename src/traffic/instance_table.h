/// @file
/// The instances that registered themselves: part of the replicated state.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <vector>

#include "graniteseam/traffic/instance.h"

namespace graniteseam::traffic {

/// Invariants: an instance that was deregistered never comes back, a displaced one only when nobody
/// holds its address and somebody proposes it (WouldChange() asks for no such proposal), a draining
/// one never takes new work again, and of the instances at one address at most one is not gone.
/// Answers the failure: a heartbeat that arrives after its instance has ended, also after the first
/// one of the next process at its address. Not thread safe.
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
  /// @return whether anything changed.
  bool Deregister(const InstanceId& id, std::uint64_t log_index);

  const Instance* Find(const InstanceId& id) const;
  /// The instance at an address that is not gone; null when there is none.
  const Instance* HolderOf(const std::string& address) const;
  const std::map<InstanceId, Instance>& instances() const { return instances_; }
  /// Log index of the newest change.
  std::uint64_t changed_at() const { return changed_at_; }

  /// Adds the instances that changed after `base`; the whole leaves out those that are gone.
  void AddChanges(std::uint64_t base, std::vector<Instance>& changed) const;

  std::vector<Instance> Image() const;
  void Restore(const std::vector<Instance>& image);

 private:
  /// The instance holds the address that it reported no more.
  void ForgetHolder(const InstanceReport& report);
  void ForgetOldTombstones();
  /// What a heartbeat makes of an instance; nullopt when it changes nothing.
  std::optional<Instance> Changed(const InstanceReport& report) const;

  std::map<InstanceId, Instance> instances_;
  std::map<std::string, InstanceId> holders_;  ///< By address, of those not gone.
  std::uint64_t changed_at_ = 0;
};

}  // namespace graniteseam::traffic
