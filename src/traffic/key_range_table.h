/// @file
/// Who owns which keys of the keyed services: part of the replicated state.
#pragma once

#include <boost/describe/class.hpp>
#include <cstdint>
#include <map>
#include <vector>

#include "graniteseam/traffic/key_range.h"

namespace graniteseam::traffic {

/// Decides the next owner of a span. Its proposer knows that no other instance can act for those
/// keys any more: the owner at `expected` released them, or its grant has run out, or it is gone.
struct RangeAssignment {
  ServiceName service;
  KeySpan span;
  Fence expected;    ///< The fence that the span has now; another one voids the assignment.
  InstanceId owner;  ///< Empty: nobody for now.
  std::string handover;

  bool operator==(const RangeAssignment&) const = default;
};
BOOST_DESCRIBE_STRUCT(RangeAssignment, (), (service, span, expected, owner, handover))

/// Begins a planned change of owner of a span, which may be a part of a range.
struct RangeRelease {
  ServiceName service;
  KeySpan span;
  Fence expected;
  InstanceId successor;

  bool operator==(const RangeRelease&) const = default;
};
BOOST_DESCRIBE_STRUCT(RangeRelease, (), (service, span, expected, successor))

/// The owner of a span confirmed its grant.
struct RangeConfirmation {
  ServiceName service;
  KeySpan span;
  Fence fence;

  bool operator==(const RangeConfirmation&) const = default;
};
BOOST_DESCRIBE_STRUCT(RangeConfirmation, (), (service, span, fence))

/// Invariants: the ranges of a service cover all keys without overlap; the fence of a key never
/// falls and rises with each change of its owner. Not thread safe.
class KeyRangeTable {
 public:
  using Ranges = std::map<std::uint32_t, KeyRange>;  ///< By their first key.

  /// Adds a service with one unowned range; nothing when it is there.
  void AddService(const ServiceName& service, std::uint64_t log_index);

  /// Each takes effect only when the whole span stands within one range with the expected fence.
  /// @return whether it took effect.
  bool Assign(const RangeAssignment& assignment, std::uint64_t log_index);
  bool BeginRelease(const RangeRelease& release, std::uint64_t log_index);
  bool Confirm(const RangeConfirmation& confirmation, std::uint64_t log_index);

  const std::map<ServiceName, Ranges>& services() const { return services_; }
  const KeyRange* Find(const ServiceName& service, std::uint32_t key) const;
  /// Log index of the newest change.
  std::uint64_t changed_at() const { return changed_at_; }

  /// The same of changes that routers must know at once. That a span which is on its way has its
  /// next owner is not one: they wait until that owner serves.
  std::uint64_t urgent_changed_at() const { return urgent_changed_at_; }

  /// Adds the ranges that changed after `base`, in the order of their changes, with what routers
  /// need of them.
  void AddChanges(std::uint64_t base, std::vector<KeyRange>& changed) const;

  std::vector<KeyRange> Image() const;
  void Restore(const std::vector<KeyRange>& image);

 private:
  /// Makes a range of exactly `span`, cut out of the one that holds it.
  /// @return null when no range with this fence holds the whole span.
  KeyRange* SplitOut(const ServiceName& service, const KeySpan& span, Fence expected,
                     std::uint64_t log_index);
  void MergeNeighbours(const ServiceName& service, std::uint32_t first);

  std::map<ServiceName, Ranges> services_;
  std::uint64_t changed_at_ = 0;
  std::uint64_t urgent_changed_at_ = 0;
};

}  // namespace graniteseam::traffic
