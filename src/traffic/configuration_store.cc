#include "src/traffic/configuration_store.h"

#include <algorithm>
#include <set>
#include <utility>

namespace graniteseam::traffic {
namespace {

/// Changes of one day, several times over; a change that is older is no longer known when resent.
constexpr std::size_t kDigestsKept = 20'000;
constexpr std::int64_t kTimeoutMaximumMs = 600'000;

boost::leaf::error_id Invalid(std::string message, std::string remedy) {
  return Fail(ErrorKind::kInvalidArgument, std::move(message), std::move(remedy));
}

template <class Item>
void Upsert(std::vector<Item>& items, const Item& item) {
  const auto found = std::find_if(items.begin(), items.end(),
                                  [&](const Item& known) { return known.name == item.name; });
  if (found == items.end()) {
    items.push_back(item);
  } else {
    *found = item;
  }
}

template <class Item, class Name>
void Remove(std::vector<Item>& items, const std::vector<Name>& names) {
  std::erase_if(items, [&](const Item& item) {
    return std::find(names.begin(), names.end(), item.name) != names.end();
  });
}

template <class Item>
Result<void> CheckNames(const std::vector<Item>& items, const char* what) {
  std::set<std::string> names;
  for (const Item& item : items) {
    if (item.name.Empty()) {
      return Invalid(std::string("A ") + what + " has no name.", "Give each item a name.");
    }
    if (!names.insert(item.name.value).second) {
      return Invalid(std::string("Two items are the ") + what + " " + item.name.value + ".",
                     "Name each item once.");
    }
  }
  return {};
}

Result<void> CheckRoute(const Route& route, const std::set<std::string>& services) {
  const std::string name = "Route " + route.name.value;
  if (!route.path_prefix.starts_with('/')) {
    return Invalid(name + " has a path prefix without a slash at its start.",
                   "Begin the prefix with a slash.");
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

/// Notes what differs between two lists of items, so that only that is sent on.
template <class Item>
void NoteChanges(const std::vector<Item>& before, const std::vector<Item>& after,
                 std::uint64_t log_index, std::map<std::string, std::uint64_t>& changed_at,
                 std::map<std::string, std::uint64_t>& removed_at) {
  std::map<std::string, const Item*> old_items;
  for (const Item& item : before) old_items[item.name.value] = &item;
  for (const Item& item : after) {
    const auto old_item = old_items.find(item.name.value);
    const bool same = old_item != old_items.end() && *old_item->second == item;
    if (old_item != old_items.end()) old_items.erase(old_item);
    if (same) continue;
    changed_at[item.name.value] = log_index;
    removed_at.erase(item.name.value);
  }
  for (const auto& [name, item] : old_items) {
    changed_at.erase(name);
    removed_at[name] = log_index;
  }
}

template <class Item>
void AddItems(const std::vector<Item>& items,
              const std::map<std::string, std::uint64_t>& changed_at, std::uint64_t base,
              std::vector<Item>& added) {
  for (const Item& item : items) {
    if (changed_at.at(item.name.value) <= base) continue;
    added.push_back(item);
    added.back().source.clear();
  }
}

template <class Name>
void AddRemoved(const std::map<std::string, std::uint64_t>& removed_at, std::uint64_t base,
                std::vector<Name>& added) {
  if (base == 0) return;
  for (const auto& [name, at] : removed_at) {
    if (at > base) added.push_back(Name{name});
  }
}

std::vector<ItemVersion> ToList(const std::map<std::string, std::uint64_t>& versions) {
  std::vector<ItemVersion> list;
  list.reserve(versions.size());
  for (const auto& [name, at] : versions) list.push_back({name, at});
  return list;
}

std::map<std::string, std::uint64_t> ToMap(const std::vector<ItemVersion>& list) {
  std::map<std::string, std::uint64_t> versions;
  for (const ItemVersion& item : list) versions[item.name] = item.changed_at;
  return versions;
}

}  // namespace

Result<void> CheckConfiguration(const Configuration& configuration) {
  BOOST_LEAF_CHECK(CheckNames(configuration.services, "service"));
  BOOST_LEAF_CHECK(CheckNames(configuration.routes, "route"));
  std::set<std::string> services;
  for (const Service& service : configuration.services) services.insert(service.name.value);
  std::set<std::pair<std::string, std::string>> places;
  for (const Route& route : configuration.routes) {
    BOOST_LEAF_CHECK(CheckRoute(route, services));
    if (!places.insert({route.host, route.path_prefix}).second) {
      return Invalid(
          "Two routes have the host " + route.host + " and the prefix " + route.path_prefix + ".",
          "Give each route a place of its own.");
    }
  }
  return {};
}

Result<void> ConfigurationStore::Apply(const ConfigurationChange& change, std::uint64_t log_index) {
  if (WasAccepted(change.digest)) return {};
  const std::string current = std::to_string(configuration_.version.value);
  if (change.base != configuration_.version) {
    return Fail(ErrorKind::kVersionConflict,
                "The change builds on version " + std::to_string(change.base.value) +
                    ", but version " + current + " is current.",
                "Read the current configuration and build on it.");
  }
  if (change.version <= configuration_.version) {
    return Invalid("Version " + std::to_string(change.version.value) +
                       " is not above the current version " + current + ".",
                   "Choose a higher version.");
  }
  Configuration next = Changed(change);
  BOOST_LEAF_CHECK(CheckConfiguration(next));
  NoteChanges(configuration_.routes, next.routes, log_index, routes_.changed_at,
              routes_.removed_at);
  NoteChanges(configuration_.services, next.services, log_index, services_.changed_at,
              services_.removed_at);
  if (!(next.limits == configuration_.limits) || changed_at_ == 0) limits_changed_at_ = log_index;
  configuration_ = std::move(next);
  changed_at_ = log_index;
  accepted_digests_.push_back(change.digest);
  if (accepted_digests_.size() > kDigestsKept) accepted_digests_.pop_front();
  return {};
}

const Service* ConfigurationStore::FindService(const ServiceName& name) const {
  const auto& services = configuration_.services;
  const auto found = std::find_if(services.begin(), services.end(),
                                  [&](const Service& service) { return service.name == name; });
  return found == services.end() ? nullptr : &*found;
}

bool ConfigurationStore::WasAccepted(const std::string& digest) const {
  // A resend is nearly always of a late change.
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
    Remove(next.routes, change.removed_routes);
    Remove(next.services, change.removed_services);
    for (const Route& route : change.routes) Upsert(next.routes, route);
    for (const Service& service : change.services) Upsert(next.services, service);
    if (change.limits) next.limits = *change.limits;
  }
  next.version = change.version;
  return next;
}

void ConfigurationStore::AddChanges(std::uint64_t base, TrafficUpdate& update) const {
  update.configuration = configuration_.version;
  AddItems(configuration_.routes, routes_.changed_at, base, update.routes);
  AddRemoved(routes_.removed_at, base, update.removed_routes);
  AddItems(configuration_.services, services_.changed_at, base, update.services);
  AddRemoved(services_.removed_at, base, update.removed_services);
  if (limits_changed_at_ <= base || configuration_.version.value == 0) return;
  update.limits = configuration_.limits;
  update.limits->source.clear();
}

ConfigurationImage ConfigurationStore::Image() const {
  ConfigurationImage image;
  image.configuration = configuration_;
  image.accepted_digests.assign(accepted_digests_.begin(), accepted_digests_.end());
  image.route_versions = ToList(routes_.changed_at);
  image.service_versions = ToList(services_.changed_at);
  image.removed_routes = ToList(routes_.removed_at);
  image.removed_services = ToList(services_.removed_at);
  image.limits_changed_at = limits_changed_at_;
  image.changed_at = changed_at_;
  return image;
}

void ConfigurationStore::Restore(ConfigurationImage image) {
  configuration_ = std::move(image.configuration);
  accepted_digests_.assign(image.accepted_digests.begin(), image.accepted_digests.end());
  routes_ = {ToMap(image.route_versions), ToMap(image.removed_routes)};
  services_ = {ToMap(image.service_versions), ToMap(image.removed_services)};
  limits_changed_at_ = image.limits_changed_at;
  changed_at_ = image.changed_at;
}

}  // namespace graniteseam::traffic
