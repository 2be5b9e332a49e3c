/// @file
/// How fast instances are, from what routers report.
#pragma once

#include <algorithm>
#include <map>
#include <vector>

#include "graniteseam/traffic/update.h"
#include "src/control/range_balancer.h"

namespace graniteseam::control {

/// Not thread safe.
class InstanceSpeeds {
 public:
  void Take(const traffic::InstanceSpeed& speed) {
    if (speed.answers == 0) return;
    // Many answers tell more than a few.
    const double answers = speed.answers;
    const double weight = std::min(0.5, kAnswerWeight * answers);
    const double sample = static_cast<double>(speed.busy_us) / answers;
    const auto [known, fresh] = mean_us_.try_emplace(speed.instance, sample);
    if (!fresh) known->second += weight * (sample - known->second);
  }

  /// Scales the candidates' slots by their speed, relative to the mean of those that are known.
  void Scale(std::vector<RangeCandidate>& candidates) const {
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
      candidate.slots *= std::clamp(sum / known / found->second, kSlowest, kFastest);
    }
  }

 private:
  static constexpr double kAnswerWeight = 0.04;
  static constexpr double kSlowest = 0.2;
  static constexpr double kFastest = 3.0;

  std::map<traffic::InstanceId, double> mean_us_;
};

}  // namespace graniteseam::control
