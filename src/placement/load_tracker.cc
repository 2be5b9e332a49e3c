#include "graniteseam/placement/load_tracker.h"

#include <algorithm>
#include <cmath>
#include <numeric>

namespace graniteseam::placement {
namespace {

/// Most slots that are closed one by one after a pause of the caller; after this many, the averages
/// have decayed.
constexpr std::uint64_t kSlotsCaughtUpMaximum = 400;

/// Most requests of one shard in one report; a higher count is invalid.
constexpr double kRequestsMaximum = 1e9;

double Square(double value) { return value * value; }

}  // namespace

LoadTracker::LoadTracker(LoadTrackerOptions options)
    : options_(options),
      slots_per_window_(static_cast<std::size_t>(
          std::max<std::int64_t>(1, options.short_window / options.slot))) {}

double LoadTracker::Seconds(Duration duration) const {
  return std::chrono::duration<double>(duration).count();
}

void LoadTracker::Record(const ShardId& shard, double requests, Instant now) {
  Advance(now);
  // The negated form also rejects NaN, which would stay in the average permanently.
  if (!(requests >= 0 && requests <= kRequestsMaximum)) return;
  auto& shards = services_[shard.service].shards;
  if (shard.index >= shards.size()) shards.resize(std::size_t{shard.index} + 1);
  shards[shard.index].slot_requests += requests;
}

void LoadTracker::Advance(Instant now) {
  if (!started_) {
    started_ = true;
    slot_end_ = now + options_.slot;
    return;
  }
  if (now < slot_end_) return;
  const auto over = static_cast<std::uint64_t>((now - slot_end_) / options_.slot) + 1;
  const std::uint64_t closed = std::min(over, kSlotsCaughtUpMaximum);
  slot_end_ += options_.slot * static_cast<std::int64_t>(over - closed);
  CloseSlots(closed);
}

void LoadTracker::CloseSlots(std::uint64_t count) {
  for (std::uint64_t slot = 0; slot < count; ++slot) {
    for (auto& [name, counters] : services_) CloseSlot(counters);
    ++slots_closed_;
    slot_end_ += options_.slot;
  }
}

void LoadTracker::CloseSlot(ServiceCounters& counters) const {
  double total_rate = 0;
  double shifted_rate = 0;
  for (ShardCounter& counter : counters.shards) {
    const double slot_requests = counter.slot_requests;
    counter.slot_requests = 0;
    if (counter.recent.empty()) {
      if (slot_requests == 0) continue;  // No requests yet: allocates no memory.
      counter.recent.resize(slots_per_window_);
    }
    counter.recent[slots_closed_ % slots_per_window_] = slot_requests;
    shifted_rate += UpdateAverage(counter, slot_requests);
    total_rate += counter.average;
  }
  // A new service has no earlier load that could shift.
  if (shifted_rate > 0 && shifted_rate >= options_.shifted_load_share_minimum * total_rate) {
    counters.last_shift = slot_end_;
  }
}

/// @return the shift of the load in requests per second; 0 when there is none.
double LoadTracker::UpdateAverage(ShardCounter& counter, double slot_requests) const {
  const double slot = Seconds(options_.slot);
  const double window = slot * static_cast<double>(slots_per_window_);
  const double requests = std::accumulate(counter.recent.begin(), counter.recent.end(), 0.0);
  if (counter.average_seconds >= window && Shifted(counter, requests)) {
    const double change = std::abs(requests / window - counter.average);
    counter.average = requests / window;
    counter.average_seconds = window;
    return change;
  }
  // A plain mean until the time constant is reached, then an exponential average.
  counter.average_seconds =
      std::min(counter.average_seconds + slot, Seconds(options_.long_time_constant));
  counter.average += (slot_requests / slot - counter.average) * slot / counter.average_seconds;
  return 0;
}

bool LoadTracker::Shifted(const ShardCounter& counter, double window_requests) const {
  const double window = Seconds(options_.slot) * static_cast<double>(slots_per_window_);
  const double expected = counter.average * window;
  const double difference = std::abs(window_requests - expected);
  // Sum of the variances of the window's count, of the average and of batching.
  const double variance = std::max(expected, 1.0) + expected * window / counter.average_seconds +
                          Square(options_.relative_deviation * expected);
  return difference >= options_.shift_requests_minimum &&
         difference > options_.shift_deviations * std::sqrt(variance);
}

LoadEstimate LoadTracker::Estimate(const ShardId& shard) const {
  const auto service = services_.find(shard.service);
  if (service == services_.end() || shard.index >= service->second.shards.size()) return {};
  const ShardCounter& counter = service->second.shards[shard.index];
  if (counter.average_seconds <= 0) return {};
  return {counter.average, std::sqrt(counter.average / counter.average_seconds)};
}

Instant LoadTracker::LastShift(const ServiceName& service) const {
  const auto found = services_.find(service);
  return found == services_.end() ? Instant{} : found->second.last_shift;
}

void LoadTracker::Remove(const ServiceName& service) { services_.erase(service); }

}  // namespace graniteseam::placement
