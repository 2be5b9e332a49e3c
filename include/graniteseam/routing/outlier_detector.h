/// @file
/// Keeps requests from servers that answer badly, whatever their health endpoint says.
#pragma once

#include <cstddef>
#include <cstdint>
#include <map>

#include "graniteseam/common/ids.h"
#include "graniteseam/common/time.h"

namespace graniteseam::routing {

struct OutlierOptions {
  std::uint32_t consecutive_failures = 5;
  double failure_rate = 0.5;  ///< Smoothed over the last attempts; ejects above it.
  std::uint32_t samples_minimum = 10;
  double latency_multiple = 4.0;          ///< Of the median of the pool's smoothed latencies.
  Duration latency_floor{5'000};          ///< Differences below it are never outliers.
  double ejected_fraction_maximum = 0.3;  ///< Of the pool; one server may always be ejected when
                                          ///< there are two or more.
  Duration ejection{1'000'000};           ///< Times the number of ejections in a row.
  Duration ejection_maximum{30'000'000};
  Duration ejection_reset_after{
      60'000'000};  ///< Good for this long: the next ejection is short again.
};

/// Ejects outliers from one pool (Envoy's outlier detection is the model).
///
/// Invariant: never more than the cap is ejected at once, so that a fault that all servers share,
/// for example an overload, can not empty the pool. A server comes back by the passing of time, and
/// is then judged anew. Not thread safe.
class OutlierDetector {
 public:
  explicit OutlierDetector(OutlierOptions options = {}) : options_(options) {}

  void Add(const ServerId& server);
  void Remove(const ServerId& server);

  /// @return whether this end ejected the server.
  bool OnAnswered(const ServerId& server, Duration latency, Instant now);
  /// Broken or unreachable, or a server error of its own making. Shedding is none.
  /// @return whether this end ejected the server.
  bool OnFailed(const ServerId& server, Instant now);

  bool Ejected(const ServerId& server, Instant now) const;
  /// When the server's last ejection ends or ended; the clock's origin when there was none.
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
