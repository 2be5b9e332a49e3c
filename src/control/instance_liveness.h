/// @file
/// When the leader last heard of each instance.
#pragma once

#include <map>

#include "graniteseam/common/time.h"
#include "graniteseam/traffic/instance.h"

namespace graniteseam::control {

/// A hint, not a proof: an instance that is not heard of may still serve, cut off from control
/// only. Not thread safe.
class InstanceLiveness {
 public:
  /// @param silence after which an instance gets nothing new.
  /// @param now the start of a leadership: all instances count as heard then.
  InstanceLiveness(Duration silence, Instant now) : silence_(silence), start_(now) {}

  void Heard(const traffic::InstanceId& id, Instant now) { heard_[id] = now; }

  bool Silent(const traffic::InstanceId& id, Instant now) const {
    const auto found = heard_.find(id);
    return now - (found == heard_.end() ? start_ : found->second) > silence_;
  }

  bool HeardSince(const traffic::InstanceId& id, Instant since) const {
    const auto found = heard_.find(id);
    return found != heard_.end() && found->second >= since;
  }

 private:
  const Duration silence_;
  const Instant start_;
  std::map<traffic::InstanceId, Instant> heard_;
};

}  // namespace graniteseam::control
