#include "graniteseam/admission/allotter.h"

#include <algorithm>
#include <cmath>
#include <numeric>
#include <utility>

namespace graniteseam::admission {

namespace {

/// Claimant indices by rising demand per weight: the order in which water-filling satisfies them.
std::vector<std::size_t> OrderByDemandPerWeight(const std::vector<Claimant>& claimants) {
  std::vector<std::size_t> order(claimants.size());
  std::iota(order.begin(), order.end(), 0);
  std::stable_sort(order.begin(), order.end(), [&](std::size_t left, std::size_t right) {
    return claimants[left].demand * claimants[right].weight <
           claimants[right].demand * claimants[left].weight;
  });
  return order;
}

}  // namespace

std::vector<double> WeightedMaxMin(double capacity, const std::vector<Claimant>& claimants) {
  std::vector<double> parts(claimants.size(), 0.0);
  double weight_left = 0.0;
  for (const Claimant& claimant : claimants) weight_left += claimant.weight;
  double capacity_left = std::max(0.0, capacity);
  for (const std::size_t index : OrderByDemandPerWeight(claimants)) {
    const Claimant& claimant = claimants[index];
    const double fair = weight_left > 0.0 ? capacity_left * claimant.weight / weight_left : 0.0;
    parts[index] = std::min(claimant.demand, fair);
    capacity_left = std::max(0.0, capacity_left - parts[index]);
    weight_left -= claimant.weight;
  }
  return parts;
}

Allotter::Allotter(AllotterOptions options) : options_(options) {}

void Allotter::SetGroups(const ServiceName& service, std::vector<GroupWeight> groups) {
  services_[service].groups = std::move(groups);
  stale_ = true;
}

void Allotter::SetCapacity(const ServiceName& service, double concurrency) {
  double& capacity = services_[service].capacity;
  if (capacity == concurrency) return;
  capacity = concurrency;
  stale_ = true;
}

void Allotter::RetainServices(const std::vector<ServiceName>& services) {
  std::erase_if(services_, [&](const auto& entry) {
    return std::find(services.begin(), services.end(), entry.first) == services.end();
  });
  stale_ = true;
}

void Allotter::Report(const RouterId& router, const std::vector<DemandReport>& reports, Instant now,
                      const std::vector<CapacityReport>& capacities) {
  const bool known = reports_.contains(router);
  RouterReport report;
  report.taken_at = now;
  for (const DemandReport& item : reports) {
    report.wanted[item.service][item.group] = std::max(0.0, item.concurrency_wanted);
  }
  for (const CapacityReport& item : capacities) {
    report.capacity[item.service] = std::max(0.0, item.concurrency);
  }
  reports_[router] = std::move(report);
  if (!known) stale_ = true;
}

void Allotter::RemoveRouter(const RouterId& router) {
  reports_.erase(router);
  allotments_.erase(router);
  stale_ = true;
}

std::vector<RouterAllotment> Allotter::AllotmentsFor(const RouterId& router, Instant now) {
  if (stale_ || now - computed_at_ >= options_.recompute_interval) Recompute(now);
  const auto found = allotments_.find(router);
  return found == allotments_.end() ? std::vector<RouterAllotment>() : found->second;
}

void Allotter::DropOldReports(Instant now) {
  std::erase_if(reports_, [&](const auto& entry) {
    return now - entry.second.taken_at > options_.report_lifetime;
  });
}

void Allotter::Recompute(Instant now) {
  DropOldReports(now);
  allotments_.clear();
  for (const auto& [service, shares] : services_) {
    if (shares.capacity > 0.0 && !reports_.empty()) DivideService(service, shares);
  }
  computed_at_ = now;
  stale_ = false;
}

/// The sum of the capacities that routers measured, at most the configured limit. If a router
/// reports no capacity for the service, the configured limit applies.
double Allotter::Capacity(const ServiceName& service, const ServiceShares& shares) const {
  double sum = 0.0;
  for (const auto& [router, report] : reports_) {
    const auto found = report.capacity.find(service);
    if (found == report.capacity.end()) return shares.capacity;
    sum += found->second;
  }
  return std::min(sum, shares.capacity);
}

double Allotter::Wanted(const RouterReport& report, const ServiceName& service,
                        const GroupName& group) const {
  const auto by_group = report.wanted.find(service);
  if (by_group == report.wanted.end()) return 0.0;
  const auto wanted = by_group->second.find(group);
  if (wanted == by_group->second.end()) return 0.0;
  // Capacity equal to the mean demand is too little more than half of the time: small counts vary
  // by their square root (square-root staffing; Halfin and Whitt 1981).
  const double mean = wanted->second;
  return std::max(mean * options_.growth_headroom,
                  mean + options_.burst_deviations * std::sqrt(mean));
}

/// Divides at two levels: the capacity among groups by weight, then each group's part among
/// routers. Capacity that no group demands is lent, by weight and evenly over routers, so that a
/// burst needs no new report.
void Allotter::DivideService(const ServiceName& service, const ServiceShares& shares) {
  std::vector<Claimant> group_claims;
  double weight_sum = 0.0;
  for (const GroupWeight& group : shares.groups) {
    double demand = 0.0;
    for (const auto& [router, report] : reports_) demand += Wanted(report, service, group.group);
    group_claims.push_back({group.weight, demand});
    weight_sum += group.weight;
  }
  const double capacity = Capacity(service, shares);
  const std::vector<double> group_parts = WeightedMaxMin(capacity, group_claims);
  const double used = std::accumulate(group_parts.begin(), group_parts.end(), 0.0);
  const double unused = std::max(0.0, capacity - used);

  for (std::size_t index = 0; index < shares.groups.size(); ++index) {
    const GroupWeight& group = shares.groups[index];
    std::vector<Claimant> router_claims;
    for (const auto& [router, report] : reports_) {
      router_claims.push_back({1.0, Wanted(report, service, group.group)});
    }
    const std::vector<double> parts = WeightedMaxMin(group_parts[index], router_claims);
    const double lent =
        unused * group.weight / weight_sum / static_cast<double>(router_claims.size());
    std::size_t position = 0;
    for (const auto& [router, report] : reports_) {
      const double concurrency = std::max(options_.concurrency_minimum, parts[position] + lent);
      allotments_[router].push_back({group.group, service, concurrency});
      ++position;
    }
  }
}

}  // namespace graniteseam::admission
