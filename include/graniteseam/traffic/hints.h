/// @file
/// What the leader tells routers beside the traffic state: what all of them together saw. Hints are
/// not replicated. Each may be lost, fades at the routers, and ends with the leadership.
#pragma once

#include <boost/describe/class.hpp>
#include <cstdint>
#include <vector>

#include "graniteseam/traffic/configuration.h"
#include "graniteseam/traffic/instance.h"
#include "graniteseam/traffic/instance_limit.h"

namespace graniteseam::traffic {

/// How an instance does. Where hundreds of routers share hundreds of instances, each of them meets
/// an instance about once a minute and knows nothing of it by itself.
struct InstanceHint {
  InstanceId instance;
  std::uint32_t latency_us = 0;       ///< Mean time of a request; 0 when not known.
  std::uint32_t failing_percent = 0;  ///< Of attempts that it failed, or that did not reach it.

  bool operator==(const InstanceHint&) const = default;
};
BOOST_DESCRIBE_STRUCT(InstanceHint, (), (instance, latency_us, failing_percent))

/// A key that is asked for more often than its owner can answer.
struct HotKey {
  ServiceName service;
  std::uint32_t key = 0;
  double admitted = 1;  ///< Part of its requests that the owner can run; 1 when it is over.

  bool operator==(const HotKey&) const = default;
};
BOOST_DESCRIBE_STRUCT(HotKey, (), (service, key, admitted))

struct TrafficHints {
  std::vector<InstanceHint> instances;
  std::vector<HotKey> hot_keys;
  std::vector<InstanceLimit> limits;

  bool operator==(const TrafficHints&) const = default;
};
BOOST_DESCRIBE_STRUCT(TrafficHints, (), (instances, hot_keys, limits))

}  // namespace graniteseam::traffic
