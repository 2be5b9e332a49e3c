/// @file
/// Instances: single incarnations of server processes, which register themselves by heartbeat. A
/// server that restarts is a new instance, even at the same address.
#pragma once

#include <boost/describe/class.hpp>
#include <boost/describe/enum.hpp>
#include <cstdint>
#include <string>
#include <string_view>

#include "graniteseam/common/ids.h"

namespace graniteseam::traffic {

/// Identifies one incarnation of a server process: the name that the server reports and, if it
/// reports one, its start time. A server may restart under the same name; state and decisions about
/// one incarnation do not apply to the next.
using InstanceId = NameId<struct InstanceIdTag>;

/// Separates the server's name from the start time in an InstanceId. Not allowed in names.
inline constexpr char kStartTimeSeparator = '~';

/// Builds the id of an incarnation.
/// @param started_at_ms start time in milliseconds by the server's wall clock; 0 when the server
/// does not report one. The id is then the name alone, and the server has a single incarnation.
InstanceId MakeInstanceId(std::string_view name, std::int64_t started_at_ms);
/// The name that the server reports, which is the same for all of its incarnations.
std::string_view ServerNameOf(const InstanceId& id);
/// Start time of the incarnation in milliseconds; 0 when the server reported none.
std::int64_t StartTimeMsOf(const InstanceId& id);

/// The contents of an instance's heartbeat.
struct InstanceReport {
  InstanceId id;
  ServiceName service;
  std::string address;  ///< "ip:port".
  ZoneName zone;
  std::string release;     ///< Software release; for display only.
  std::int64_t slots = 1;  ///< Requests that it runs at a time.
  bool draining = false;
  std::int64_t sequence = 0;  ///< Increases with each heartbeat; identifies late ones.
  /// Remaining warm-up time. In a committed report only whether it is 0 is kept up to date.
  std::int64_t warmup_left_ms = 0;

  bool operator==(const InstanceReport&) const = default;
};
BOOST_DESCRIBE_STRUCT(InstanceReport, (),
                      (id, service, address, zone, release, slots, draining, sequence,
                       warmup_left_ms))

/// Whether an instance gets new work, and if not, why.
enum class InstanceState {
  kReady,
  kDraining,      ///< Finishes running requests; gets no new work.
  kDisplaced,     ///< Replaced by another instance at its address or a later incarnation.
  kDeregistered,  ///< Deregistered itself; final.
  kZoneDrained,   ///< An operator drained its zone; gets new work again after the undrain.
};
BOOST_DESCRIBE_ENUM(InstanceState, kReady, kDraining, kDisplaced, kDeregistered, kZoneDrained)

/// The replicated state of an instance.
struct Instance {
  InstanceReport report;  ///< The newest report that changed the state.
  InstanceState state = InstanceState::kReady;
  std::uint64_t changed_at = 0;  ///< Log index of the last change.

  bool AcceptsNewWork() const { return state == InstanceState::kReady; }
  bool IsWarmingUp() const { return report.warmup_left_ms > 0; }
  /// Whether the instance has ended; its entry is a tombstone.
  bool IsGone() const {
    return state == InstanceState::kDisplaced || state == InstanceState::kDeregistered;
  }
  bool operator==(const Instance&) const = default;
};
BOOST_DESCRIBE_STRUCT(Instance, (), (report, state, changed_at))

}  // namespace graniteseam::traffic
