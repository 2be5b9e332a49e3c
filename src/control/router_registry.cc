#include "src/control/router_registry.h"

namespace graniteseam::control {
namespace {

/// A router that was not heard of for so long has no part in the group's budgets any more. Longer
/// than routers' budgets look back, so that what a lost one spent is not spent again.
constexpr Duration kRouterRetention{15'000'000};
/// By then every router has found a new leader.
constexpr Duration kDiscoveryTime{3'000'000};
/// Routers share budgets over seconds: a count that is so old is good enough for them.
constexpr Duration kCountInterval{100'000};
/// Names that are remembered; a router that comes beyond them has no place of its own.
constexpr std::size_t kRoutersMaximum = 16'384;

}  // namespace

void RouterRegistry::RecordPoll(const RouterId& router, Instant now) {
  const auto known = routers_.find(router);
  if (known != routers_.end()) {
    known->second.last_poll = now;
    return;
  }
  if (routers_.size() >= kRoutersMaximum) return;
  // Behind the others until the next count.
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
