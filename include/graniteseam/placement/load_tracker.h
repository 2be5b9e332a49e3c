/// @file
/// Estimates each shard's request rate from the routers' reports.
#pragma once

#include <cstdint>
#include <map>
#include <vector>

#include "graniteseam/common/ids.h"
#include "graniteseam/common/time.h"

namespace graniteseam::placement {

/// Settings of a LoadTracker.
struct LoadTrackerOptions {
  /// Length of the short window, which detects shifts of load.
  Duration short_window{1'000'000};
  /// Length of one slot of the short window.
  Duration slot{250'000};
  /// Time constant of the long average, which smooths the noise of small counts.
  Duration long_time_constant{10'000'000};
  /// By how many standard deviations of a Poisson count the short window must differ from the long
  /// average for the average to be reset to the short window's rate.
  double shift_deviations = 4.0;
  /// Standard deviation in proportion to the count: routers report in batches, so a window may
  /// contain one report more or less than its share.
  double relative_deviation = 0.1;
  /// A difference of fewer requests in the short window is not a shift, because such a small
  /// Poisson count is not normally distributed.
  double shift_requests_minimum = 10.0;
  /// Fraction of the service's load that the shifts of one slot must reach together to count for
  /// LastShift(): with tens of thousands of shards, some false detections are always present.
  double shifted_load_share_minimum = 0.01;
};

/// A shard's estimated load.
struct LoadEstimate {
  double requests_per_second = 0;
  /// Standard deviation of the estimate, from the number of requests that it is based on.
  double deviation = 0;
};

/// Counts requests per shard and turns the counts into rates.
///
/// A long exponential average smooths the noise. A change of more than `shift_deviations` in the
/// short window resets it, so that a shift of load is detected within about one short window.
/// Deterministic; not thread safe. `now` never decreases.
class LoadTracker {
 public:
  explicit LoadTracker(LoadTrackerOptions options = {});

  /// Adds requests that one router counted for a shard since its last report. A count that is
  /// negative, above a billion or not a number is ignored. The caller checks that the shard
  /// exists.
  void Record(const ShardId& shard, double requests, Instant now);

  /// Closes slots that have ended. Called on each tick.
  void Advance(Instant now);

  /// The shard's estimated load; zero when it has no reports.
  LoadEstimate Estimate(const ShardId& shard) const;

  /// When the load of the service's shards last shifted by at least `shifted_load_share_minimum`;
  /// the clock's origin when it never did.
  Instant LastShift(const ServiceName& service) const;

  /// Removes the counters of a service that no longer exists.
  void Remove(const ServiceName& service);

 private:
  struct ShardCounter {
    double slot_requests = 0;    ///< In the open slot.
    std::vector<double> recent;  ///< Ring buffer of the last closed slots' requests.
    double average = 0;          ///< Requests per second.
    double average_seconds = 0;  ///< Observation time that the average is based on.
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
