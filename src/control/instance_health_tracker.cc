#include "src/control/instance_health_tracker.h"

#include <algorithm>
#include <chrono>
#include <cmath>

namespace graniteseam::control {
namespace {

/// Routers report failures at once and successes every 2 s, so successes decay over twice the time
/// and are weighted by half.
constexpr Duration kFailureTimeConstant{2'000'000};
constexpr Duration kAnswerTimeConstant{4'000'000};
/// Number of failures that is significant if more than one router observed them. A single router
/// may be partitioned.
constexpr double kFailuresMinimum = 3;
/// In percent. Published values decay at the routers, so a failing instance is published again.
constexpr double kFailingPercentMinimum = 30;
constexpr double kFailingPercentChange = 25;
/// Minimum number of answers for a mean latency, and the maximum weight of older ones.
constexpr double kAnswersMinimum = 6;
constexpr double kAnswersMaximum = 40;
/// Relative change of a latency that is published, and the minimum time between two publications:
/// when servers slow down, their means pass through many values, and each would be sent to all
/// routers.
constexpr double kLatencyChange = 0.4;
constexpr Duration kLatencyPublishInterval{4'000'000};
constexpr Duration kRetention{60'000'000};

double DecayFactor(Duration age, Duration time_constant) {
  return std::exp(-std::chrono::duration<double>(age) / time_constant);
}

}  // namespace

void InstanceHealthTracker::DecayingSum::Add(double amount, Duration time_constant, Instant now) {
  value = At(time_constant, now) + amount;
  at = now;
}

double InstanceHealthTracker::DecayingSum::At(Duration time_constant, Instant now) const {
  return value == 0 ? 0 : value * DecayFactor(now - at, time_constant);
}

void InstanceHealthTracker::Take(const RouterId& router, const traffic::InstanceSpeed& speed,
                                 Instant now) {
  Observations& observed = observations_[speed.instance];
  observed.reported_at = now;
  observed.answers.Add(speed.whole - speed.failures, kAnswerTimeConstant, now);
  const double failures = speed.failures + speed.unreached;
  if (failures > 0) {
    const bool alone = observed.failures.At(kFailureTimeConstant, now) < 1;
    const bool same = observed.failure_reporter == router;
    observed.several_failure_reporters = !alone && (observed.several_failure_reporters || !same);
    observed.failure_reporter = router;
    observed.failures.Add(failures, kFailureTimeConstant, now);
  }
  if (speed.answers == 0) return;
  const double answers = speed.answers;
  observed.latency_weight = std::min(observed.latency_weight + answers, kAnswersMaximum);
  const double sample = static_cast<double>(speed.busy_us) / answers;
  const double weight = std::min(1.0, answers / observed.latency_weight);
  observed.latency_us += weight * (sample - observed.latency_us);
}

std::uint32_t InstanceHealthTracker::FailingPercent(const Observations& observed, Instant now) {
  const double failures = observed.failures.At(kFailureTimeConstant, now);
  if (failures < kFailuresMinimum || !observed.several_failure_reporters) return 0;
  const double answers = observed.answers.At(kAnswerTimeConstant, now) *
                         (kFailureTimeConstant / Duration{1}) / kAnswerTimeConstant.count();
  return static_cast<std::uint32_t>(std::lround(100 * failures / (failures + answers)));
}

std::uint32_t InstanceHealthTracker::LatencyOf(const Observations& observed) {
  if (observed.latency_weight < kAnswersMinimum) return 0;
  return static_cast<std::uint32_t>(std::lround(observed.latency_us));
}

std::vector<traffic::InstanceHint> InstanceHealthTracker::TakeChanges(Instant now) {
  std::vector<traffic::InstanceHint> hints;
  for (auto& [id, observed] : observations_) {
    const double failing = FailingPercent(observed, now);
    const double published_failing =
        observed.published_failing_percent *
        DecayFactor(now - observed.failing_published_at, kAnswerTimeConstant);
    const double latency = LatencyOf(observed);
    const bool fails =
        failing >= kFailingPercentMinimum && failing - published_failing >= kFailingPercentChange;
    const bool latency_is_recent = observed.published_latency_us > 0 &&
                                   now - observed.latency_published_at < kLatencyPublishInterval;
    const bool differs =
        latency > 0 && !latency_is_recent &&
        std::abs(latency - observed.published_latency_us) > kLatencyChange * latency;
    if (!fails && !differs) continue;
    if (differs) {
      observed.published_latency_us = static_cast<std::uint32_t>(latency);
      observed.latency_published_at = now;
    }
    if (fails) {
      observed.published_failing_percent = static_cast<std::uint32_t>(failing);
      observed.failing_published_at = now;
    }
    const std::uint32_t latency_us = differs ? observed.published_latency_us : 0;
    hints.push_back({id, latency_us, fails ? observed.published_failing_percent : 0});
  }
  return hints;
}

std::vector<traffic::InstanceHint> InstanceHealthTracker::All(Instant now) const {
  std::vector<traffic::InstanceHint> hints;
  for (const auto& [id, observed] : observations_) {
    const std::uint32_t failing = FailingPercent(observed, now);
    const bool fails = failing >= kFailingPercentMinimum;
    if (!fails && observed.published_latency_us == 0) continue;
    hints.push_back({id, observed.published_latency_us, fails ? failing : 0});
  }
  return hints;
}

void InstanceHealthTracker::RemoveExpired(Instant now) {
  std::erase_if(observations_,
                [&](const auto& entry) { return now - entry.second.reported_at > kRetention; });
}

}  // namespace graniteseam::control
