/// @file
/// Which keys a stand-in instance holds, under which fences and since when: what the interface says
/// of an instance, apart from how it is told.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "graniteseam/common/time.h"

namespace graniteseam::testbed {

/// A span of keys that an instance holds or held.
struct HeldSpan {
  std::uint32_t first = 0;
  std::uint32_t last = 0;
  std::uint64_t fence = 0;
  Instant until{};
  Instant since{};
};

/// Not thread safe.
struct HeldKeys {
  std::vector<HeldSpan> held;  ///< Disjoint; what has run out stays until DropExpired().
  std::vector<HeldSpan> seen;  ///< Spans whose fences came in grants and releases.
  std::vector<HeldSpan> past;  ///< What ended, with `until` as the instant when it did.
};

/// Takes a grant or its renewal at `span.since`.
/// @return false, and nothing changes, when a higher fence was seen on one of the keys.
auto Take(HeldKeys& keys, HeldSpan const& span) -> bool;

/// Ends what is held of the span's keys, and remembers its fence.
/// @return the parts that were held and had not run out.
auto LetGo(HeldKeys& keys, HeldSpan const& span, Instant now) -> std::vector<HeldSpan>;

/// Takes all that an instance is to hold, as the answer to a heartbeat tells it: rows whose fence
/// is too low are passed over, what no row names is let go of.
/// @return the parts that were let go of and had not run out.
auto TakeWhole(HeldKeys& keys, std::vector<HeldSpan> const& rows, Instant now)
    -> std::vector<HeldSpan>;

/// @return who holds the key at `now`, or null; valid until the keys change.
auto HolderOf(HeldKeys const& keys, std::uint32_t key, Instant now) -> HeldSpan const*;

auto DropExpired(HeldKeys& keys, Instant now) -> void;

/// All that was ever held, one entry a grant, as if the instance ended at `now`.
auto AllHolds(HeldKeys const& keys, Instant now) -> std::vector<HeldSpan>;

auto Overlap(HeldSpan const& a, HeldSpan const& b) -> bool;

}  // namespace graniteseam::testbed
