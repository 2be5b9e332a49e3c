#include "src/control/instance_health_tracker.h"

#include <algorithm>
#include <chrono>
#include <cmath>

namespace graniteseam::control {
namespace {

/// Routers tell failures at once and successes each 2 s: what succeeded is looked for over twice as
/// long, and counts by half.
constexpr Duration kFailureMemory{2'000'000};
constexpr Duration kAnswerMemory{4'000'000};
/// So many failures are no chance, when more than one router saw them: one alone may be cut off.
constexpr double kFailuresMinimum = 3;
/// Percent. What is told fades at the routers, so that a failing instance is told again.
constexpr double kFailingWorthTelling = 30;
constexpr double kFailingChange = 25;
/// Answers that a mean latency must stand on, and up to which older ones count.
constexpr double kAnswersMinimum = 6;
constexpr double kAnswersMaximum = 40;
/// By which a latency must differ from what was told last, and how long that stands at least: where
/// servers slow down, their means pass through many values, and each goes to all routers.
constexpr double kLatencyChange = 0.4;
constexpr Duration kLatencyStands{4'000'000};
constexpr Duration kForgotten{60'000'000};

double Fading(Duration age, Duration memory) {
  return std::exp(-std::chrono::duration<double>(age) / memory);
}

}  // namespace

void InstanceHealthTracker::FadingSum::Add(double amount, Duration memory, Instant now) {
  value = At(memory, now) + amount;
  at = now;
}

double InstanceHealthTracker::FadingSum::At(Duration memory, Instant now) const {
  return value == 0 ? 0 : value * Fading(now - at, memory);
}

void InstanceHealthTracker::Take(const RouterId& router, const traffic::InstanceSpeed& speed,
                                 Instant now) {
  Seen& seen = seen_[speed.instance];
  seen.heard = now;
  seen.answers.Add(speed.whole - speed.failures, kAnswerMemory, now);
  const double failures = speed.failures + speed.unreached;
  if (failures > 0) {
    const bool alone = seen.failures.At(kFailureMemory, now) < 1;
    const bool same = seen.failed_at == router;
    seen.failed_at_several = !alone && (seen.failed_at_several || !same);
    seen.failed_at = router;
    seen.failures.Add(failures, kFailureMemory, now);
  }
  if (speed.answers == 0) return;
  const double answers = speed.answers;
  seen.latency_weight = std::min(seen.latency_weight + answers, kAnswersMaximum);
  const double sample = static_cast<double>(speed.busy_us) / answers;
  const double part = std::min(1.0, answers / seen.latency_weight);
  seen.latency_us += part * (sample - seen.latency_us);
}

std::uint32_t InstanceHealthTracker::FailingPercent(const Seen& seen, Instant now) {
  const double failures = seen.failures.At(kFailureMemory, now);
  if (failures < kFailuresMinimum || !seen.failed_at_several) return 0;
  const double answers =
      seen.answers.At(kAnswerMemory, now) * (kFailureMemory / Duration{1}) / kAnswerMemory.count();
  return static_cast<std::uint32_t>(std::lround(100 * failures / (failures + answers)));
}

std::uint32_t InstanceHealthTracker::LatencyOf(const Seen& seen) {
  if (seen.latency_weight < kAnswersMinimum) return 0;
  return static_cast<std::uint32_t>(std::lround(seen.latency_us));
}

std::vector<traffic::InstanceHint> InstanceHealthTracker::TakeChanges(Instant now) {
  std::vector<traffic::InstanceHint> hints;
  for (auto& [id, seen] : seen_) {
    const double failing = FailingPercent(seen, now);
    const double told = seen.told_failing_percent * Fading(now - seen.told_at, kAnswerMemory);
    const double latency = LatencyOf(seen);
    const bool fails = failing >= kFailingWorthTelling && failing - told >= kFailingChange;
    const bool stands = seen.told_latency_us > 0 && now - seen.latency_told_at < kLatencyStands;
    const bool differs = latency > 0 && !stands &&
                         std::abs(latency - seen.told_latency_us) > kLatencyChange * latency;
    if (!fails && !differs) continue;
    if (differs) {
      seen.told_latency_us = static_cast<std::uint32_t>(latency);
      seen.latency_told_at = now;
    }
    if (fails) {
      seen.told_failing_percent = static_cast<std::uint32_t>(failing);
      seen.told_at = now;
    }
    const std::uint32_t latency_us = differs ? seen.told_latency_us : 0;
    hints.push_back({id, latency_us, fails ? seen.told_failing_percent : 0});
  }
  return hints;
}

std::vector<traffic::InstanceHint> InstanceHealthTracker::All(Instant now) const {
  std::vector<traffic::InstanceHint> hints;
  for (const auto& [id, seen] : seen_) {
    const std::uint32_t failing = FailingPercent(seen, now);
    const bool fails = failing >= kFailingWorthTelling;
    if (!fails && seen.told_latency_us == 0) continue;
    hints.push_back({id, seen.told_latency_us, fails ? failing : 0});
  }
  return hints;
}

void InstanceHealthTracker::ForgetOld(Instant now) {
  std::erase_if(seen_, [&](const auto& entry) { return now - entry.second.heard > kForgotten; });
}

}  // namespace graniteseam::control
