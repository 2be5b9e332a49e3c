#include "src/traffic/configuration_store.h"

#include <algorithm>
#include <set>
#include <utility>

namespace graniteseam::traffic {
namespace {

/// Several times the number of changes in one day. An older change is not recognized when it is
/// resent.
constexpr std::size_t kAcceptedDigestsMaximum = 20'000;
/// Longest timeout of a route: ten minutes.
constexpr std::int64_t kTimeoutMaximumMs = 600'000;

std::size_t BytesOf(const Route& route) {
  std::size_t bytes = sizeof(Route) + route.name.value.size() + route.host.size() +
                      route.path_prefix.size() + route.source.size();
  for (const WeightedService& part : route.split) {
    bytes += sizeof(WeightedService) + part.service.value.size();
  }
  return bytes;
}

std::size_t BytesOf(const Service& service) {
  return sizeof(Service) + service.name.value.size() + service.health_path.size() +
         service.source.size();
}

std::size_t BytesOf(const Tenant& tenant) {
  std::size_t bytes = sizeof(Tenant) + tenant.name.value.size() + tenant.source.size();
  for (const KeyDigest& key : tenant.keys) bytes += sizeof(KeyDigest) + key.size();
  return bytes;
}

template <class Item>
std::size_t BytesOf(const std::vector<Item>& items) {
  std::size_t bytes = 0;
  for (const Item& item : items) bytes += BytesOf(item);
  return bytes;
}

/// Bytes of the items that a change neither replaces nor removes.
template <class Item, class Name>
std::size_t BytesBeside(const std::vector<Item>& items, const std::vector<Item>& changed,
                        const std::vector<Name>& removed) {
  std::set<std::string_view> gone;
  for (const Item& item : changed) gone.insert(item.name.value);
  for (const Name& name : removed) gone.insert(name.value);
  std::size_t bytes = 0;
  for (const Item& item : items) {
    if (!gone.contains(item.name.value)) bytes += BytesOf(item);
  }
  return bytes;
}

boost::leaf::error_id Invalid(std::string message, std::string remedy) {
  return Fail(ErrorKind::kInvalidArgument, std::move(message), std::move(remedy));
}

Result<void> CheckRoute(const Route& route, const std::set<std::string>& services) {
  const std::string name = "Route " + route.name.value;
  if (!route.path_prefix.starts_with('/')) {
    return Invalid(name + " has a path prefix that does not start with a slash.",
                   "Start the prefix with a slash.");
  }
  if (route.timeout_ms <= 0 || route.timeout_ms > kTimeoutMaximumMs) {
    return Invalid(name + " has a timeout outside of 1 ms to ten minutes.",
                   "Choose a timeout in that range.");
  }
  if (route.split.empty()) {
    return Invalid(name + " names no service.", "Name a service, or a split over services.");
  }
  for (const WeightedService& part : route.split) {
    if (part.weight < 0) {
      return Invalid(name + " has a weight below 0.", "Use weights of 0 or more.");
    }
    if (!services.contains(part.service.value)) {
      return Invalid(name + " names the unknown service " + part.service.value + ".",
                     "Add the service, or correct its name.");
    }
  }
  return {};
}

}  // namespace

Result<void> CheckConfiguration(const Configuration& configuration) {
  BOOST_LEAF_CHECK(CheckNames(configuration.services, "service"));
  BOOST_LEAF_CHECK(CheckNames(configuration.routes, "route"));
  std::set<std::string> services;
  for (const Service& service : configuration.services) services.insert(service.name.value);
  std::set<std::pair<std::string, std::string>> matches;
  for (const Route& route : configuration.routes) {
    BOOST_LEAF_CHECK(CheckRoute(route, services));
    if (!matches.insert({route.host, route.path_prefix}).second) {
      return Invalid(
          "Two routes have the host " + route.host + " and the prefix " + route.path_prefix + ".",
          "Give each route its own combination of host and prefix.");
    }
  }
  return {};
}

Result<void> ConfigurationStore::Apply(const ConfigurationChange& change, std::uint64_t log_index) {
  if (WasAccepted(change.digest)) return {};
  const std::string current = std::to_string(configuration_.version.value);
  if (change.base != configuration_.version) {
    return Fail(ErrorKind::kVersionConflict,
                "The change is based on version " + std::to_string(change.base.value) +
                    ", but version " + current + " is current.",
                "Read the current configuration and base the change on it.");
  }
  if (change.version <= configuration_.version) {
    return Invalid("Version " + std::to_string(change.version.value) +
                       " is not above the current version " + current + ".",
                   "Choose a higher version.");
  }
  Configuration next = Changed(change);
  BOOST_LEAF_CHECK(CheckConfiguration(next));
  Tenancy tenancy = tenants_.current().Changed(change);
  BOOST_LEAF_CHECK(CheckTenancy(tenancy));
  routes_.NoteChanges(configuration_.routes, next.routes, log_index);
  services_.NoteChanges(configuration_.services, next.services, log_index);
  tenants_.Replace(std::move(tenancy), log_index);
  if (!(next.limits == configuration_.limits) || changed_at_ == 0) limits_changed_at_ = log_index;
  configuration_ = std::move(next);
  changed_at_ = log_index;
  accepted_digests_.push_back(change.digest);
  if (accepted_digests_.size() > kAcceptedDigestsMaximum) accepted_digests_.pop_front();
  return {};
}

std::size_t ConfigurationStore::Bytes() const {
  return BytesOf(configuration_.routes) + BytesOf(configuration_.services) +
         BytesOf(tenancy().tenants) + configuration_.further.size() +
         configuration_.limits.source.size();
}

std::size_t ConfigurationStore::BytesAfter(const ConfigurationChange& change) const {
  std::size_t bytes = BytesOf(change.routes) + BytesOf(change.services) +
                      BytesOf(change.tenancy.tenants) + change.further.size();
  if (change.limits) bytes += change.limits->source.size();
  if (change.whole) return bytes;
  return bytes + configuration_.further.size() +
         (change.limits ? 0 : configuration_.limits.source.size()) +
         BytesBeside(configuration_.routes, change.routes, change.removed_routes) +
         BytesBeside(configuration_.services, change.services, change.removed_services) +
         BytesBeside(tenancy().tenants, change.tenancy.tenants, change.tenancy.removed_tenants);
}

const Service* ConfigurationStore::FindService(const ServiceName& name) const {
  const auto& services = configuration_.services;
  const auto found = std::find_if(services.begin(), services.end(),
                                  [&](const Service& service) { return service.name == name; });
  return found == services.end() ? nullptr : &*found;
}

bool ConfigurationStore::WasAccepted(const std::string& digest) const {
  // Searches the newest first: a resent change is nearly always a recent one.
  return std::find(accepted_digests_.rbegin(), accepted_digests_.rend(), digest) !=
         accepted_digests_.rend();
}

Configuration ConfigurationStore::Changed(const ConfigurationChange& change) const {
  Configuration next;
  if (change.whole) {
    next.routes = change.routes;
    next.services = change.services;
    next.further = change.further;
    if (change.limits) next.limits = *change.limits;
  } else {
    next = configuration_;
    RemoveItems(next.routes, change.removed_routes);
    RemoveItems(next.services, change.removed_services);
    for (const Route& route : change.routes) PutItem(next.routes, route);
    for (const Service& service : change.services) PutItem(next.services, service);
    if (change.limits) next.limits = *change.limits;
  }
  next.version = change.version;
  return next;
}

void ConfigurationStore::AddChanges(std::uint64_t base, TrafficUpdate& update) const {
  update.configuration = configuration_.version;
  routes_.AddChanged(configuration_.routes, base, update.routes);
  routes_.AddRemoved(base, update.removed_routes);
  services_.AddChanged(configuration_.services, base, update.services);
  services_.AddRemoved(base, update.removed_services);
  tenants_.AddChanges(base, update);
  if (limits_changed_at_ <= base || configuration_.version.value == 0) return;
  update.limits = configuration_.limits;
  update.limits->source.clear();
}

ConfigurationImage ConfigurationStore::Image() const {
  ConfigurationImage image;
  image.configuration = configuration_;
  image.accepted_digests.assign(accepted_digests_.begin(), accepted_digests_.end());
  image.route_versions = routes_.Changed();
  image.service_versions = services_.Changed();
  image.removed_routes = routes_.Removed();
  image.removed_services = services_.Removed();
  image.limits_changed_at = limits_changed_at_;
  image.changed_at = changed_at_;
  return image;
}

void ConfigurationStore::Restore(ConfigurationImage image) {
  configuration_ = std::move(image.configuration);
  accepted_digests_.assign(image.accepted_digests.begin(), image.accepted_digests.end());
  routes_ = ItemHistory(image.route_versions, image.removed_routes);
  services_ = ItemHistory(image.service_versions, image.removed_services);
  limits_changed_at_ = image.limits_changed_at;
  changed_at_ = image.changed_at;
}

}  // namespace graniteseam::traffic
