/// @file
/// Sums up what callers were told: counts, latencies, unavailable time.
#pragma once

#include <boost/histogram.hpp>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "testbed/support/record.h"

namespace graniteseam::testbed {

/// Latencies with a resolution of about 1.5 % from 10 us to 100 s.
class LatencyHistogram {
 public:
  LatencyHistogram();

  void Add(std::int64_t latency_us);
  /// @param quantile from 0 to 1.
  /// @return milliseconds; 0 when nothing was added.
  double QuantileMs(double quantile) const;
  std::uint64_t count() const { return count_; }

 private:
  using Axis = boost::histogram::axis::regular<double, boost::histogram::axis::transform::log>;
  using Counts = boost::histogram::histogram<std::tuple<Axis>>;

  Counts counts_;
  std::uint64_t count_ = 0;
};

/// The requests of one service, or of all. Not thread safe.
class TrafficSummary {
 public:
  /// Takes one request in, whatever became of it.
  /// @param last the answer to its last sending.
  void Add(const AnswerRecord& last);

  std::uint64_t requests() const { return requests_; }
  std::uint64_t answered() const { return answered_; }
  /// Requests whose last answer was late, not run, unknown or missing.
  std::uint64_t failed() const { return requests_ - answered_; }
  /// Failed requests by error kind; "none" where no answer came, "late" where it came too late.
  const std::map<std::string, std::uint64_t>& failures() const { return failures_; }
  const LatencyHistogram& latencies() const { return latencies_; }

  /// The time during which the service was unavailable to the mean request: over windows of
  /// kWindowUs, the failed part of each window's requests times its length.
  double UnavailableMs() const;

  static constexpr std::int64_t kWindowUs = 100'000;

 private:
  struct Window {
    std::uint64_t requests = 0;
    std::uint64_t failed = 0;
  };

  std::uint64_t requests_ = 0;
  std::uint64_t answered_ = 0;
  std::map<std::string, std::uint64_t> failures_;
  std::map<std::int64_t, Window> windows_;
  LatencyHistogram latencies_;
};

}  // namespace graniteseam::testbed
