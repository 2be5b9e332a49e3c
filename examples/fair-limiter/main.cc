/// @file
/// Fair limits for groups that share servers, without any daemon: two gateways report what three
/// groups want of one service, the shares are divided by weighted max-min fairness, and a limiter
/// in one gateway holds each group to its part. One group wants ten times its share.
#include <algorithm>
#include <cstdlib>
#include <iostream>
#include <map>
#include <string>
#include <string_view>
#include <vector>

#include "graniteseam/admission/allotter.h"
#include "graniteseam/admission/group_limiter.h"

namespace {

using graniteseam::Duration;
using graniteseam::GroupName;
using graniteseam::Instant;
using graniteseam::InstantFromMicros;
using graniteseam::RouterId;
using graniteseam::ServiceName;
using graniteseam::admission::Allotter;
using graniteseam::admission::AllotterOptions;
using graniteseam::admission::DemandReport;
using graniteseam::admission::GroupLimiter;
using graniteseam::admission::OfferedRequest;
using graniteseam::admission::Verdict;

constexpr double kCapacity = 40.0;  // Concurrent requests that the service's servers take.
constexpr int kOffered = 60;
constexpr Duration kDeadline{2'000'000};

const ServiceName kService{"status"};
const GroupName kGreedy{"greedy"};
const GroupName kSteady{"steady"};
const GroupName kQuiet{"quiet"};

using Shares = std::map<GroupName, double>;

/// What one gateway may have in flight, by group.
Shares SharesOf(Allotter& allotter, const std::string& gateway, Instant now) {
  Shares shares;
  for (const auto& allotment : allotter.AllotmentsFor(RouterId{gateway}, now)) {
    shares[allotment.group] = allotment.concurrency;
  }
  return shares;
}

/// Offers many requests of a group to a limiter whose servers have room for all of them.
int CountAdmitted(GroupLimiter& limiter, const GroupName& group, Instant now) {
  static std::uint64_t number = 0;
  int admitted = 0;
  for (int offered = 0; offered < kOffered; ++offered) {
    const OfferedRequest request{++number, group, /*lane=*/0, now + kDeadline};
    const auto result = limiter.Offer(request, /*lane_room=*/kOffered, now);
    if (result.verdict == Verdict::kAdmitted) ++admitted;
  }
  return admitted;
}

bool Expect(bool condition, std::string_view what) {
  if (!condition) std::cout << "BROKEN: " << what << '\n';
  return condition;
}

}  // namespace

int main() {
  const Instant now = InstantFromMicros(1'000'000);
  const AllotterOptions options;
  Allotter allotter(options);
  allotter.SetGroups(kService, {{kGreedy, 1.0}, {kSteady, 1.0}, {kQuiet, 2.0}});
  allotter.SetCapacity(kService, kCapacity);
  allotter.Report(RouterId{"gateway-1"}, {{kGreedy, kService, 80.0}, {kSteady, kService, 6.0}},
                  now);
  allotter.Report(RouterId{"gateway-2"}, {{kGreedy, kService, 20.0}, {kQuiet, kService, 4.0}}, now);

  Shares total;
  bool sound = true;
  for (const std::string gateway : {"gateway-1", "gateway-2"}) {
    for (const auto& [group, concurrency] : SharesOf(allotter, gateway, now)) {
      std::cout << gateway << ' ' << group.value << ": " << concurrency << '\n';
      total[group] += concurrency;
    }
  }
  // Floors for silent groups come on top of the capacity: one for each group in each gateway.
  const double floors = 2 * 3 * options.concurrency_minimum;
  const double sum = total[kGreedy] + total[kSteady] + total[kQuiet];
  sound &= Expect(sum <= kCapacity + floors, "no more than the capacity may be given out");
  sound &= Expect(total[kSteady] >= 6.0, "a group within its share must get what it wants");
  sound &= Expect(total[kQuiet] >= 4.0, "a group within its share must get what it wants");
  sound &= Expect(total[kGreedy] > kCapacity / 4, "unused share must be lent");

  GroupLimiter limiter;
  limiter.Configure({{kGreedy, 1.0}, {kSteady, 1.0}, {kQuiet, 2.0}});
  for (const auto& [group, concurrency] : SharesOf(allotter, "gateway-1", now)) {
    limiter.SetLimit(group, concurrency);
  }
  const int greedy = CountAdmitted(limiter, kGreedy, now);
  const int steady = CountAdmitted(limiter, kSteady, now);
  std::cout << "gateway-1 admits " << greedy << " of greedy's " << kOffered << " requests at once, "
            << steady << " of steady's.\n";
  sound &= Expect(greedy < kOffered, "the greedy group must be held to its part");
  sound &= Expect(steady >= 6, "the steady group must not wait for the greedy one");
  return sound ? EXIT_SUCCESS : EXIT_FAILURE;
}
