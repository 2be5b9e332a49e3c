/// @file
/// Who owns which keys, as the gateway was told.
#pragma once

#include <cstdint>
#include <map>
#include <vector>

#include "graniteseam/common/time.h"
#include "graniteseam/traffic/update.h"

namespace graniteseam::gateway {

/// Updates bring ranges that override what was known of their keys. Not thread safe.
class KeyMap {
 public:
  /// Takes an update's ranges; one with base 0 replaces all.
  void Apply(const traffic::TrafficUpdate& update);

  /// @return null when nothing is known of the key; valid until the next Apply().
  const traffic::KeyRange* Find(const ServiceName& service, std::uint32_t key) const;

  /// The owner that is known here said that it does not own the range: this map is behind. It is
  /// not asked again before `until`, unless an update changes the range.
  void MarkOwnerStale(const traffic::KeyRange& range, Instant until);
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
