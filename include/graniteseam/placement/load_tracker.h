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
  /// Noise in proportion to the count: routers report in batches, so that a window may hold one
  /// report more or less than it should.
  double relative_deviation = 0.1;
  /// A change of fewer requests in the short window is no shift, because a Poisson count that small
  /// is not normally distributed.
  double shift_requests_minimum = 10.0;
  /// Shifts count for LastShift() when those of one slot together reach this part of the service's
  /// load: with tens of thousands of shards, some false alarms are always about.
  double shifted_load_share_minimum = 0.01;
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

  /// Adds requests that one router counted for a shard since its last report. A count that is
  /// negative, above a billion or not a number is passed over. The caller checks that the shard
  /// exists.
  void Record(const ShardId& shard, double requests, Instant now);

  /// Closes slots that are over. Call it on each tick.
  void Advance(Instant now);

  LoadEstimate Estimate(const ShardId& shard) const;

  /// When the service's load last shifted markedly among its shards (see
  /// `shifted_load_share_minimum`); the origin when never.
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

  void CloseSlots(std::uint64_t count);
  void CloseSlot(ServiceCounters& counters) const;
  double UpdateAverage(ShardCounter& counter, double slot_requests) const;
  bool Shifted(const ShardCounter& counter, double window_requests) const;
  double Seconds(Duration duration) const;

  LoadTrackerOptions options_;
  std::size_t slots_per_window_;
  std::uint64_t slots_closed_ = 0;
  Instant slot_end_{};
  bool started_ = false;
  std::map<ServiceName, ServiceCounters> services_;
};

}  // namespace graniteseam::placement
