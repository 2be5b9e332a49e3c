/// @file
/// Instances: single lives of server processes that register themselves by heartbeat. A server that
/// starts again is another instance, also at the same address.
#pragma once

#include <boost/describe/class.hpp>
#include <boost/describe/enum.hpp>
#include <cstdint>
#include <string>

#include "graniteseam/common/ids.h"

namespace graniteseam::traffic {

/// One life of a server process.
using InstanceId = NameId<struct InstanceIdTag>;

/// What an instance says of itself in a heartbeat.
struct InstanceReport {
  InstanceId id;
  ServiceName service;
  std::string address;  ///< "ip:port".
  ZoneName zone;
  std::string release;  ///< Of its software; only shown.
  std::int64_t slots = 1;
  bool draining = false;
  std::int64_t sequence = 0;        ///< Grows with each heartbeat: tells a late one.
  std::int64_t warmup_left_ms = 0;  ///< How much longer it is slow.

  bool operator==(const InstanceReport&) const = default;
};
BOOST_DESCRIBE_STRUCT(InstanceReport, (),
                      (id, service, address, zone, release, slots, draining, sequence,
                       warmup_left_ms))

enum class InstanceState {
  kReady,
  kDraining,     ///< Finishes what it has; gets no new work.
  kDisplaced,    ///< Another instance reported from its address.
  kDeregistered  ///< Said that it ends; never comes back.
};
BOOST_DESCRIBE_ENUM(InstanceState, kReady, kDraining, kDisplaced, kDeregistered)

/// What is known of an instance.
struct Instance {
  InstanceReport report;  ///< The newest that changed something.
  InstanceState state = InstanceState::kReady;
  std::uint64_t changed_at = 0;  ///< Log index of the newest change.

  bool TakesNewWork() const { return state == InstanceState::kReady; }
  bool Gone() const {
    return state == InstanceState::kDisplaced || state == InstanceState::kDeregistered;
  }
  bool operator==(const Instance&) const = default;
};
BOOST_DESCRIBE_STRUCT(Instance, (), (report, state, changed_at))

}  // namespace graniteseam::traffic
