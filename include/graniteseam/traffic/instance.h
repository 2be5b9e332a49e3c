/// @file
/// Instances: single lives of server processes that register themselves by heartbeat. A server that
/// starts again is another instance, also at the same address.
#pragma once

#include <boost/describe/class.hpp>
#include <boost/describe/enum.hpp>
#include <cstdint>
#include <string>
#include <string_view>

#include "graniteseam/common/ids.h"

namespace graniteseam::traffic {

/// One life of a server process: the name that the server gives itself and, where it tells, when
/// it started. A server may start again under its name; nothing that is known of one life, and
/// nothing that was decided for it, then holds for the next one.
using InstanceId = NameId<struct InstanceIdTag>;

/// Parts a server's name from the start of one of its lives. Names must not have it.
inline constexpr char kStartTimeSeparator = '~';

/// @param started_at_ms when the life began, in milliseconds by the server's own time of day; 0
/// when it does not tell, and the name stands for its only life.
InstanceId MakeInstanceId(std::string_view name, std::int64_t started_at_ms);
/// The name by which the server knows itself, in all of its lives.
std::string_view ServerNameOf(const InstanceId& instance);
/// When the life began; 0 when it did not tell.
std::int64_t StartTimeMsOf(const InstanceId& instance);

/// What an instance says of itself in a heartbeat.
struct InstanceReport {
  InstanceId id;
  ServiceName service;
  std::string address;  ///< "ip:port".
  ZoneName zone;
  std::string release;  ///< Of its software; only shown.
  std::int64_t slots = 1;
  bool draining = false;
  std::int64_t sequence = 0;  ///< Grows with each heartbeat: tells a late one.
  /// How much longer it is slow. Of a committed report only whether it is 0 is kept up to date.
  std::int64_t warmup_left_ms = 0;

  bool operator==(const InstanceReport&) const = default;
};
BOOST_DESCRIBE_STRUCT(InstanceReport, (),
                      (id, service, address, zone, release, slots, draining, sequence,
                       warmup_left_ms))

enum class InstanceState {
  kReady,
  kDraining,      ///< Finishes what it has; gets no new work.
  kDisplaced,     ///< Another instance reported from its address.
  kDeregistered,  ///< Said that it ends; never comes back.
  kZoneDrained,   ///< An operator drains its zone; gets new work again when the zone is taken back.
};
BOOST_DESCRIBE_ENUM(InstanceState, kReady, kDraining, kDisplaced, kDeregistered, kZoneDrained)

/// What is known of an instance.
struct Instance {
  InstanceReport report;  ///< The newest that changed something.
  InstanceState state = InstanceState::kReady;
  std::uint64_t changed_at = 0;  ///< Log index of the newest change.

  bool TakesNewWork() const { return state == InstanceState::kReady; }
  bool IsWarmingUp() const { return report.warmup_left_ms > 0; }
  bool IsGone() const {
    return state == InstanceState::kDisplaced || state == InstanceState::kDeregistered;
  }
  bool operator==(const Instance&) const = default;
};
BOOST_DESCRIBE_STRUCT(Instance, (), (report, state, changed_at))

}  // namespace graniteseam::traffic
