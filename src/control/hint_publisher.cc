#include "src/control/hint_publisher.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace graniteseam::control {
namespace {

/// Interval of evaluations: one window of the balancer, which detects the hot keys.
constexpr Duration kEvaluationInterval{250'000};
/// Interval at which a hot key is published again, since routers drop hot keys that are not
/// refreshed.
constexpr Duration kHotKeyRefresh{1'000'000};
/// Relative change of the admitted fraction that is published before the refresh.
constexpr double kAdmittedChange = 0.25;

bool ContainsKey(const std::vector<traffic::HotKey>& hot, const ServiceName& service,
                 std::uint32_t key) {
  return std::any_of(hot.begin(), hot.end(), [&](const traffic::HotKey& one) {
    return one.service == service && one.key == key;
  });
}

}  // namespace

void HintPublisher::TakePoll(const traffic::TrafficPoll& poll, Instant now) {
  for (const traffic::InstanceSpeed& speed : poll.speeds) {
    // Keys have only one owner, so routers have no choice of instance.
    if (IsPoolInstance(speed.instance)) health_.Take(poll.router, speed, now);
  }
}

bool HintPublisher::IsPoolInstance(const traffic::InstanceId& id) const {
  const traffic::Instance* const instance = state_.instances().Find(id);
  if (instance == nullptr) return false;
  const traffic::Service* const service =
      state_.configuration().FindService(instance->report.service);
  return service != nullptr && !service->keyed;
}

std::optional<traffic::TrafficHints> HintPublisher::Evaluate(
    const std::vector<traffic::HotKey>& hot, Instant now,
    std::vector<traffic::InstanceLimit> limits) {
  evaluation_due_ = now + kEvaluationInterval;
  traffic::TrafficHints hints;
  hints.limits = std::move(limits);
  hints.instances = health_.TakeChanges(now);
  health_.RemoveExpired(now);
  for (const traffic::HotKey& one : hot) AddHotKeyHint(one, hints.hot_keys, now);
  AddEndedHotKeyHints(hot, hints.hot_keys);
  const bool nothing = hints.instances.empty() && hints.hot_keys.empty() && hints.limits.empty();
  if (nothing) return std::nullopt;
  return hints;
}

traffic::TrafficHints HintPublisher::All(Instant now) const {
  traffic::TrafficHints hints;
  hints.instances = health_.All(now);
  for (const auto& [service, keys] : hot_keys_) {
    for (const auto& [key, published] : keys)
      hints.hot_keys.push_back({service, key, published.admitted});
  }
  return hints;
}

void HintPublisher::AddHotKeyHint(const traffic::HotKey& hot, std::vector<traffic::HotKey>& hints,
                                  Instant now) {
  PublishedHint& published = hot_keys_[hot.service][hot.key];
  const bool changed =
      std::abs(hot.admitted - published.admitted) > kAdmittedChange * published.admitted;
  if (!changed && now - published.at < kHotKeyRefresh) return;
  published = {hot.admitted, now};
  hints.push_back(hot);
}

void HintPublisher::AddEndedHotKeyHints(const std::vector<traffic::HotKey>& hot,
                                        std::vector<traffic::HotKey>& hints) {
  for (auto& [service, keys] : hot_keys_) {
    std::erase_if(keys, [&, &of = service](const auto& entry) {
      const bool over = !ContainsKey(hot, of, entry.first);
      if (over) hints.push_back({of, entry.first, 1});
      return over;
    });
  }
}

}  // namespace graniteseam::control
