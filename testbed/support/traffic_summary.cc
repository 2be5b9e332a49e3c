#include "testbed/support/traffic_summary.h"

namespace graniteseam::testbed {

namespace {

constexpr unsigned kBins = 1'100;
constexpr double kShortestUs = 10.0;
constexpr double kLongestUs = 100e6;
constexpr double kMicrosPerMilli = 1'000.0;

bool Answered(const AnswerRecord& last) {
  return last.outcome == "answered" || last.outcome == "kept";
}

std::string FailureName(const AnswerRecord& last) {
  if (Answered(last)) return "late";
  return last.kind.empty() ? last.outcome : last.outcome + " " + last.kind;
}

}  // namespace

LatencyHistogram::LatencyHistogram()
    : counts_(boost::histogram::make_histogram(Axis(kBins, kShortestUs, kLongestUs))) {}

void LatencyHistogram::Add(std::int64_t latency_us) {
  counts_(static_cast<double>(latency_us));
  ++count_;
}

double LatencyHistogram::QuantileMs(double quantile) const {
  if (count_ == 0) return 0.0;
  const double wanted = quantile * static_cast<double>(count_);
  double seen = counts_.at(-1);
  for (int bin = 0; bin < static_cast<int>(kBins); ++bin) {
    seen += counts_.at(bin);
    if (seen >= wanted) return counts_.axis(0).bin(bin).upper() / kMicrosPerMilli;
  }
  return kLongestUs / kMicrosPerMilli;
}

void TrafficSummary::Add(const AnswerRecord& last) {
  const std::int64_t latency = last.answered_us - last.due_us;
  const bool in_time = Answered(last) && latency <= last.deadline_us;
  ++requests_;
  latencies_.Add(latency);
  auto& window = windows_[last.due_us / kWindowUs];
  ++window.requests;
  if (in_time) {
    ++answered_;
    return;
  }
  ++window.failed;
  ++failures_[FailureName(last)];
}

double TrafficSummary::UnavailableMs() const {
  double unavailable_us = 0.0;
  for (const auto& [start, window] : windows_) {
    unavailable_us += static_cast<double>(kWindowUs) * static_cast<double>(window.failed) /
                      static_cast<double>(window.requests);
  }
  return unavailable_us / kMicrosPerMilli;
}

}  // namespace graniteseam::testbed
