/// @file
/// Messages between control and routers about the traffic state: updates, polls and feed requests.
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
#include "graniteseam/traffic/peer.h"
#include "graniteseam/traffic/quota.h"
#include "graniteseam/traffic/suspect.h"
#include "graniteseam/traffic/tenant.h"

namespace graniteseam::traffic {

/// The difference of the traffic state from `base` to `version`, both log indexes. With base 0 it
/// is the whole state. The items' `source` is empty.
struct TrafficUpdate {
  std::uint64_t sequence = 0;  ///< Of the poll that it responds to; 0 when pushed.
  std::uint64_t base = 0;
  std::uint64_t version = 0;
  ConfigurationVersion configuration;
  std::vector<Route> routes;  ///< New or changed.
  std::vector<RouteName> removed_routes;
  std::vector<Service> services;  ///< New or changed.
  std::vector<ServiceName> removed_services;
  std::optional<CallerLimits> limits;  ///< When changed.
  std::vector<Instance> instances;     ///< New or changed; ended ones are to be removed.
  /// Changed spans in the order of their changes; each replaces earlier state of its keys.
  std::vector<KeyRange> ranges;
  std::uint32_t routers = 0;  ///< Routers that currently share the group's budgets.
  /// In the response to a poll: the polling router's rank among them by id, starting at 0.
  std::uint32_t router_place = 0;
  std::optional<std::vector<SuspectRequest>> suspects;  ///< All suspects, when any changed.
  TenancyUpdate tenancy;
  /// In the response to a poll: the internal address ("ip:port") of the control process that the
  /// polling router is to use as its feed; empty for the responding process.
  std::string feed;
  QuotaGrant quota;  ///< In the response to a poll.
  PeerUpdate peers;  ///< In the response to a poll.

  bool operator==(const TrafficUpdate&) const = default;
};
BOOST_DESCRIBE_STRUCT(TrafficUpdate, (),
                      (sequence, base, version, configuration, routes, removed_routes, services,
                       removed_services, limits, instances, ranges, routers, router_place, suspects,
                       tenancy, feed, quota, peers))

/// Requests for one key that one router received since its last poll.
struct KeyLoad {
  std::uint32_t key = 0;
  std::uint32_t requests = 0;

  bool operator==(const KeyLoad&) const = default;
};
BOOST_DESCRIBE_STRUCT(KeyLoad, (), (key, requests))

/// The loads of a service's keys; keys without requests are omitted.
struct ServiceLoads {
  ServiceName service;
  std::vector<KeyLoad> keys;

  bool operator==(const ServiceLoads&) const = default;
};
BOOST_DESCRIBE_STRUCT(ServiceLoads, (), (service, keys))

/// Latency and failure counts of one instance as seen by one router since that router's last poll.
/// Latency covers only requests that found a free slot, so that it excludes queueing.
struct InstanceSpeed {
  InstanceId instance;
  std::uint32_t answers = 0;    ///< Responses to requests that found a free slot.
  std::uint64_t busy_us = 0;    ///< Sum of their latencies.
  std::uint32_t whole = 0;      ///< Complete responses, including those to queued requests.
  std::uint32_t failures = 0;   ///< Complete responses that indicate a failure of the instance.
  std::uint32_t unreached = 0;  ///< Attempts that ended without a complete response.
  /// Work times that responses reported, in percent of the usual, and their number.
  double work_percent_sum = 0;
  std::uint32_t work_percent_answers = 0;

  bool operator==(const InstanceSpeed&) const = default;
};
BOOST_DESCRIBE_STRUCT(InstanceSpeed, (),
                      (instance, answers, busy_us, whole, failures, unreached, work_percent_sum,
                       work_percent_answers))

/// A router's request for changes, which also serves as its heartbeat.
struct TrafficPoll {
  RouterId router;
  ZoneName zone;
  std::uint64_t sequence = 0;
  std::uint64_t version = 0;  ///< Log index of the state that the router has; 0 for none.
  std::vector<ServiceLoads> loads;
  std::vector<InstanceSpeed> speeds;
  std::vector<LostAttempt> losses;        ///< Recent ones; may repeat earlier reports.
  std::vector<AnsweredRequest> answered;  ///< Suspects that recently got a response.
  /// Requests the state from the leader itself, while no feed is up to date.
  bool wants_state = true;
  std::uint32_t feeds_tried = 0;  ///< Feeds that were out of date or unreachable.
  QuotaReport quota;
  std::vector<InstanceLimit> limits;  ///< Observed in responses since the last poll.
  std::vector<InstanceRest> rests;    ///< Back-off periods requested since the last poll.
  /// Instances that announced their shutdown in an answer and still accept new work for all that
  /// the router knows.
  std::vector<InstanceId> leaving;
  /// The router's address for coordinated admission, "ip:port"; empty when it takes no part.
  std::string peer_address;
  double peer_weight = 1;      ///< Its machine's processor share.
  std::string caller_address;  ///< Where it takes forwarded requests; empty when it takes none.
  PeerVersion peers_version;   ///< Of the list of gateways that the router has.

  bool operator==(const TrafficPoll&) const = default;
};
BOOST_DESCRIBE_STRUCT(TrafficPoll, (),
                      (router, zone, sequence, version, loads, speeds, losses, answered,
                       wants_state, feeds_tried, quota, limits, rests, leaving, peer_address,
                       peer_weight, caller_address, peers_version))

/// Subscribes to a control process's traffic state: the state, then its changes for as long as the
/// connection lasts.
struct FeedRequest {
  RouterId router;
  std::uint64_t sequence = 0;
  std::uint64_t version = 0;  ///< Log index of the state that the router has; 0 for none.
  bool ends = false;          ///< Unsubscribes: the router now uses another process.

  bool operator==(const FeedRequest&) const = default;
};
BOOST_DESCRIBE_STRUCT(FeedRequest, (), (router, sequence, version, ends))

}  // namespace graniteseam::traffic
