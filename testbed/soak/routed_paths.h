/// @file
/// What each version of the operator's configuration routes where. A function of the version alone, so that
/// who ran a request tells by which versions a router may have sent it.
#pragma once

#include <cstdint>
#include <nlohmann/json.hpp>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace graniteseam::testbed::soak {

/// The path that only configurations from a version on route, and those before it don't.
auto path_since(std::uint64_t version) -> std::string;
/// A configuration routes such paths of its own version and of so many before it.
inline constexpr std::uint64_t versions_routed = 48;

/// Paths that later versions move to another service, split between two, drop and add again, or exchange
/// for one another.
auto changing_paths() -> std::vector<std::string> const&;

/// The services that a version sends requests for a changing path to; none where it has no route for it.
auto services_for(std::uint64_t version, std::string_view path) -> std::set<std::string>;

/// A whole configuration.
/// @param coordinated whether routers coordinate admission to the leased service: its target latency is
///     above the least for which they do.
auto configuration_of(std::uint64_t version, bool coordinated = false) -> nlohmann::json;

/// The change that leads from one version's configuration to another's.
auto patch_between(std::uint64_t base, std::uint64_t version, bool coordinated = false) -> nlohmann::json;

/// A configuration with its routes in the order of their names: patches may leave them in another one.
auto in_order(nlohmann::json configuration) -> nlohmann::json;

} // namespace graniteseam::testbed::soak
