#include "graniteseam/routing/router_lease.h"

#include <algorithm>

namespace graniteseam::routing {

std::uint64_t RouterLease::Send(BundleVersion shown, Instant now) {
  awaited_[++last_sequence_] = {now, shown};
  if (awaited_.size() > kAwaitedMaximum) awaited_.erase(awaited_.begin());
  return last_sequence_;
}

bool RouterLease::Grant(std::uint64_t sequence, Duration length) {
  const auto found = awaited_.find(sequence);
  if (found == awaited_.end()) return false;
  valid_until_ = std::max(valid_until_, found->second.at + length);
  granted_for_ = std::max(granted_for_, found->second.shown);
  length_ = length;
  // Renewals sent before this one can no longer extend the lease.
  awaited_.erase(awaited_.begin(), std::next(found));
  return true;
}

}  // namespace graniteseam::routing
