/// @file
/// Tracks the latency of instances, and detects failing ones, from the reports of routers.
#pragma once

#include <algorithm>
#include <chrono>
#include <cmath>
#include <map>
#include <optional>
#include <vector>

#include "graniteseam/traffic/update.h"
#include "src/control/range_balancer.h"

namespace graniteseam::control {

/// Mean latency and failure rate of each instance. Not thread safe.
class InstanceSpeeds {
 public:
  /// Records the measurements of one router.
  void Take(const traffic::InstanceSpeed& speed, Instant now) {
    TakeFailures(speed, now);
    if (speed.answers == 0) return;
    // Weights the sample by its number of answers.
    const double answers = speed.answers;
    const double weight = std::min(0.5, kAnswerWeight * answers);
    const double sample = static_cast<double>(speed.busy_us) / answers;
    const auto [known, fresh] = mean_us_.try_emplace(speed.instance, sample);
    if (!fresh) known->second += weight * (sample - known->second);
  }

  /// Mean time of a request at an instance in microseconds; nullopt when unknown.
  std::optional<double> MeanMicros(const traffic::InstanceId& id) const {
    const auto found = mean_us_.find(id);
    return found == mean_us_.end() ? std::nullopt : std::optional(found->second);
  }

  /// Whether an instance recently failed most requests, so that it should own no keys.
  bool IsFailing(const traffic::InstanceId& id, Instant now) const {
    const auto found = outcomes_.find(id);
    return found != outcomes_.end() && now < found->second.avoid_until;
  }

  /// Scales the candidates' slots by their speed relative to the mean of those with a known speed.
  void ScaleSlots(std::vector<RangeCandidate>& candidates) const {
    double sum = 0;
    double known = 0;
    for (const RangeCandidate& candidate : candidates) {
      const auto found = mean_us_.find(candidate.id);
      if (found == mean_us_.end()) continue;
      sum += found->second;
      known += 1;
    }
    if (known == 0) return;
    for (RangeCandidate& candidate : candidates) {
      const auto found = mean_us_.find(candidate.id);
      if (found == mean_us_.end()) continue;
      candidate.slots *=
          std::clamp(sum / known / found->second, kSlotFactorMinimum, kSlotFactorMaximum);
    }
  }

 private:
  static constexpr double kAnswerWeight = 0.04;
  static constexpr double kSlotFactorMinimum = 0.2;
  static constexpr double kSlotFactorMaximum = 3.0;

  /// A healthy instance fails one request in a thousand, so this many failures among few answers
  /// are significant.
  static constexpr double kFailuresMinimum = 4;
  static constexpr double kFailingFraction = 0.5;
  /// Decay time of the outcomes, and the time for which a failing instance is avoided. By then it
  /// has restarted, or its fault is detected again at the cost of some requests.
  static constexpr Duration kOutcomeTimeConstant{2'000'000};
  static constexpr Duration kAvoidance{10'000'000};

  struct Outcomes {
    double answers = 0;
    double failures = 0;
    Instant at{};
    Instant avoid_until{};
  };

  void TakeFailures(const traffic::InstanceSpeed& speed, Instant now) {
    if (speed.failures == 0 && !outcomes_.contains(speed.instance)) return;
    Outcomes& known = outcomes_[speed.instance];
    const double age = std::chrono::duration<double>(now - known.at) / kOutcomeTimeConstant;
    const double decay = std::exp(-age);
    known.answers = known.answers * decay + speed.whole;
    known.failures = known.failures * decay + speed.failures;
    known.at = now;
    const bool fails =
        known.failures >= kFailuresMinimum && known.failures >= kFailingFraction * known.answers;
    if (fails) known.avoid_until = now + kAvoidance;
  }

  std::map<traffic::InstanceId, double> mean_us_;
  std::map<traffic::InstanceId, Outcomes> outcomes_;  ///< Only for instances with failures.
};

}  // namespace graniteseam::control
