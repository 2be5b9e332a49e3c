/// @file
/// Leases of keys that travel in heartbeats: what an instance says of the keys that it holds, and
/// what the answer leases to it. docs/design/leases-by-heartbeat.md says why this is safe.
#pragma once

#include <boost/describe/class.hpp>
#include <string>
#include <vector>

#include "graniteseam/common/time.h"
#include "graniteseam/traffic/key_range.h"

namespace graniteseam::traffic {

/// Keys that an instance holds, or still works on.
struct HeldSpan {
  KeySpan span;
  Fence fence;

  bool operator==(const HeldSpan&) const = default;
};

/// Keys that an instance let go of since its last acknowledged heartbeat, because an answer left
/// them out. What ran out by itself is not among them.
struct ReleasedSpan {
  KeySpan span;
  std::string handover;  ///< For the next owner; may be empty.

  bool operator==(const ReleasedSpan&) const = default;
};

/// What an instance says of its keys in a heartbeat.
struct HeldKeys {
  std::vector<HeldSpan> held;
  std::vector<ReleasedSpan> released;

  bool operator==(const HeldKeys&) const = default;
};

struct LeasedSpan {
  KeySpan span;
  Fence fence;
  std::string handover;  ///< What the last owner gave; may be empty.

  bool operator==(const LeasedSpan&) const = default;
};
BOOST_DESCRIBE_STRUCT(LeasedSpan, (), (span, fence, handover))

/// All keys that an instance is to hold. It lets go of every other.
struct KeyLeases {
  std::vector<LeasedSpan> spans;
  std::int64_t length_ms = 0;  ///< Counted by the instance from the sending of its heartbeat.

  bool operator==(const KeyLeases&) const = default;
};
BOOST_DESCRIBE_STRUCT(KeyLeases, (), (spans, length_ms))

}  // namespace graniteseam::traffic
