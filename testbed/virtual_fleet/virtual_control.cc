#include "testbed/virtual_fleet/virtual_control.h"

#include <utility>

namespace graniteseam::testbed {

namespace {

constexpr Duration kRouterLease{1'000'000};
/// Load hints travel with lease answers and map updates; this is how old they get.
constexpr Duration kHintInterval{500'000};
constexpr std::uint32_t kConcurrencyPerServer = 16;
const ZoneName kZone{"zone"};

bundle::Bundle PoolBundle(const ServiceName& name, const std::vector<GroupName>& groups) {
  bundle::Bundle bundle;
  bundle.version = BundleVersion{1};
  bundle.author = "experiment";
  bundle::Service service;
  service.name = name;
  service.repeatable = true;
  service.concurrency_per_server = kConcurrencyPerServer;
  bundle.services.push_back(service);
  for (const GroupName& group : groups) {
    bundle::Group entry;
    entry.name = group;
    entry.services = {name};
    bundle.groups.push_back(entry);
  }
  return bundle;
}

}  // namespace

VirtualControl::VirtualControl(EventQueue& events, const VirtualPool& pool,
                               const std::vector<GroupName>& groups)
    : events_(events), pool_(pool), bundle_(PoolBundle(pool.settings().service, groups)) {
  std::vector<admission::GroupWeight> weights;
  for (const bundle::Group& group : bundle_.groups) weights.push_back({group.name, group.share});
  allotter_.SetGroups(pool.settings().service, std::move(weights));
  allotter_.SetCapacity(pool.settings().service,
                        static_cast<double>(kConcurrencyPerServer * pool.size()));
  map_ = WholeMap();
  events_.Every(kHintInterval, [this] {
    ++map_version_;
    map_ = WholeMap();
  });
}

control::RouterRenewalAnswer VirtualControl::Answer(const control::RouterRenewal& renewal) {
  TakeReport(renewal);
  control::RouterRenewalAnswer answer;
  answer.sequence = renewal.sequence;
  answer.bundle_digest = "digest";
  if (renewal.map_version != map_version_) answer.map = map_;
  if (renewal.bundle_version != bundle_.version) {
    answer.bundle = bundle_;
    return answer;
  }
  answer.granted = true;
  answer.lease_us = kRouterLease.count();
  for (const auto& part : allotter_.AllotmentsFor(renewal.router, events_.now())) {
    answer.allotments.push_back({part.group, part.service, part.concurrency});
  }
  return answer;
}

void VirtualControl::TakeReport(const control::RouterRenewal& renewal) {
  std::vector<admission::DemandReport> demand;
  for (const control::GroupDemand& item : renewal.demand) {
    demand.push_back({item.group, item.service, item.concurrency_wanted});
  }
  std::vector<admission::CapacityReport> capacity;
  for (const control::ServiceCapacity& item : renewal.capacity) {
    capacity.push_back({item.service, item.concurrency});
  }
  allotter_.Report(renewal.router, demand, events_.now(), capacity);
}

control::MapUpdate VirtualControl::WholeMap() const {
  control::MapUpdate map;
  map.version = map_version_;
  for (std::size_t index = 0; index < pool_.size(); ++index) {
    control::ServerEntry entry;
    entry.id = pool_.IdOf(index);
    entry.service = pool_.settings().service;
    entry.zone = kZone;
    entry.load_hint = pool_.server(index).ReportedLoad();
    map.servers.push_back(entry);
  }
  return map;
}

}  // namespace graniteseam::testbed
