#include "graniteseam/placement/load_tracker.h"

#include <criterion/criterion.h>

#include <cmath>
#include <random>

using graniteseam::Duration;
using graniteseam::Instant;
using graniteseam::InstantFromMicros;
using graniteseam::ServiceName;
using graniteseam::ShardId;
using graniteseam::placement::LoadTracker;

namespace {

const ServiceName kService{"transcripts"};
constexpr Duration kReport{50'000};

/// Feeds Poisson counts of each shard's rate, in reports of 50 ms.
class Feed {
 public:
  explicit Feed(std::vector<double> rates) : rates_(std::move(rates)) {}

  void Run(double seconds) {
    const auto end = now_ + Duration(static_cast<std::int64_t>(seconds * 1e6));
    for (; now_ < end; now_ += kReport) {
      for (std::uint32_t shard = 0; shard < rates_.size(); ++shard) {
        std::poisson_distribution<int> count(rates_[shard] * 0.05);
        tracker.Record({kService, shard}, count(random_), now_);
      }
      tracker.Advance(now_);
    }
  }

  std::vector<double>& rates() { return rates_; }
  Instant now() const { return now_; }
  LoadTracker tracker;

 private:
  std::vector<double> rates_;
  Instant now_ = InstantFromMicros(1'000'000);
  std::mt19937 random_{7};
};

}  // namespace

Test(load_tracker, estimates_a_steady_rate_within_its_own_deviation) {
  Feed feed({200, 5});
  feed.Run(30);
  for (std::uint32_t shard = 0; shard < 2; ++shard) {
    const auto estimate = feed.tracker.Estimate({kService, shard});
    cr_assert(std::abs(estimate.requests_per_second - feed.rates()[shard]) <
              4 * estimate.deviation);
    cr_assert(estimate.deviation < feed.rates()[shard]);
  }
  cr_assert(feed.tracker.Estimate({kService, 9}).requests_per_second == 0);
  cr_assert(feed.tracker.Estimate({{"absent"}, 0}).requests_per_second == 0);
}

Test(load_tracker, sees_a_shift_within_two_short_windows) {
  Feed feed(std::vector<double>(20, 100.0));
  feed.Run(20);
  cr_assert(feed.tracker.LastShift(kService) == Instant{}, "steady load is no shift");
  feed.rates()[3] = 600;
  const Instant shifted = feed.now();
  feed.Run(2);
  cr_assert(feed.tracker.LastShift(kService) > shifted);
  const double rate = feed.tracker.Estimate({kService, 3}).requests_per_second;
  cr_assert(rate > 450 && rate < 750, "%f", rate);
  feed.rates()[3] = 0;
  feed.Run(2);
  cr_assert(feed.tracker.Estimate({kService, 3}).requests_per_second < 150);
}

Test(load_tracker, raises_no_alarm_over_many_quiet_shards) {
  Feed feed(std::vector<double>(3'000, 3.0));
  feed.Run(30);
  cr_assert(feed.tracker.LastShift(kService) == Instant{});
}

Test(load_tracker, raises_no_alarm_over_reports_that_come_in_batches) {
  LoadTracker tracker;
  Instant now = InstantFromMicros(1);
  for (int report = 0; report < 100; ++report, now += Duration(330'000)) {
    tracker.Record({kService, 0}, 3'300, now);
    tracker.Record({kService, 1}, 330, now);
  }
  cr_assert(tracker.LastShift(kService) == Instant{});
}

Test(load_tracker, outlasts_a_long_pause_of_its_caller) {
  Feed feed({200});
  feed.Run(10);
  feed.tracker.Advance(feed.now() + std::chrono::hours(24 * 365));
  cr_assert(feed.tracker.Estimate({kService, 0}).requests_per_second < 1);
  feed.tracker.Remove(kService);
  cr_assert(feed.tracker.Estimate({kService, 0}).requests_per_second == 0);
}

Test(load_tracker, passes_over_counts_that_can_not_be) {
  Feed feed({200});
  feed.Run(10);
  for (const double wrong : {-1.0, 1e10, std::nan(""), HUGE_VAL}) {
    feed.tracker.Record({kService, 0}, wrong, feed.now());
  }
  feed.Run(2);
  const double rate = feed.tracker.Estimate({kService, 0}).requests_per_second;
  cr_assert(rate > 150 && rate < 250, "%f", rate);
}
