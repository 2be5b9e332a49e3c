/// @file
/// Finds a request's route by host and longest path prefix, and splits its requests among services.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <random>
#include <string>
#include <string_view>
#include <vector>

#include "graniteseam/common/time.h"
#include "graniteseam/traffic/update.h"

namespace graniteseam::gateway {

/// Routes by name and by host and path prefix. Not thread safe.
class RouteTable {
 public:
  /// @param seed draws the turn at which a split route starts. If many gateways with a few requests
  /// each started at the same turn, services with little weight would get none.
  explicit RouteTable(std::uint64_t seed) : random_(seed) {}

  /// Applies an update's routes; one with base 0 replaces all.
  void Apply(const traffic::TrafficUpdate& update);

  /// @return null when the configuration has no such route; valid until the next Apply().
  const traffic::Route* Find(std::string_view host, std::string_view path) const;

  /// The longest target latency of the routes to a service; zero without any.
  Duration LongestTarget(const ServiceName& service) const;

  /// The service of the route's next request; the split follows the weights as evenly as whole
  /// requests allow (smooth weighted round robin).
  /// @return nullopt when no service has a weight.
  std::optional<ServiceName> NextService(const traffic::Route& route);

 private:
  struct Entry {
    traffic::Route route;
    std::vector<double> credit;  ///< One for each service of the split.
  };
  using ByPrefix = std::map<std::string, traffic::RouteName>;

  void Put(const traffic::Route& route);
  void Remove(const traffic::RouteName& name);
  static std::optional<ServiceName> NextTurn(Entry& entry);
  void ComputeLongestTargets();

  std::mt19937_64 random_;
  std::map<traffic::RouteName, Entry> routes_;
  std::map<std::string, ByPrefix, std::less<>> hosts_;
  std::map<ServiceName, Duration> longest_targets_;
};

}  // namespace graniteseam::gateway
