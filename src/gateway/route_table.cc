#include "src/gateway/route_table.h"

#include <algorithm>
#include <cctype>
#include <numeric>

namespace graniteseam::gateway {
namespace {

/// The number of turns after which a split in whole percentages repeats.
constexpr int kTurns = 100;

std::string LowerCase(std::string_view text) {
  std::string lower(text);
  std::transform(lower.begin(), lower.end(), lower.begin(),
                 [](unsigned char c) { return static_cast<char>(std::tolower(c)); });
  return lower;
}

/// The host without its port.
std::string_view HostName(std::string_view host) { return host.substr(0, host.find(':')); }

}  // namespace

void RouteTable::Apply(const traffic::TrafficUpdate& update) {
  if (update.base == 0) {
    routes_.clear();
    hosts_.clear();
  }
  for (const traffic::RouteName& name : update.removed_routes) Remove(name);
  // A route may take the host and path of another one that moves in the same update.
  for (const traffic::Route& route : update.routes) Remove(route.name);
  for (const traffic::Route& route : update.routes) Put(route);
  const bool changed = update.base == 0 || !update.routes.empty() || !update.removed_routes.empty();
  if (changed) ComputeLongestTargets();
}

void RouteTable::ComputeLongestTargets() {
  longest_targets_.clear();
  for (const auto& [name, entry] : routes_) {
    const Duration target = std::chrono::milliseconds(entry.route.target_latency_ms);
    for (const traffic::WeightedService& part : entry.route.split) {
      Duration& longest = longest_targets_[part.service];
      longest = std::max(longest, target);
    }
  }
}

Duration RouteTable::LongestTarget(const ServiceName& service) const {
  const auto found = longest_targets_.find(service);
  return found == longest_targets_.end() ? Duration{} : found->second;
}

void RouteTable::Put(const traffic::Route& route) {
  hosts_[LowerCase(route.host)][route.path_prefix] = route.name;
  Entry& entry = routes_[route.name] = {route, std::vector<double>(route.split.size(), 0.0)};
  if (route.split.size() < 2) return;
  const int begun = std::uniform_int_distribution<int>(0, kTurns - 1)(random_);
  for (int turn = 0; turn < begun; ++turn) NextTurn(entry);
}

void RouteTable::Remove(const traffic::RouteName& name) {
  const auto found = routes_.find(name);
  if (found == routes_.end()) return;
  const auto host = hosts_.find(LowerCase(found->second.route.host));
  if (host != hosts_.end()) {
    const auto place = host->second.find(found->second.route.path_prefix);
    if (place != host->second.end() && place->second == name) host->second.erase(place);
    if (host->second.empty()) hosts_.erase(host);
  }
  routes_.erase(found);
}

const traffic::Route* RouteTable::Find(std::string_view host, std::string_view path) const {
  const auto prefixes = hosts_.find(LowerCase(HostName(host)));
  if (prefixes == hosts_.end()) return nullptr;
  const traffic::Route* best = nullptr;
  for (const auto& [prefix, name] : prefixes->second) {
    if (!path.starts_with(prefix)) continue;
    const traffic::Route& route = routes_.at(name).route;
    if (best == nullptr || prefix.size() > best->path_prefix.size()) best = &route;
  }
  return best;
}

std::optional<ServiceName> RouteTable::NextService(const traffic::Route& route) {
  return NextTurn(routes_.at(route.name));
}

std::optional<ServiceName> RouteTable::NextTurn(Entry& entry) {
  const auto& split = entry.route.split;
  const double total =
      std::accumulate(split.begin(), split.end(), 0.0,
                      [](double sum, const auto& part) { return sum + part.weight; });
  if (total <= 0) return std::nullopt;
  std::size_t chosen = 0;
  for (std::size_t part = 0; part < split.size(); ++part) {
    entry.credit[part] += split[part].weight;
    if (entry.credit[part] > entry.credit[chosen]) chosen = part;
  }
  entry.credit[chosen] -= total;
  return split[chosen].service;
}

}  // namespace graniteseam::gateway
