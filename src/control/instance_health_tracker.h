/// @file
/// Combines what all routers recently observed of instances, and selects the changes to be
/// published to routers.
#pragma once

#include <map>
#include <vector>

#include "graniteseam/common/time.h"
#include "graniteseam/traffic/hints.h"
#include "graniteseam/traffic/update.h"

namespace graniteseam::control {

/// Publishes only large changes, since each hint is sent to all routers. Not thread safe; `now`
/// must not decrease.
class InstanceHealthTracker {
 public:
  /// Records the measurements of one router.
  void Take(const RouterId& router, const traffic::InstanceSpeed& speed, Instant now);
  /// Returns hints for what changed considerably since it was last published, and marks it as
  /// published.
  std::vector<traffic::InstanceHint> TakeChanges(Instant now);
  /// All current hints, for a router that has received none yet.
  std::vector<traffic::InstanceHint> All(Instant now) const;
  /// Removes instances without recent reports.
  void RemoveExpired(Instant now);

 private:
  /// A sum with exponential decay.
  struct DecayingSum {
    double value = 0;
    Instant at{};
    void Add(double amount, Duration time_constant, Instant now);
    double At(Duration time_constant, Instant now) const;
  };
  /// Measurements of one instance, and what was published of them.
  struct Observations {
    DecayingSum answers;        ///< Complete answers without failure.
    DecayingSum failures;       ///< Failure answers, and attempts without an answer.
    RouterId failure_reporter;  ///< The router that last reported failures, and whether another one
                                ///< did too.
    bool several_failure_reporters = false;
    double latency_us = 0;
    double latency_weight = 0;  ///< Number of answers in the mean, limited.
    Instant reported_at{};
    std::uint32_t published_latency_us = 0;
    Instant latency_published_at{};
    std::uint32_t published_failing_percent = 0;
    Instant failing_published_at{};
  };

  static std::uint32_t FailingPercent(const Observations& observed, Instant now);
  static std::uint32_t LatencyOf(const Observations& observed);

  std::map<traffic::InstanceId, Observations> observations_;
};

}  // namespace graniteseam::control
