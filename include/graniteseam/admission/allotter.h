/// @file
/// Divides each service's capacity among groups and routers by weighted max-min fairness; capacity
/// that no group demands is lent. See docs/design/admission.md.
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
/// no claimant gets more than its demand, and no claimant with unmet demand has less per weight
/// than another.
/// @return one part for each claimant, in order; the sum is min(capacity, sum of demands).
std::vector<double> WeightedMaxMin(double capacity, const std::vector<Claimant>& claimants);

/// A group that may call a service, and its weight.
struct GroupWeight {
  GroupName group;
  double weight = 1.0;
};

/// One group's demand for one service through one router, in concurrent requests.
struct DemandReport {
  GroupName group;
  ServiceName service;
  double concurrency_wanted = 0.0;  ///< Mean of in-flight plus queued requests.
};

/// The concurrent requests that a service's servers accept from one router, as measured by the
/// router's concurrency windows.
struct CapacityReport {
  ServiceName service;
  double concurrency = 0.0;
};

/// The concurrent requests that one group may have in flight at one service through one router.
struct RouterAllotment {
  GroupName group;
  ServiceName service;
  double concurrency = 0.0;
};

/// Settings of the Allotter.
struct AllotterOptions {
  /// The demand of a router that has not reported for this long counts as zero.
  Duration report_lifetime{3'000'000};
  /// Minimum interval between two computations of the shares.
  Duration recompute_interval{50'000};
  /// Factor on the reported mean demand; the larger of this estimate and that of burst_deviations
  /// applies.
  double growth_headroom = 1.25;
  /// Standard deviations of a Poisson count that are added to the reported mean demand.
  double burst_deviations = 2.0;
  /// Floor for each group in each router, so that an idle group can start before its next report.
  double concurrency_minimum = 1.0;
};

/// Computes the control leader's concurrency shares.
///
/// Invariant: apart from the floor of concurrency_minimum, the allotments of a service add up to no
/// more than its capacity. The state is soft: a new leader starts empty and rebuilds it from
/// renewals; until then routers keep their last allotment. Not thread safe; deterministic.
class Allotter {
 public:
  explicit Allotter(AllotterOptions options = {});

  /// Sets the groups that may call a service and their weights; replaces earlier ones.
  void SetGroups(const ServiceName& service, std::vector<GroupWeight> groups);
  /// Sets the upper bound of concurrent requests over all servers of a service. If every router
  /// reports a capacity and the sum of these is lower, the sum applies.
  void SetCapacity(const ServiceName& service, double concurrency);
  /// Removes all services except `services`, the ones in the active bundle.
  void RetainServices(const std::vector<ServiceName>& services);

  /// Stores a router's report; replaces its earlier one.
  void Report(const RouterId& router, const std::vector<DemandReport>& reports, Instant now,
              const std::vector<CapacityReport>& capacities = {});
  /// Removes a router that left.
  void RemoveRouter(const RouterId& router);

  /// Returns the router's allotments: one for every group of every service with a known capacity.
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
