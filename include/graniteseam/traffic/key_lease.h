/// @file
/// Key leases carried by heartbeats: the keys that an instance reports as held, and the keys that
/// the response leases to it. docs/design/leases-by-heartbeat.md explains why this is safe.
#pragma once

#include <boost/describe/class.hpp>
#include <string>
#include <vector>

#include "graniteseam/common/time.h"
#include "graniteseam/traffic/key_range.h"

namespace graniteseam::traffic {

/// Keys that an instance holds, or for which requests are still running.
struct HeldSpan {
  KeySpan span;
  Fence fence;

  bool operator==(const HeldSpan&) const = default;
};

/// Keys that an instance released since its last acknowledged heartbeat because a response no
/// longer listed them. Expired leases are not included.
struct ReleasedSpan {
  KeySpan span;
  std::string handover;  ///< Opaque data for the next owner; may be empty.

  bool operator==(const ReleasedSpan&) const = default;
};

/// The keys in an instance's heartbeat.
struct HeldKeys {
  std::vector<HeldSpan> held;
  std::vector<ReleasedSpan> released;

  bool operator==(const HeldKeys&) const = default;
};

/// Keys leased to an instance.
struct LeasedSpan {
  KeySpan span;
  Fence fence;
  std::string handover;  ///< Opaque data from the previous owner; may be empty.

  bool operator==(const LeasedSpan&) const = default;
};
BOOST_DESCRIBE_STRUCT(LeasedSpan, (), (span, fence, handover))

/// The complete set of keys leased to an instance, which releases all others.
struct KeyLeases {
  std::vector<LeasedSpan> spans;
  /// Lease duration, counted from when the instance sent its heartbeat.
  std::int64_t length_ms = 0;

  bool operator==(const KeyLeases&) const = default;
};
BOOST_DESCRIBE_STRUCT(KeyLeases, (), (spans, length_ms))

}  // namespace graniteseam::traffic
