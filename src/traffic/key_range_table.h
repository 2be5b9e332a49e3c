/// @file
/// The owners of the key ranges of keyed services: part of the replicated state.
#pragma once

#include <boost/describe/class.hpp>
#include <cstdint>
#include <map>
#include <vector>

#include "graniteseam/traffic/key_range.h"

namespace graniteseam::traffic {

/// Assigns a span to its next owner. The proposer must have established that no other instance can
/// act as owner of those keys: the owner at `expected` released them, its grant has expired, or it
/// has ended.
struct RangeAssignment {
  ServiceName service;
  KeySpan span;
  Fence expected;        ///< Current fence of the span; on a mismatch there is no effect.
  InstanceId owner;      ///< Empty to leave the span unowned.
  std::string handover;  ///< Opaque data from the previous owner.

  bool operator==(const RangeAssignment&) const = default;
};
BOOST_DESCRIBE_STRUCT(RangeAssignment, (), (service, span, expected, owner, handover))

/// Begins a planned change of owner of a span, which may be part of a range.
struct RangeRelease {
  ServiceName service;
  KeySpan span;
  Fence expected;        ///< Current fence of the span; on a mismatch there is no effect.
  InstanceId successor;  ///< The planned next owner; may be empty.

  bool operator==(const RangeRelease&) const = default;
};
BOOST_DESCRIBE_STRUCT(RangeRelease, (), (service, span, expected, successor))

/// Records that the owner of a span confirmed its grant.
struct RangeConfirmation {
  ServiceName service;
  KeySpan span;
  Fence fence;

  bool operator==(const RangeConfirmation&) const = default;
};
BOOST_DESCRIBE_STRUCT(RangeConfirmation, (), (service, span, fence))

/// The key ranges of all keyed services.
///
/// Invariants: the ranges of a service cover all keys without overlap; the fence of a key never
/// decreases, and it increases with each change of its owner. Not thread safe.
class KeyRangeTable {
 public:
  using Ranges = std::map<std::uint32_t, KeyRange>;  ///< Keyed by first key.

  /// Adds a service with a single unowned range; no effect when it exists.
  void AddService(const ServiceName& service, std::uint64_t log_index);

  /// Assign(), BeginRelease() and Confirm() take effect only when the whole span lies within one
  /// range with the expected fence.
  /// @return whether it took effect.
  bool Assign(const RangeAssignment& assignment, std::uint64_t log_index);
  bool BeginRelease(const RangeRelease& release, std::uint64_t log_index);
  bool Confirm(const RangeConfirmation& confirmation, std::uint64_t log_index);

  const std::map<ServiceName, Ranges>& services() const { return services_; }
  const KeyRange* Find(const ServiceName& service, std::uint32_t key) const;
  /// Log index of the last change.
  std::uint64_t changed_at() const { return changed_at_; }

  /// Log index of the last change that must reach routers without delay. Assigning the next owner
  /// of a releasing span is not urgent, since routers wait until that owner serves.
  std::uint64_t urgent_changed_at() const { return urgent_changed_at_; }

  /// Appends the ranges that changed after `base` in the order of their changes, reduced to the
  /// fields that routers need.
  void AddChanges(std::uint64_t base, std::vector<KeyRange>& changed) const;

  std::vector<KeyRange> Image() const;
  void Restore(const std::vector<KeyRange>& image);

 private:
  /// Splits the range that contains `span` so that `span` becomes a range of its own.
  /// @return null when no range with the expected fence contains the whole span.
  KeyRange* SplitOut(const ServiceName& service, const KeySpan& span, Fence expected,
                     std::uint64_t log_index);
  void MergeNeighbours(const ServiceName& service, std::uint32_t first);

  std::map<ServiceName, Ranges> services_;
  std::uint64_t changed_at_ = 0;
  std::uint64_t urgent_changed_at_ = 0;
};

}  // namespace graniteseam::traffic
