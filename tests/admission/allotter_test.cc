#include "graniteseam/admission/allotter.h"

#include <criterion/criterion.h>
#include <rapidcheck.h>

#include <cmath>
#include <cstdlib>
#include <numeric>

#include "tests/support/fixed_seed.h"

using graniteseam::GroupName;
using graniteseam::Instant;
using graniteseam::InstantFromMicros;
using graniteseam::RouterId;
using graniteseam::ServiceName;
using graniteseam::admission::Allotter;
using graniteseam::admission::AllotterOptions;
using graniteseam::admission::Claimant;
using graniteseam::admission::RouterAllotment;
using graniteseam::admission::WeightedMaxMin;

namespace {

constexpr double kTolerance = 1e-6;

std::vector<Claimant> AnyClaimants() {
  const auto pairs = *rc::gen::container<std::vector<std::pair<int, int>>>(
      rc::gen::pair(rc::gen::inRange(1, 20), rc::gen::inRange(0, 200)));
  std::vector<Claimant> claimants;
  for (const auto& [weight, demand] : pairs) {
    claimants.push_back({static_cast<double>(weight), static_cast<double>(demand)});
  }
  return claimants;
}

double Sum(const std::vector<double>& parts) {
  return std::accumulate(parts.begin(), parts.end(), 0.0);
}

double SumOfDemand(const std::vector<Claimant>& claimants) {
  double sum = 0.0;
  for (const Claimant& claimant : claimants) sum += claimant.demand;
  return sum;
}

double AllottedTo(const std::vector<RouterAllotment>& allotments, const std::string& group) {
  for (const RouterAllotment& allotment : allotments) {
    if (allotment.group.value == group) return allotment.concurrency;
  }
  return -1.0;
}

}  // namespace

Test(weighted_max_min, hands_out_all_that_is_wanted_and_no_more) {
  cr_assert(rc::check([] {
    const auto claimants = AnyClaimants();
    const double capacity = *rc::gen::inRange(0, 1000);
    const auto parts = WeightedMaxMin(capacity, claimants);
    RC_ASSERT(parts.size() == claimants.size());
    RC_ASSERT(std::abs(Sum(parts) - std::min(capacity, SumOfDemand(claimants))) < kTolerance);
    for (std::size_t index = 0; index < parts.size(); ++index) {
      RC_ASSERT(parts[index] <= claimants[index].demand + kTolerance);
    }
  }));
}

Test(weighted_max_min, whoever_wants_more_has_no_less_per_weight_than_any_other) {
  cr_assert(rc::check([] {
    const auto claimants = AnyClaimants();
    const double capacity = *rc::gen::inRange(0, 1000);
    const auto parts = WeightedMaxMin(capacity, claimants);
    for (std::size_t one = 0; one < parts.size(); ++one) {
      if (parts[one] >= claimants[one].demand - kTolerance) continue;
      for (std::size_t other = 0; other < parts.size(); ++other) {
        RC_ASSERT(parts[one] / claimants[one].weight >=
                  parts[other] / claimants[other].weight - kTolerance);
      }
    }
  }));
}

Test(weighted_max_min, more_capacity_takes_nothing_from_anyone) {
  cr_assert(rc::check([] {
    const auto claimants = AnyClaimants();
    const double capacity = *rc::gen::inRange(0, 1000);
    const auto less = WeightedMaxMin(capacity, claimants);
    const auto more = WeightedMaxMin(capacity + 10.0, claimants);
    for (std::size_t index = 0; index < less.size(); ++index) {
      RC_ASSERT(more[index] >= less[index] - kTolerance);
    }
  }));
}

Test(allotter, a_greedy_group_takes_only_what_the_others_leave) {
  AllotterOptions options;
  options.growth_headroom = 1.0;
  options.burst_deviations = 0.0;
  Allotter allotter(options);
  const ServiceName service{"archive"};
  allotter.SetGroups(service, {{GroupName{"small"}, 1.0}, {GroupName{"greedy"}, 1.0}});
  allotter.SetCapacity(service, 100.0);
  const Instant now = InstantFromMicros(1'000'000);
  allotter.Report(RouterId{"r1"}, {{GroupName{"small"}, service, 20.0}}, now);
  allotter.Report(RouterId{"r2"}, {{GroupName{"greedy"}, service, 1'000.0}}, now);
  cr_assert(AllottedTo(allotter.AllotmentsFor(RouterId{"r1"}, now), "small") == 20.0);
  cr_assert(AllottedTo(allotter.AllotmentsFor(RouterId{"r2"}, now), "greedy") == 80.0);
  // The floor lets a silent group start.
  cr_assert(AllottedTo(allotter.AllotmentsFor(RouterId{"r2"}, now), "small") == 1.0);
}

Test(allotter, a_small_group_has_room_for_its_bursts) {
  AllotterOptions options;
  options.growth_headroom = 1.25;
  options.burst_deviations = 2.0;
  Allotter allotter(options);
  const ServiceName service{"archive"};
  allotter.SetGroups(service, {{GroupName{"small"}, 1.0}, {GroupName{"greedy"}, 1.0}});
  allotter.SetCapacity(service, 100.0);
  const Instant now = InstantFromMicros(1'000'000);
  allotter.Report(RouterId{"r"},
                  {{GroupName{"small"}, service, 16.0}, {GroupName{"greedy"}, service, 1'000.0}},
                  now);
  const auto allotments = allotter.AllotmentsFor(RouterId{"r"}, now);
  cr_assert(AllottedTo(allotments, "small") == 16.0 + 2.0 * 4.0);
  cr_assert(AllottedTo(allotments, "greedy") == 76.0);
}

Test(allotter, unused_share_is_lent_by_weight) {
  AllotterOptions options;
  options.growth_headroom = 1.0;
  options.burst_deviations = 0.0;
  Allotter allotter(options);
  const ServiceName service{"archive"};
  allotter.SetGroups(service, {{GroupName{"a"}, 3.0}, {GroupName{"b"}, 1.0}});
  allotter.SetCapacity(service, 100.0);
  const Instant now = InstantFromMicros(1'000'000);
  allotter.Report(RouterId{"r"}, {{GroupName{"a"}, service, 10.0}, {GroupName{"b"}, service, 10.0}},
                  now);
  const auto allotments = allotter.AllotmentsFor(RouterId{"r"}, now);
  cr_assert(AllottedTo(allotments, "a") == 10.0 + 60.0);
  cr_assert(AllottedTo(allotments, "b") == 10.0 + 20.0);
}

Test(allotter, capacity_is_what_routers_found_out_when_that_is_less) {
  AllotterOptions options;
  options.growth_headroom = 1.0;
  options.burst_deviations = 0.0;
  Allotter allotter(options);
  const ServiceName service{"archive"};
  allotter.SetGroups(service, {{GroupName{"a"}, 1.0}});
  allotter.SetCapacity(service, 100.0);
  const Instant now = InstantFromMicros(1'000'000);
  allotter.Report(RouterId{"r1"}, {{GroupName{"a"}, service, 50.0}}, now, {{service, 6.0}});
  allotter.Report(RouterId{"r2"}, {{GroupName{"a"}, service, 50.0}}, now, {{service, 4.0}});
  cr_assert(AllottedTo(allotter.AllotmentsFor(RouterId{"r1"}, now), "a") == 5.0);
}

Test(allotter, a_silent_router_loses_its_part) {
  AllotterOptions options;
  options.growth_headroom = 1.0;
  options.burst_deviations = 0.0;
  Allotter allotter(options);
  const ServiceName service{"archive"};
  allotter.SetGroups(service, {{GroupName{"a"}, 1.0}});
  allotter.SetCapacity(service, 100.0);
  const Instant start = InstantFromMicros(1'000'000);
  const Instant later = start + options.report_lifetime + options.recompute_interval;
  allotter.Report(RouterId{"gone"}, {{GroupName{"a"}, service, 1'000.0}}, start);
  allotter.Report(RouterId{"here"}, {{GroupName{"a"}, service, 1'000.0}}, start);
  cr_assert(AllottedTo(allotter.AllotmentsFor(RouterId{"here"}, start), "a") == 50.0);
  allotter.Report(RouterId{"here"}, {{GroupName{"a"}, service, 1'000.0}}, later);
  cr_assert(AllottedTo(allotter.AllotmentsFor(RouterId{"here"}, later), "a") == 100.0);
  cr_assert(allotter.AllotmentsFor(RouterId{"gone"}, later).empty());
}

Test(allotter, allotments_stay_within_capacity_apart_from_the_floor) {
  cr_assert(rc::check([] {
    Allotter allotter;
    const ServiceName service{"archive"};
    const double capacity = *rc::gen::inRange(1, 500);
    allotter.SetGroups(service, {{GroupName{"a"}, 1.0}, {GroupName{"b"}, 2.5}});
    allotter.SetCapacity(service, capacity);
    const Instant now = InstantFromMicros(1'000'000);
    const int routers = *rc::gen::inRange(1, 6);
    for (int number = 0; number < routers; ++number) {
      const RouterId router{"r" + std::to_string(number)};
      const double first = *rc::gen::inRange(0, 300);
      const double second = *rc::gen::inRange(0, 300);
      allotter.Report(router, {{GroupName{"a"}, service, first}, {GroupName{"b"}, service, second}},
                      now);
    }
    double above_floor = 0.0;
    for (int number = 0; number < routers; ++number) {
      for (const auto& allotment :
           allotter.AllotmentsFor(RouterId{"r" + std::to_string(number)}, now)) {
        RC_ASSERT(allotment.concurrency >= 1.0);
        if (allotment.concurrency > 1.0) above_floor += allotment.concurrency;
      }
    }
    RC_ASSERT(above_floor <= capacity + kTolerance);
  }));
}
