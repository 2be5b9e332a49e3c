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
  void ForgetOld(Instant now);

 private:
  /// A sum in which older events count less and less.
  struct FadingSum {
    double value = 0;
    Instant at{};
    void Add(double amount, Duration memory, Instant now);
    double At(Duration memory, Instant now) const;
  };
  struct Seen {
    FadingSum answers;   ///< Whole ones.
    FadingSum failures;  ///< Answers that tell of a failure, and attempts that got none.
    RouterId failed_at;  ///< A router that told of failures, and whether another one did too.
    bool failed_at_several = false;
    double latency_us = 0;
    double latency_weight = 0;  ///< Answers that the mean stands on.
    Instant heard{};
    std::uint32_t told_latency_us = 0;
    Instant latency_told_at{};
    std::uint32_t told_failing_percent = 0;
    Instant told_at{};
  };

  static std::uint32_t FailingPercent(const Seen& seen, Instant now);
  static std::uint32_t LatencyOf(const Seen& seen);

  std::map<traffic::InstanceId, Seen> seen_;
};

}  // namespace graniteseam::control
