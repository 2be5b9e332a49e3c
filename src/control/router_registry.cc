#include "src/control/router_registry.h"

namespace graniteseam::control {
namespace {

/// A router that has not polled for this long no longer takes part in the group's budgets. Longer
/// than the time that routers' budgets look back, so that what a lost router spent is not spent
/// again.
constexpr Duration kRouterRetention{15'000'000};
/// Time in which every router discovers a new leader.
constexpr Duration kDiscoveryTime{3'000'000};
/// Interval between recounts. Routers share budgets over seconds, so that a count of this age is
/// accurate enough.
constexpr Duration kCountInterval{100'000};
/// Maximum routers that are tracked; further ones get no index of their own.
constexpr std::size_t kRoutersMaximum = 16'384;

}  // namespace

void RouterRegistry::RecordPoll(const RouterId& router, Instant now) {
  const auto known = routers_.find(router);
  if (known != routers_.end()) {
    known->second.last_poll = now;
    return;
  }
  if (routers_.size() >= kRoutersMaximum) return;
  // Indexed after the others until the next recount.
  routers_[router] = {now, count_++};
}

std::uint32_t RouterRegistry::Count(Instant now) {
  if (now - start_ < kDiscoveryTime) return 0;
  Recount(now);
  return count_;
}

std::uint32_t RouterRegistry::IndexOf(const RouterId& router, Instant now) {
  Recount(now);
  const auto known = routers_.find(router);
  return known == routers_.end() ? count_ : known->second.index;
}

void RouterRegistry::Recount(Instant now) {
  if (now < count_due_) return;
  count_due_ = now + kCountInterval;
  count_ = 0;
  router_evaluations_ += routers_.size();
  std::erase_if(routers_,
                [&](const auto& entry) { return now - entry.second.last_poll > kRouterRetention; });
  for (auto& [id, router] : routers_) router.index = count_++;
}

}  // namespace graniteseam::control
