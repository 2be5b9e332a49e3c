/// @file
/// How fast instances are, and which of them fail, from what routers report.
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

/// Not thread safe.
class InstanceSpeeds {
 public:
  void Take(const traffic::InstanceSpeed& speed, Instant now) {
    TakeFailures(speed, now);
    if (speed.answers == 0) return;
    // Many answers tell more than a few.
    const double answers = speed.answers;
    const double weight = std::min(0.5, kAnswerWeight * answers);
    const double sample = static_cast<double>(speed.busy_us) / answers;
    const auto [known, fresh] = mean_us_.try_emplace(speed.instance, sample);
    if (!fresh) known->second += weight * (sample - known->second);
  }

  /// Mean time of a request at an instance; nullopt when it is not known.
  std::optional<double> MeanMicros(const traffic::InstanceId& id) const {
    const auto found = mean_us_.find(id);
    return found == mean_us_.end() ? std::nullopt : std::optional(found->second);
  }

  /// Whether an instance lately failed most requests, so that it had better own nothing.
  bool IsFailing(const traffic::InstanceId& id, Instant now) const {
    const auto found = outcomes_.find(id);
    return found != outcomes_.end() && now < found->second.avoid_until;
  }

  /// Scales the candidates' slots by their speed, relative to the mean of those that are known.
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

  /// A sound instance fails one in a thousand; so many failures among so few answers are no chance.
  static constexpr double kFailuresMinimum = 4;
  static constexpr double kFailingPart = 0.5;
  /// In which what is known of outcomes fades, and for how long a failing instance is avoided: by
  /// then it has started again, or its fault is found out once more at the price of some requests.
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
    const double fading = std::exp(-age);
    known.answers = known.answers * fading + speed.whole;
    known.failures = known.failures * fading + speed.failures;
    known.at = now;
    const bool fails =
        known.failures >= kFailuresMinimum && known.failures >= kFailingPart * known.answers;
    if (fails) known.avoid_until = now + kAvoidance;
  }

  std::map<traffic::InstanceId, double> mean_us_;
  std::map<traffic::InstanceId, Outcomes> outcomes_;  ///< Of those that ever failed.
};

}  // namespace graniteseam::control
