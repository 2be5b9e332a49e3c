/// @file
/// Finds a request's route by host and longest path prefix, and divides it among services.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <random>
#include <string>
#include <string_view>
#include <vector>

#include "graniteseam/traffic/update.h"

namespace graniteseam::gateway {

/// Not thread safe.
class RouteTable {
 public:
  /// @param seed draws where the turns of a divided route begin. Where many gateways have a few
  /// requests each, one beginning for all would give nothing to parts with little weight.
  explicit RouteTable(std::uint64_t seed) : random_(seed) {}

  /// Takes an update's routes; one with base 0 replaces all.
  void Apply(const traffic::TrafficUpdate& update);

  /// @return null when the configuration has no such route; valid until the next Apply().
  const traffic::Route* Find(std::string_view host, std::string_view path) const;

  /// The service of the route's next request: parts follow their weights as evenly as whole
  /// requests allow (smooth weighted round robin).
  /// @return nullopt when no part has a weight.
  std::optional<ServiceName> NextService(const traffic::Route& route);

 private:
  struct Entry {
    traffic::Route route;
    std::vector<double> credit;  ///< One a part.
  };
  using ByPrefix = std::map<std::string, traffic::RouteName>;

  void Put(const traffic::Route& route);
  void Remove(const traffic::RouteName& name);
  static std::optional<ServiceName> NextTurn(Entry& entry);

  std::mt19937_64 random_;
  std::map<traffic::RouteName, Entry> routes_;
  std::map<std::string, ByPrefix, std::less<>> hosts_;
};

}  // namespace graniteseam::gateway
