/// @file
/// Statistics of one process, written in Prometheus' text format. Names are in metric_list.h.
#pragma once

#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "src/runtime/metric_list.h"

namespace prometheus {
class Counter;
class Gauge;
class Histogram;
}  // namespace prometheus

namespace graniteseam::runtime {

/// Label names with their values. Label values must come from a bounded set (settings, bundle,
/// enumerations), never from a caller's request.
using MetricLabels = std::vector<std::pair<std::string, std::string>>;

/// A number that only grows. Thread safe; valid as long as its registry.
class CounterHandle {
 public:
  explicit CounterHandle(prometheus::Counter& counter) : counter_(&counter) {}
  void Increment(double amount = 1.0);

 private:
  prometheus::Counter* counter_;
};

/// A number that goes up and down. Thread safe; valid as long as its registry.
class GaugeHandle {
 public:
  explicit GaugeHandle(prometheus::Gauge& gauge) : gauge_(&gauge) {}
  void Set(double value);
  void Add(double amount);

 private:
  prometheus::Gauge* gauge_;
};

/// A distribution of durations in seconds. Thread safe; valid as long as its registry.
class HistogramHandle {
 public:
  explicit HistogramHandle(prometheus::Histogram& histogram) : histogram_(&histogram) {}
  void Observe(double seconds);

 private:
  prometheus::Histogram* histogram_;
};

/// The statistics of one process. Thread safe. Asking for the same metric and labels again gives
/// the same statistic; keep the handle, since the look-up takes a lock.
class MetricsRegistry {
 public:
  MetricsRegistry();
  ~MetricsRegistry();
  MetricsRegistry(const MetricsRegistry&) = delete;
  MetricsRegistry& operator=(const MetricsRegistry&) = delete;

  /// Each ends the program when the metric is listed under another type: a defect.
  CounterHandle Counter(Metric metric, const MetricLabels& labels = {});
  GaugeHandle Gauge(Metric metric, const MetricLabels& labels = {});
  HistogramHandle Histogram(Metric metric, const MetricLabels& labels = {});

  /// All statistics in Prometheus' text format, version 0.0.4.
  std::string Text() const;

 private:
  class Impl;
  std::unique_ptr<Impl> impl_;
};

/// The content type of MetricsRegistry::Text().
inline constexpr char kMetricsContentType[] = "text/plain; version=0.0.4; charset=utf-8";

}  // namespace graniteseam::runtime
