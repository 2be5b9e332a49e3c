/// @file
/// Suspect requests, which were running on instances when these ended: the reports of routers and
/// the replicated record.
#pragma once

#include <boost/describe/class.hpp>
#include <cstddef>
#include <cstdint>
#include <vector>

#include "graniteseam/common/time.h"
#include "graniteseam/traffic/instance.h"
#include "graniteseam/traffic/request_digest.h"

namespace graniteseam::traffic {

/// Number of instances that must have ended, one after the other, while running a request before it
/// is quarantined. Two may be a coincidence where servers fail in series, as with a failing rack or
/// a faulty release.
inline constexpr std::size_t kQuarantineThreshold = 3;

/// How long a suspect is kept after the last instance that ended while running it. Long enough that
/// a request that arrives once a minute ends no more than three servers in that time, and short
/// enough that it is tried again on the day on which the servers are fixed.
inline constexpr Duration kSuspectRetention{600'000'000};

/// A router's report of an attempt that ended without a response. Times are ages, since the clocks
/// of different machines are not comparable.
struct LostAttempt {
  RequestDigest digest;
  InstanceId instance;
  std::int64_t sent_ms_ago = 0;
  std::int64_t lost_ms_ago = 0;

  bool operator==(const LostAttempt&) const = default;
};
BOOST_DESCRIBE_STRUCT(LostAttempt, (), (digest, instance, sent_ms_ago, lost_ms_ago))

/// A router's report of the last time that an instance responded to a suspect request.
struct AnsweredRequest {
  RequestDigest digest;
  std::int64_t answered_ms_ago = 0;

  bool operator==(const AnsweredRequest&) const = default;
};
BOOST_DESCRIBE_STRUCT(AnsweredRequest, (), (digest, answered_ms_ago))

/// A request that was running on several instances when they ended.
struct SuspectRequest {
  RequestDigest digest;
  std::vector<InstanceId> ended;  ///< In the order in which they ended.
  std::uint64_t changed_at = 0;   ///< Log index of the last change.

  /// Whether routers refuse the request instead of sending it to an instance.
  bool Quarantined() const { return ended.size() >= kQuarantineThreshold; }
  bool operator==(const SuspectRequest&) const = default;
};
BOOST_DESCRIBE_STRUCT(SuspectRequest, (), (digest, ended, changed_at))

}  // namespace graniteseam::traffic
