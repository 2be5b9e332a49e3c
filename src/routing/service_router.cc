#include "src/routing/service_router.h"

#include <algorithm>

namespace graniteseam::routing {

void GroupUsage::Advance(Instant now) {
  if (advanced_to_ != Instant{}) {
    const auto passed = static_cast<double>(std::max(Duration{0}, now - advanced_to_).count());
    in_flight_us_ += in_flight_ * passed;
    waiting_us_ += waiting_ * passed;
  } else {
    since_ = now;
  }
  advanced_to_ = now;
}

void GroupUsage::Set(double in_flight, double waiting, Instant now) {
  Advance(now);
  in_flight_ = in_flight;
  waiting_ = waiting;
  used_ = true;
}

control::GroupDemand GroupUsage::Take(Instant now) {
  Advance(now);
  control::GroupDemand demand;
  const auto passed = static_cast<double>((now - since_).count());
  constexpr double kMicrosPerSecond = 1e6;
  if (passed > 0.0) {
    demand.offered_per_second = static_cast<double>(offered_) * kMicrosPerSecond / passed;
    demand.concurrency_used = in_flight_us_ / passed;
    demand.concurrency_wanted = (in_flight_us_ + waiting_us_) / passed;
  }
  offered_ = 0;
  in_flight_us_ = 0.0;
  waiting_us_ = 0.0;
  used_ = false;
  since_ = now;
  return demand;
}

ServiceRouter::ServiceRouter(const bundle::Service& service,
                             const SelectorOptions& selector_options,
                             const RetryBudgetOptions& budget_options, std::uint64_t seed)
    : service_(service), selector_(selector_options, seed), budget_options_(budget_options) {}

void ServiceRouter::Configure(const bundle::Service& service,
                              const std::vector<bundle::Group>& groups) {
  service_ = service;
  std::vector<admission::GroupSettings> settings;
  for (const bundle::Group& group : groups) {
    if (std::find(group.services.begin(), group.services.end(), service.name) ==
        group.services.end()) {
      continue;
    }
    settings.push_back({group.name, group.share, group.queue_maximum});
  }
  limiter_.Configure(settings);
}

std::size_t ServiceRouter::AvailableSlotsInLane(admission::Lane lane, Instant now) const {
  if (!keyed()) return selector_.PoolAvailableSlots(now);
  const ServerId* server = selector_.ServerOfLane(lane);
  return server == nullptr ? 0 : selector_.AvailableSlotsAt(*server, now);
}

void ServiceRouter::RecordUsage(const GroupName& group, Instant now) {
  const double waiting = static_cast<double>(limiter_.Queued(group)) + held_[group];
  usage_[group].Set(static_cast<double>(limiter_.InFlight(group)), waiting, now);
}

void ServiceRouter::RecordShardLoad(std::uint32_t shard, Duration busy) {
  Load& load = shard_load_[shard];
  load.requests += 1.0;
  load.busy_us += static_cast<double>(busy.count());
}

void ServiceRouter::Report(control::RouterRenewal& renewal, Instant now) {
  for (auto& [group, usage] : usage_) {
    const bool idle = usage.Idle();
    control::GroupDemand demand = usage.Take(now);
    if (idle) continue;
    demand.group = group;
    demand.service = service_.name;
    renewal.demand.push_back(std::move(demand));
  }
  for (const auto& [shard, load] : shard_load_) {
    renewal.shard_load.push_back({{service_.name, shard}, load.requests, load.busy_us});
  }
  shard_load_.clear();
  renewal.capacity.push_back({service_.name, selector_.Capacity()});
}

}  // namespace graniteseam::routing
