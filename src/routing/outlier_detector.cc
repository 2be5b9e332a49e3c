#include "graniteseam/routing/outlier_detector.h"

#include <algorithm>
#include <vector>

namespace graniteseam::routing {

namespace {

constexpr double kFailureSmoothing = 0.1;
constexpr double kLatencySmoothing = 0.1;

}  // namespace

void OutlierDetector::Add(const ServerId& server) { records_.try_emplace(server); }

void OutlierDetector::Remove(const ServerId& server) { records_.erase(server); }

bool OutlierDetector::OnAnswered(const ServerId& server, Duration latency, Instant now) {
  const auto found = records_.find(server);
  if (found == records_.end()) return false;
  Record& record = found->second;
  record.failures_in_a_row = 0;
  const auto sample = static_cast<double>(latency.count());
  record.latency_us = record.samples == 0
                          ? sample
                          : record.latency_us + kLatencySmoothing * (sample - record.latency_us);
  Sample(record, false);
  if (record.samples < options_.samples_minimum) return false;
  // Checked only every `samples_minimum` samples: the median of a large pool is costly.
  if (record.samples % options_.samples_minimum != 0) return false;
  const double median = MedianLatency();
  const bool slow =
      record.latency_us > median * options_.latency_multiple &&
      record.latency_us - median > static_cast<double>(options_.latency_floor.count());
  return slow && Eject(record, now);
}

bool OutlierDetector::OnFailed(const ServerId& server, Instant now) {
  const auto found = records_.find(server);
  if (found == records_.end()) return false;
  Record& record = found->second;
  ++record.failures_in_a_row;
  Sample(record, true);
  const bool failing =
      record.samples >= options_.samples_minimum && record.failure_rate > options_.failure_rate;
  if (record.failures_in_a_row < options_.consecutive_failures && !failing) return false;
  return Eject(record, now);
}

bool OutlierDetector::Ejected(const ServerId& server, Instant now) const {
  return now < EjectedUntil(server);
}

Instant OutlierDetector::EjectedUntil(const ServerId& server) const {
  const auto found = records_.find(server);
  return found == records_.end() ? Instant{} : found->second.ejected_until;
}

std::size_t OutlierDetector::EjectedCount(Instant now) const {
  return static_cast<std::size_t>(
      std::count_if(records_.begin(), records_.end(),
                    [&](const auto& entry) { return now < entry.second.ejected_until; }));
}

bool OutlierDetector::MayEject(Instant now) const {
  if (records_.size() < 2) return false;
  const auto cap = static_cast<std::size_t>(options_.ejected_fraction_maximum *
                                            static_cast<double>(records_.size()));
  return EjectedCount(now) < std::max<std::size_t>(1, cap);
}

bool OutlierDetector::Eject(Record& record, Instant now) {
  if (now < record.ejected_until || !MayEject(now)) return false;
  const bool forgiven = record.ejected_until != Instant{} &&
                        now - record.ejected_until >= options_.ejection_reset_after;
  record.ejections_in_a_row = forgiven ? 1 : record.ejections_in_a_row + 1;
  record.ejected_until =
      now + std::min(options_.ejection_maximum, options_.ejection * record.ejections_in_a_row);
  // Statistics start from zero after the ejection.
  record.failures_in_a_row = 0;
  record.samples = 0;
  record.failure_rate = 0.0;
  record.latency_us = 0.0;
  return true;
}

double OutlierDetector::MedianLatency() const {
  std::vector<double> latencies;
  latencies.reserve(records_.size());
  for (const auto& [id, record] : records_) {
    if (record.samples >= options_.samples_minimum) latencies.push_back(record.latency_us);
  }
  if (latencies.empty()) return 0.0;
  // The lower median, so that in a pool of two the slower one is compared with the faster.
  const auto middle = latencies.begin() + static_cast<std::ptrdiff_t>((latencies.size() - 1) / 2);
  std::nth_element(latencies.begin(), middle, latencies.end());
  return *middle;
}

void OutlierDetector::Sample(Record& record, bool failed) {
  ++record.samples;
  record.failure_rate += kFailureSmoothing * ((failed ? 1.0 : 0.0) - record.failure_rate);
}

}  // namespace graniteseam::routing
