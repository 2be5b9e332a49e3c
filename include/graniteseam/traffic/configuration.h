/// @file
/// The traffic configuration: routes, services, tenants and caller limits. Operators change it by
/// compare-and-set on its version; see docs/design/traffic.md.
#pragma once

#include <boost/describe/class.hpp>
#include <boost/describe/enum.hpp>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "graniteseam/common/ids.h"
#include "graniteseam/traffic/configuration_ids.h"
#include "graniteseam/traffic/tenant.h"

namespace graniteseam::traffic {

/// How often a request may run, which decides whether it is retried when its outcome is unknown.
enum class RouteKind {
  kSafe,      ///< May run more than once.
  kUnsafe,    ///< Runs at most once.
  kDownload,  ///< May run more than once; its response bodies are large.
};
BOOST_DESCRIBE_ENUM(RouteKind, kSafe, kUnsafe, kDownload)

/// Whether a request may be sent again when the outcome of the first attempt is unknown.
constexpr bool MayRepeat(RouteKind kind) { return kind != RouteKind::kUnsafe; }

/// One destination of a route's traffic split.
struct WeightedService {
  ServiceName service;
  double weight = 0;  ///< Relative to the other destinations of the split.

  bool operator==(const WeightedService&) const = default;
};
BOOST_DESCRIBE_STRUCT(WeightedService, (), (service, weight))

/// Maps the requests for one host and path prefix to services.
struct Route {
  RouteName name;
  std::string host;
  std::string path_prefix;
  RouteKind kind = RouteKind::kSafe;
  std::int64_t timeout_ms = 0;         ///< Total deadline of a request.
  std::int64_t target_latency_ms = 0;  ///< Responses within this time have the highest value.
  std::int64_t priority = 0;           ///< 0 is the most urgent.
  std::int64_t attempts_maximum = 1;   ///< Servers that one request may be sent to, in all.
  std::vector<WeightedService> split;  ///< At least one destination.
  std::string source;                  ///< The item as submitted, in JSON.

  bool operator==(const Route&) const = default;
};
BOOST_DESCRIBE_STRUCT(Route, (),
                      (name, host, path_prefix, kind, timeout_ms, target_latency_ms, priority,
                       attempts_maximum, split, source))

/// How the instances of a keyed service receive their key leases.
enum class LeaseForm {
  kOrders,     ///< By requests from the control process to the owner.
  kHeartbeat,  ///< In the responses to the owner's heartbeats.
};
BOOST_DESCRIBE_ENUM(LeaseForm, kOrders, kHeartbeat)

/// A service whose servers register themselves.
struct Service {
  ServiceName name;
  std::string health_path;
  std::int64_t connections_maximum = 0;       ///< Limit of one server over all callers.
  bool keyed = false;                         ///< Partitioned by key: each key has one owner.
  std::string source;                         ///< The item as submitted, in JSON.
  LeaseForm lease_form = LeaseForm::kOrders;  ///< Applies to keyed services only.

  bool operator==(const Service&) const = default;
};
BOOST_DESCRIBE_STRUCT(Service, (),
                      (name, health_path, connections_maximum, keyed, source, lease_form))

/// Size limits and time-outs for callers' requests and connections.
struct CallerLimits {
  std::int64_t header_bytes_maximum = 16'384;
  std::int64_t body_bytes_maximum = 1 << 20;
  std::int64_t header_timeout_ms = 5'000;
  std::int64_t idle_timeout_ms = 60'000;
  std::string source;  ///< As submitted, in JSON; empty when the limits are the defaults.

  bool operator==(const CallerLimits&) const = default;
};
BOOST_DESCRIBE_STRUCT(CallerLimits, (),
                      (header_bytes_maximum, body_bytes_maximum, header_timeout_ms, idle_timeout_ms,
                       source))

/// One version of the traffic configuration, without its tenants.
struct Configuration {
  ConfigurationVersion version;
  std::vector<Route> routes;
  std::vector<Service> services;
  CallerLimits limits;
  /// Unrecognized members of the submitted object, as one JSON object. They are kept so that a read
  /// returns what was written.
  std::string further;

  bool operator==(const Configuration&) const = default;
};
BOOST_DESCRIBE_STRUCT(Configuration, (), (version, routes, services, limits, further))

/// A configuration change as an operator submitted it.
struct ConfigurationChange {
  ConfigurationVersion base;     ///< The version that the change is based on.
  ConfigurationVersion version;  ///< The version that the change produces.
  bool whole = false;            ///< Replaces the configuration; otherwise the named items only.
  std::vector<Route> routes;
  std::vector<Service> services;
  std::optional<CallerLimits> limits;
  std::string further;
  std::vector<RouteName> removed_routes;
  std::vector<ServiceName> removed_services;
  std::string digest;  ///< Digest of the request body; equal digests mark a resent change.
  TenancyChange tenancy;

  bool operator==(const ConfigurationChange&) const = default;
};
BOOST_DESCRIBE_STRUCT(ConfigurationChange, (),
                      (base, version, whole, routes, services, limits, further, removed_routes,
                       removed_services, digest, tenancy))

}  // namespace graniteseam::traffic
