/// @file
/// Key ranges: which instance of a keyed service exclusively owns which keys.
#pragma once

#include <boost/describe/class.hpp>
#include <boost/describe/enum.hpp>
#include <cstdint>
#include <string>

#include "graniteseam/common/ids.h"
#include "graniteseam/traffic/instance.h"

namespace graniteseam::traffic {

/// Keys are integers from 0 to this, inclusive.
inline constexpr std::uint32_t kLastKey = 65'535;

/// A fencing token, which increases with each change of a key's owner. It is a log index, so that
/// each decision has a distinct one.
using Fence = NumericId<struct FenceTag>;

/// An interval of keys; both ends are included.
struct KeySpan {
  std::uint32_t first = 0;
  std::uint32_t last = 0;

  std::uint32_t size() const { return last - first + 1; }
  bool Contains(std::uint32_t key) const { return first <= key && key <= last; }
  bool Contains(const KeySpan& part) const { return first <= part.first && part.last <= last; }
  bool Overlaps(const KeySpan& other) const { return first <= other.last && other.first <= last; }
  bool operator==(const KeySpan&) const = default;
};
BOOST_DESCRIBE_STRUCT(KeySpan, (), (first, last))

/// The ownership phase of a key range.
enum class RangePhase {
  kUnowned,    ///< No instance owns the keys.
  kGranting,   ///< Assigned to an owner that has not confirmed its grant yet.
  kServing,    ///< The owner has confirmed its grant.
  kReleasing,  ///< The owner finishes running requests; new ones wait for the next owner.
};
BOOST_DESCRIBE_ENUM(RangePhase, kUnowned, kGranting, kServing, kReleasing)

/// A span of a service's keys with its owner.
struct KeyRange {
  ServiceName service;
  KeySpan span;
  RangePhase phase = RangePhase::kUnowned;
  InstanceId owner;      ///< Empty while unowned.
  Fence fence;           ///< Fence of the owner's grant; while releasing, that of the release.
  InstanceId successor;  ///< While releasing: the planned next owner; may be empty.
  std::string handover;  ///< Opaque data from the previous owner's release; may be empty.
  std::uint64_t changed_at = 0;  ///< Log index of the last change.

  /// Whether the keys have an owner that is not releasing them.
  bool Owned() const { return phase == RangePhase::kGranting || phase == RangePhase::kServing; }
  bool operator==(const KeyRange&) const = default;
};
BOOST_DESCRIBE_STRUCT(KeyRange, (),
                      (service, span, phase, owner, fence, successor, handover, changed_at))

}  // namespace graniteseam::traffic
