/// @file
/// Hints that the leader sends to routers along with the traffic state, aggregated from the reports
/// of all routers. Hints are not replicated: they may be lost, expire at the routers, and are
/// discarded when the leadership ends.
#pragma once

#include <boost/describe/class.hpp>
#include <cstdint>
#include <vector>

#include "graniteseam/traffic/configuration.h"
#include "graniteseam/traffic/instance.h"
#include "graniteseam/traffic/instance_limit.h"

namespace graniteseam::traffic {

/// Aggregated latency and failure rate of an instance. With hundreds of routers and hundreds of
/// instances, each router sends a request to a given instance about once a minute, which is too few
/// to estimate these on its own.
struct InstanceHint {
  InstanceId instance;
  std::uint32_t latency_us = 0;       ///< Mean latency of a request; 0 when unknown.
  std::uint32_t failing_percent = 0;  ///< Share of attempts that failed at it or did not reach it.

  bool operator==(const InstanceHint&) const = default;
};
BOOST_DESCRIBE_STRUCT(InstanceHint, (), (instance, latency_us, failing_percent))

/// A key whose request rate exceeds its owner's capacity.
struct HotKey {
  ServiceName service;
  std::uint32_t key = 0;
  double admitted = 1;  ///< Fraction of requests to admit; 1 when the overload has ended.

  bool operator==(const HotKey&) const = default;
};
BOOST_DESCRIBE_STRUCT(HotKey, (), (service, key, admitted))

/// All hints of one message.
struct TrafficHints {
  std::vector<InstanceHint> instances;
  std::vector<HotKey> hot_keys;
  std::vector<InstanceLimit> limits;

  bool operator==(const TrafficHints&) const = default;
};
BOOST_DESCRIBE_STRUCT(TrafficHints, (), (instances, hot_keys, limits))

}  // namespace graniteseam::traffic
