/// @file
/// What all routers together saw of instances lately, and which of it routers should be told.
#pragma once

#include <map>
#include <vector>

#include "graniteseam/common/time.h"
#include "graniteseam/traffic/hints.h"
#include "graniteseam/traffic/update.h"

namespace graniteseam::control {

/// Tells only what changed much, since each hint goes to all routers. Not thread safe; `now` never
/// goes back.
class InstanceHealthTracker {
 public:
  void Take(const RouterId& router, const traffic::InstanceSpeed& speed, Instant now);
  /// What changed much since it was told last.
  std::vector<traffic::InstanceHint> TakeChanges(Instant now);
  /// All that stands, for a router that was told nothing yet.
  std::vector<traffic::InstanceHint> All(Instant now) const;
  /// Forgets instances of which nobody told for long.
  void RemoveExpired(Instant now);

 private:
  /// A sum in which older events count less and less.
  struct DecayingSum {
    double value = 0;
    Instant at{};
    void Add(double amount, Duration time_constant, Instant now);
    double At(Duration time_constant, Instant now) const;
  };
  struct Observations {
    DecayingSum answers;   ///< Whole ones.
    DecayingSum failures;  ///< Answers that tell of a failure, and attempts that got none.
    RouterId
        failure_reporter;  ///< A router that told of failures, and whether another one did too.
    bool several_failure_reporters = false;
    double latency_us = 0;
    double latency_weight = 0;  ///< Answers that the mean stands on.
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
