/// @file
/// Who owns which keys, as the gateway was told.
#pragma once

#include <cstdint>
#include <map>
#include <vector>

#include "graniteseam/traffic/update.h"

namespace graniteseam::gateway {

/// Updates bring ranges that override what was known of their keys. Not thread safe.
class KeyMap {
 public:
  /// Takes an update's ranges; one with base 0 replaces all.
  void Apply(const traffic::TrafficUpdate& update);

  /// @return null when nothing is known of the key; valid until the next Apply().
  const traffic::KeyRange* Find(const ServiceName& service, std::uint32_t key) const;

 private:
  using Ranges = std::map<std::uint32_t, traffic::KeyRange>;  ///< By their first key.

  static void Override(Ranges& ranges, const traffic::KeyRange& range);

  std::map<ServiceName, Ranges> services_;
};

}  // namespace graniteseam::gateway
