/// @file
/// Divides each service's capacity among groups and routers: weighted max-min fairness with
/// lending of unused share. See docs/design/admission.md.
#pragma once

#include <cstddef>
#include <map>
#include <vector>

#include "graniteseam/common/ids.h"
#include "graniteseam/common/time.h"

namespace graniteseam::admission {

/// One claimant of a divisible capacity.
struct Claimant {
  double weight = 1.0;  ///< Greater than 0.
  double demand = 0.0;  ///< At least 0, in the capacity's unit.
};

/// Divides `capacity` by weighted max-min fairness (Bertsekas and Gallager, Data Networks, 6.5.2):
/// nobody gets more than its demand, and nobody who wants more has less per weight than another.
/// @return one part for each claimant, in order; the sum is min(capacity, sum of demands).
std::vector<double> WeightedMaxMin(double capacity, const std::vector<Claimant>& claimants);

struct GroupWeight {
  GroupName group;
  double weight = 1.0;
};

/// What one group wants of one service through one router, in concurrent requests.
struct DemandReport {
  GroupName group;
  ServiceName service;
  double concurrency_wanted = 0.0;  ///< In flight plus queued, mean.
};

/// The concurrent requests that a service's servers take from one router, as its concurrency
/// windows found out.
struct CapacityReport {
  ServiceName service;
  double concurrency = 0.0;
};

/// What one group may have in flight at one service through one router.
struct RouterAllotment {
  GroupName group;
  ServiceName service;
  double concurrency = 0.0;
};

struct AllotterOptions {
  Duration report_lifetime{3'000'000};  ///< A router not heard of for this long wants nothing.
  Duration recompute_interval{50'000};  ///< Shares are computed anew at most this often.
  double growth_headroom = 1.25;        ///< Demand is taken as this multiple of what was reported,
  double burst_deviations = 2.0;        ///< or, where that is more, with this many standard
                                        ///< deviations of a Poisson count on top.
  double concurrency_minimum = 1.0;     ///< Floor for each group in each router, so that a group
                                        ///< that was silent can start before its next report.
};

/// The control leader's decision maker for shares.
///
/// Invariant: apart from the floor of concurrency_minimum, the allotments of a service add up to no
/// more than its capacity. State is soft: a new leader starts empty and learns from renewals;
/// until then routers keep their last allotment. Not thread safe; deterministic.
class Allotter {
 public:
  explicit Allotter(AllotterOptions options = {});

  /// Names the groups that may call a service and their weights; replaces earlier ones.
  void SetGroups(const ServiceName& service, std::vector<GroupWeight> groups);
  /// Sets the most concurrent requests that all servers of a service may take together. Where
  /// routers report less, their sum counts.
  void SetCapacity(const ServiceName& service, double concurrency);
  /// Drops services that the bundle in force does not name.
  void RetainServices(const std::vector<ServiceName>& services);

  /// Takes a router's report; replaces its earlier one.
  void Report(const RouterId& router, const std::vector<DemandReport>& reports, Instant now,
              const std::vector<CapacityReport>& capacities = {});
  /// Forgets a router that left.
  void Forget(const RouterId& router);

  /// Returns what the router may use: every group of every service with a known capacity.
  std::vector<RouterAllotment> AllotmentsFor(const RouterId& router, Instant now);

 private:
  struct ServiceShares {
    std::vector<GroupWeight> groups;
    double capacity = 0.0;
  };
  struct RouterReport {
    Instant taken_at;
    std::map<ServiceName, std::map<GroupName, double>> wanted;
    std::map<ServiceName, double> capacity;
  };

  void DropOldReports(Instant now);
  void Recompute(Instant now);
  void DivideService(const ServiceName& service, const ServiceShares& shares);
  double Capacity(const ServiceName& service, const ServiceShares& shares) const;
  double Wanted(const RouterReport& report, const ServiceName& service,
                const GroupName& group) const;

  AllotterOptions options_;
  std::map<ServiceName, ServiceShares> services_;
  std::map<RouterId, RouterReport> reports_;
  std::map<RouterId, std::vector<RouterAllotment>> allotments_;
  Instant computed_at_{};
  bool stale_ = true;
};

}  // namespace graniteseam::admission
