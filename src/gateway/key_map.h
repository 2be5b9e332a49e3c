/// @file
/// The owners of key ranges, as received from control.
#pragma once

#include <cstdint>
#include <map>
#include <vector>

#include "graniteseam/common/time.h"
#include "graniteseam/traffic/update.h"

namespace graniteseam::gateway {

/// Maps keys to the ranges that own them. A range in an update overrides all earlier ones of its
/// keys. Not thread safe.
class KeyMap {
 public:
  /// Applies an update's ranges; one with base 0 replaces all.
  void Apply(const traffic::TrafficUpdate& update);

  /// @return null when the key is in no known range; valid until the next Apply().
  const traffic::KeyRange* Find(const ServiceName& service, std::uint32_t key) const;

  /// Records that the range's owner replied that it does not own the range, so this map is out of
  /// date. The owner gets no request for the range before `until`, unless an update changes the
  /// range.
  void MarkOwnerStale(const traffic::KeyRange& range, Instant until);
  /// Whether MarkOwnerStale() applies to the range now, in its current fence.
  bool IsOwnerStale(const traffic::KeyRange& range, Instant now) const;

 private:
  using Ranges = std::map<std::uint32_t, traffic::KeyRange>;  ///< By their first key.

  static void Override(Ranges& ranges, const traffic::KeyRange& range);

  struct StaleOwner {
    traffic::Fence fence;
    Instant until;
  };

  std::map<ServiceName, Ranges> services_;
  std::map<ServiceName, std::map<std::uint32_t, StaleOwner>> stale_owners_;  ///< By first key.
};

}  // namespace graniteseam::gateway
