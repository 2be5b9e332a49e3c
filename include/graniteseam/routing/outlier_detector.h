/// @file
/// Passive health checks: stops sending requests to servers that fail or answer slowly, whatever
/// their health endpoint reports.
#pragma once

#include <cstddef>
#include <cstdint>
#include <map>

#include "graniteseam/common/ids.h"
#include "graniteseam/common/time.h"

namespace graniteseam::routing {

/// Thresholds of outlier detection.
struct OutlierOptions {
  std::uint32_t consecutive_failures = 5;
  double failure_rate = 0.5;  ///< Smoothed over the last attempts; ejects above it.
  std::uint32_t samples_minimum = 10;
  double latency_multiple = 4.0;          ///< Of the median of the pool's smoothed latencies.
  Duration latency_floor{5'000};          ///< Differences below it are never outliers.
  double ejected_fraction_maximum = 0.3;  ///< Of the pool; one server may always be ejected when
                                          ///< there are two or more.
  Duration ejection{1'000'000};           ///< Multiplied by the number of consecutive ejections.
  Duration ejection_maximum{30'000'000};
  /// Time since the end of the last ejection after which consecutive ejections count from 1 again.
  Duration ejection_reset_after{60'000'000};
};

/// Ejects outliers from one pool (Envoy's outlier detection is the model).
///
/// Invariant: at most `ejected_fraction_maximum` of the pool (or one server) is ejected at once, so
/// that a fault shared by all servers, such as an overload, cannot empty the pool. An ejection ends
/// after its time has passed; the server's statistics then start from zero. Not thread safe.
class OutlierDetector {
 public:
  explicit OutlierDetector(OutlierOptions options = {}) : options_(options) {}

  void Add(const ServerId& server);
  void Remove(const ServerId& server);

  /// Records an answer and its latency.
  /// @return whether this sample ejected the server.
  bool OnAnswered(const ServerId& server, Duration latency, Instant now);
  /// Records a broken attempt, an unreachable server or an HTTP 5xx answer. Shedding does not count
  /// as a failure.
  /// @return whether this sample ejected the server.
  bool OnFailed(const ServerId& server, Instant now);

  bool Ejected(const ServerId& server, Instant now) const;
  /// The end of the server's latest ejection; the clock's origin when there was none.
  Instant EjectedUntil(const ServerId& server) const;
  std::size_t EjectedCount(Instant now) const;

 private:
  struct Record {
    std::uint32_t failures_in_a_row = 0;
    std::uint32_t samples = 0;
    double failure_rate = 0.0;
    double latency_us = 0.0;
    std::uint32_t ejections_in_a_row = 0;
    Instant ejected_until{};
  };

  bool MayEject(Instant now) const;
  bool Eject(Record& record, Instant now);
  double MedianLatency() const;
  static void Sample(Record& record, bool failed);

  OutlierOptions options_;
  std::map<ServerId, Record> records_;
};

}  // namespace graniteseam::routing
