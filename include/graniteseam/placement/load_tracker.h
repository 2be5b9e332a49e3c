/// @file
/// Estimates each shard's request rate from what routers report.
#pragma once

#include <cstdint>
#include <map>
#include <vector>

#include "graniteseam/common/ids.h"
#include "graniteseam/common/time.h"

namespace graniteseam::placement {

/// Tunables of the estimate.
struct LoadTrackerOptions {
  /// The short window that shows a shift of load.
  Duration short_window{1'000'000};
  /// Length of one of its slots.
  Duration slot{250'000};
  /// Time constant of the long average that quiets the noise of small counts.
  Duration long_time_constant{10'000'000};
  /// How many standard deviations of a Poisson count the short window must differ from the long
  /// average before the average is thrown away and started again from the short window.
  double shift_deviations = 4.0;
};

/// A shard's estimated load.
struct LoadEstimate {
  double requests_per_second = 0;
  /// Standard deviation of the estimate, from the number of requests that it rests on.
  double deviation = 0;
};

/// Counts requests per shard and turns the counts into rates.
///
/// A long exponential average quiets the noise; a change of more than `shift_deviations` in the
/// short window restarts it, so that a shift of load is seen within about one short window.
/// Deterministic; not thread safe. `now` never goes back.
class LoadTracker {
 public:
  explicit LoadTracker(LoadTrackerOptions options = {});

  /// Adds requests that one router counted for a shard since its last report.
  void Record(const ShardId& shard, double requests, Instant now);

  /// Closes slots that are over. Call it on each tick.
  void Advance(Instant now);

  LoadEstimate Estimate(const ShardId& shard) const;

  /// When a shard's load last shifted (its average was restarted), over all shards of a service;
  /// the origin when never.
  Instant LastShift(const ServiceName& service) const;

  /// Forgets a service that no longer exists.
  void Remove(const ServiceName& service);

 private:
  struct ShardCounter {
    double slot_requests = 0;    ///< In the slot that is open.
    std::vector<double> recent;  ///< Requests of the last closed slots, as a ring.
    double average = 0;          ///< Requests a second.
    double average_seconds = 0;  ///< Seconds of observation that the average rests on.
  };
  struct ServiceCounters {
    std::vector<ShardCounter> shards;
    Instant last_shift{};
  };

  void CloseSlot(ServiceCounters& counters, Instant slot_end);
  bool UpdateAverage(ShardCounter& counter) const;

  LoadTrackerOptions options_;
  std::size_t slots_per_window_;
  std::uint64_t slots_closed_ = 0;
  Instant slot_end_{};
  bool started_ = false;
  std::map<ServiceName, ServiceCounters> services_;
};

}  // namespace graniteseam::placement
