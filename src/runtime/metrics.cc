#include "src/runtime/metrics.h"

#include <prometheus/counter.h>
#include <prometheus/gauge.h>
#include <prometheus/histogram.h>
#include <prometheus/registry.h>
#include <prometheus/text_serializer.h>

#include <cstdlib>

namespace graniteseam::runtime {
namespace {

/// Upper bounds in seconds: 100 us to 10 s, three a decade.
const prometheus::Histogram::BucketBoundaries kBuckets = {
    0.0001, 0.0002, 0.0005, 0.001, 0.002, 0.005, 0.01, 0.02, 0.05, 0.1, 0.2, 0.5, 1, 2, 5, 10};

prometheus::Labels ToMap(const MetricLabels& labels) { return {labels.begin(), labels.end()}; }

const MetricDescription& DescribeAs(Metric metric, MetricType type) {
  const MetricDescription& description = Describe(metric);
  if (description.type != type) std::abort();
  return description;
}

}  // namespace

void CounterHandle::Increment(double amount) { counter_->Increment(amount); }

void GaugeHandle::Set(double value) { gauge_->Set(value); }

void GaugeHandle::Add(double amount) { gauge_->Increment(amount); }

void HistogramHandle::Observe(double seconds) { histogram_->Observe(seconds); }

class MetricsRegistry::Impl {
 public:
  prometheus::Registry registry;
};

MetricsRegistry::MetricsRegistry() : impl_(std::make_unique<Impl>()) {}

MetricsRegistry::~MetricsRegistry() = default;

CounterHandle MetricsRegistry::Counter(Metric metric, const MetricLabels& labels) {
  const MetricDescription& description = DescribeAs(metric, MetricType::kCounter);
  auto& family = prometheus::BuildCounter()
                     .Name(std::string(description.name))
                     .Help(std::string(description.help))
                     .Register(impl_->registry);
  return CounterHandle(family.Add(ToMap(labels)));
}

GaugeHandle MetricsRegistry::Gauge(Metric metric, const MetricLabels& labels) {
  const MetricDescription& description = DescribeAs(metric, MetricType::kGauge);
  auto& family = prometheus::BuildGauge()
                     .Name(std::string(description.name))
                     .Help(std::string(description.help))
                     .Register(impl_->registry);
  return GaugeHandle(family.Add(ToMap(labels)));
}

HistogramHandle MetricsRegistry::Histogram(Metric metric, const MetricLabels& labels) {
  const MetricDescription& description = DescribeAs(metric, MetricType::kHistogram);
  auto& family = prometheus::BuildHistogram()
                     .Name(std::string(description.name))
                     .Help(std::string(description.help))
                     .Register(impl_->registry);
  return HistogramHandle(family.Add(ToMap(labels), kBuckets));
}

std::string MetricsRegistry::Text() const {
  return prometheus::TextSerializer().Serialize(impl_->registry.Collect());
}

}  // namespace graniteseam::runtime
