/// @file
/// Requests under which instances ended: what routers saw, and what the group remembers of it.
#pragma once

#include <boost/describe/class.hpp>
#include <cstddef>
#include <cstdint>
#include <vector>

#include "graniteseam/common/time.h"
#include "graniteseam/traffic/instance.h"
#include "graniteseam/traffic/request_digest.h"

namespace graniteseam::traffic {

/// Instances that must have ended under a request, one after the other, before it is refused: two
/// may be chance where servers end in series, as in a rack that fails or a release that goes wrong.
inline constexpr std::size_t kQuarantineThreshold = 3;

/// How long a suspect is remembered after the last instance that ended under it. Long enough that
/// a request which comes each minute ends no more than three servers in that time, short enough
/// that it is tried again on the day on which the servers are mended.
inline constexpr Duration kSuspectRetention{600'000'000};

/// An attempt that ended without an answer, as a router tells of it. Times are spans, since
/// machines' clocks are not compared.
struct LostAttempt {
  RequestDigest digest;
  InstanceId instance;
  std::int64_t sent_ms_ago = 0;
  std::int64_t lost_ms_ago = 0;

  bool operator==(const LostAttempt&) const = default;
};
BOOST_DESCRIBE_STRUCT(LostAttempt, (), (digest, instance, sent_ms_ago, lost_ms_ago))

/// When an instance last ran a request and answered it, as a router tells of it.
struct AnsweredRequest {
  RequestDigest digest;
  std::int64_t answered_ms_ago = 0;

  bool operator==(const AnsweredRequest&) const = default;
};
BOOST_DESCRIBE_STRUCT(AnsweredRequest, (), (digest, answered_ms_ago))

/// A request under which several instances ended.
struct SuspectRequest {
  RequestDigest digest;
  std::vector<InstanceId> ended;  ///< In the order of their ends.
  std::uint64_t changed_at = 0;   ///< Log index of the newest change.

  /// Whether it is sent to no instance any more.
  bool Quarantined() const { return ended.size() >= kQuarantineThreshold; }
  bool operator==(const SuspectRequest&) const = default;
};
BOOST_DESCRIBE_STRUCT(SuspectRequest, (), (digest, ended, changed_at))

}  // namespace graniteseam::traffic
