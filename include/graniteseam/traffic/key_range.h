/// @file
/// Key ranges: which instance of a keyed service owns which keys, alone.
#pragma once

#include <boost/describe/class.hpp>
#include <boost/describe/enum.hpp>
#include <cstdint>
#include <string>

#include "graniteseam/common/ids.h"
#include "graniteseam/traffic/instance.h"

namespace graniteseam::traffic {

/// Keys are whole numbers from 0 to this.
inline constexpr std::uint32_t kLastKey = 65'535;

/// A fencing token: grows with each change of owner of a key. Taken from the log's index, so that
/// no two decisions share one.
using Fence = NumericId<struct FenceTag>;

/// Both ends belong to the span.
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

enum class RangePhase {
  kUnowned,
  kGranting,   ///< The owner is decided; it has not confirmed its grant.
  kServing,    ///< The owner confirmed.
  kReleasing,  ///< The owner finishes what runs; new requests wait for the next owner.
};
BOOST_DESCRIBE_ENUM(RangePhase, kUnowned, kGranting, kServing, kReleasing)

struct KeyRange {
  ServiceName service;
  KeySpan span;
  RangePhase phase = RangePhase::kUnowned;
  InstanceId owner;      ///< Empty while unowned.
  Fence fence;           ///< Of the owner's grant; of the release while releasing.
  InstanceId successor;  ///< While releasing: who is meant to be next; may be empty.
  std::string handover;  ///< What the last owner gave with its release; may be empty.
  std::uint64_t changed_at = 0;

  /// Whether somebody is meant to hold the keys, and to go on.
  bool Owned() const { return phase == RangePhase::kGranting || phase == RangePhase::kServing; }
  bool operator==(const KeyRange&) const = default;
};
BOOST_DESCRIBE_STRUCT(KeyRange, (),
                      (service, span, phase, owner, fence, successor, handover, changed_at))

}  // namespace graniteseam::traffic
