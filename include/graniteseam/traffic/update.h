/// @file
/// What routers are told of the traffic state, and what they tell in return.
#pragma once

#include <boost/describe/class.hpp>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "graniteseam/traffic/configuration.h"
#include "graniteseam/traffic/instance.h"
#include "graniteseam/traffic/instance_limit.h"
#include "graniteseam/traffic/key_range.h"
#include "graniteseam/traffic/quota.h"
#include "graniteseam/traffic/suspect.h"
#include "graniteseam/traffic/tenant.h"

namespace graniteseam::traffic {

/// The change of the traffic state from `base` to `version`, both log indexes. With base 0 it is
/// the whole state. Items are without their sources.
struct TrafficUpdate {
  std::uint64_t sequence = 0;  ///< Of the poll that it answers; 0 when it was pushed.
  std::uint64_t base = 0;
  std::uint64_t version = 0;
  ConfigurationVersion configuration;
  std::vector<Route> routes;  ///< New or changed.
  std::vector<RouteName> removed_routes;
  std::vector<Service> services;  ///< New or changed.
  std::vector<ServiceName> removed_services;
  std::optional<CallerLimits> limits;  ///< When changed.
  std::vector<Instance> instances;     ///< New or changed; those that are gone to be forgotten.
  /// Changed spans in the order of their changes; each overrides what was known of its keys.
  std::vector<KeyRange> ranges;
  std::uint32_t routers = 0;  ///< Routers that share the group's budgets at present.
  /// In the answer to a poll: the polling router's place among them, from 0 on, by their ids.
  std::uint32_t router_place = 0;
  std::optional<std::vector<SuspectRequest>> suspects;  ///< All of them, when any changed.
  TenancyUpdate tenancy;
  /// In the answer to a poll: the internal address ("ip:port") of the control process from which
  /// the polling router is to take the state; empty for the one that answers.
  std::string feed;
  QuotaGrant quota;  ///< In the answer to a poll.

  bool operator==(const TrafficUpdate&) const = default;
};
BOOST_DESCRIBE_STRUCT(TrafficUpdate, (),
                      (sequence, base, version, configuration, routes, removed_routes, services,
                       removed_services, limits, instances, ranges, routers, router_place, suspects,
                       tenancy, feed, quota))

/// Requests for one key through one router since its last poll.
struct KeyLoad {
  std::uint32_t key = 0;
  std::uint32_t requests = 0;

  bool operator==(const KeyLoad&) const = default;
};
BOOST_DESCRIBE_STRUCT(KeyLoad, (), (key, requests))

/// The loads of a service's keys; keys without requests are left out.
struct ServiceLoads {
  ServiceName service;
  std::vector<KeyLoad> keys;

  bool operator==(const ServiceLoads&) const = default;
};
BOOST_DESCRIBE_STRUCT(ServiceLoads, (), (service, keys))

/// How fast one instance answered one router since that router's last poll: requests that found a
/// free slot, so that their time tells of the instance and not of its queue.
struct InstanceSpeed {
  InstanceId instance;
  std::uint32_t answers = 0;
  std::uint64_t busy_us = 0;    ///< Sum of their times.
  std::uint32_t whole = 0;      ///< Whole answers, also of requests that had to wait.
  std::uint32_t failures = 0;   ///< Of those, the ones that tell of a failure of the instance.
  std::uint32_t unreached = 0;  ///< Attempts that ended without a whole answer of the instance.

  bool operator==(const InstanceSpeed&) const = default;
};
BOOST_DESCRIBE_STRUCT(InstanceSpeed, (), (instance, answers, busy_us, whole, failures, unreached))

/// Asks for what changed, and shows that the router lives.
struct TrafficPoll {
  RouterId router;
  ZoneName zone;
  std::uint64_t sequence = 0;
  std::uint64_t version = 0;  ///< Log index of the state that the router has; 0 for none.
  std::vector<ServiceLoads> loads;
  std::vector<InstanceSpeed> speeds;
  std::vector<LostAttempt> losses;        ///< Lately, some of them told before.
  std::vector<AnsweredRequest> answered;  ///< Suspects that were answered lately.
  /// Asks the leader for the state itself, as long as no feed keeps up.
  bool wants_state = true;
  std::uint32_t feeds_tried = 0;  ///< Feeds that did not keep up, or were not reached.
  QuotaReport quota;
  std::vector<InstanceLimit> limits;  ///< Heard of in answers since the last poll.
  std::vector<InstanceRest> rests;    ///< Asked for since then.

  bool operator==(const TrafficPoll&) const = default;
};
BOOST_DESCRIBE_STRUCT(TrafficPoll, (),
                      (router, zone, sequence, version, loads, speeds, losses, answered,
                       wants_state, feeds_tried, quota, limits, rests))

/// Asks a control process for the state and, as long as the connection stands, for its changes.
struct FeedRequest {
  RouterId router;
  std::uint64_t sequence = 0;
  std::uint64_t version = 0;  ///< Log index of the state that the router has; 0 for none.
  bool ends = false;          ///< The router takes it from another process from now on.

  bool operator==(const FeedRequest&) const = default;
};
BOOST_DESCRIBE_STRUCT(FeedRequest, (), (router, sequence, version, ends))

}  // namespace graniteseam::traffic
