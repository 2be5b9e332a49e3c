#include "src/traffic/traffic_state.h"

#include <algorithm>
#include <utility>

namespace graniteseam::traffic {

Result<void> TrafficState::Apply(const ConfigurationChange& change, std::uint64_t log_index) {
  BOOST_LEAF_CHECK(configuration_.Apply(change, log_index));
  AddKeyedServices(log_index);
  return {};
}

void TrafficState::AddKeyedServices(std::uint64_t log_index) {
  for (const Service& service : configuration_.current().services) {
    if (service.keyed) ranges_.AddService(service.name, log_index);
  }
}

void TrafficState::Report(const std::vector<InstanceReport>& reports, std::uint64_t log_index) {
  for (const InstanceReport& report : reports) instances_.Report(report, log_index);
}

void TrafficState::Deregister(const InstanceId& id, std::uint64_t log_index) {
  instances_.Deregister(id, log_index);
}

void TrafficState::ReverseDisplacement(const InstanceId& displaced, const InstanceId& successor,
                                       std::uint64_t log_index) {
  instances_.ReverseDisplacement(displaced, successor, log_index);
}

Result<void> TrafficState::DrainZone(const ZoneName& zone, bool drained, std::uint64_t log_index) {
  const bool known = instances_.drained_zones().contains(zone);
  if (drained && !known && instances_.WouldDrainLastReadyZone(zone)) {
    return Fail(
        ErrorKind::kFailedPrecondition,
        "Zone " + zone.value + " can't be drained: no instance in another zone takes new work.",
        "Undrain another zone first.");
  }
  instances_.DrainZone(zone, drained, log_index);
  return {};
}

void TrafficState::Assign(const std::vector<RangeAssignment>& assignments,
                          std::uint64_t log_index) {
  for (const RangeAssignment& assignment : assignments) ranges_.Assign(assignment, log_index);
}

void TrafficState::BeginReleases(const std::vector<RangeRelease>& releases,
                                 std::uint64_t log_index) {
  for (const RangeRelease& release : releases) ranges_.BeginRelease(release, log_index);
}

void TrafficState::Confirm(const std::vector<RangeConfirmation>& confirmations,
                           std::uint64_t log_index) {
  for (const RangeConfirmation& confirmation : confirmations) {
    ranges_.Confirm(confirmation, log_index);
  }
}

bool TrafficState::LeasedByHeartbeat(const ServiceName& service) const {
  const Service* const found = configuration_.FindService(service);
  return found != nullptr && found->keyed && found->lease_form == LeaseForm::kHeartbeat;
}

std::uint64_t TrafficState::version() const {
  return std::max({configuration_.changed_at(), instances_.changed_at(), ranges_.changed_at(),
                   suspects_.changed_at()});
}

std::uint64_t TrafficState::urgent_version() const {
  return std::max({configuration_.changed_at(), instances_.changed_at(),
                   ranges_.urgent_changed_at(), suspects_.changed_at()});
}

std::size_t TrafficState::item_count() const {
  std::size_t items = instances_.instances().size();
  for (const auto& [service, ranges] : ranges_.services()) items += ranges.size();
  return items;
}

TrafficUpdate TrafficState::UpdateSince(std::uint64_t base) const {
  TrafficUpdate update;
  update.base = base > version() ? 0 : base;
  update.version = version();
  configuration_.AddChanges(update.base, update);
  instances_.AddChanges(update.base, update.instances);
  ranges_.AddChanges(update.base, update.ranges);
  if (update.base == 0 || suspects_.changed_at() > update.base) update.suspects = suspects_.All();
  return update;
}

TrafficImage TrafficState::Image() const {
  return {configuration_.Image(), instances_.Image(), ranges_.Image(), version()};
}

ZoneDrainImage TrafficState::ZoneDrains() const {
  const auto& zones = instances_.drained_zones();
  return {{zones.begin(), zones.end()}};
}

void TrafficState::Restore(TrafficImage image) {
  configuration_.Restore(std::move(image.configuration));
  instances_.Restore(image.instances);
  ranges_.Restore(image.ranges);
}

}  // namespace graniteseam::traffic
