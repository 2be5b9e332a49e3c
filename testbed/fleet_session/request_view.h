/// @file
/// What callers were told, put together by request, and how long keys were unavailable.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "graniteseam/common/ids.h"
#include "testbed/support/record.h"

namespace graniteseam::testbed {

/// One request with all its sendings.
struct RequestView {
  std::string service;
  std::string key;     ///< Empty for a pooled service.
  std::string router;  ///< Of the last sending.
  std::int64_t due_us = 0;
  std::int64_t done_us = 0;  ///< When its last answer came.
  bool answered = false;     ///< A server's own or kept answer came in time.
  std::string ending;        ///< Of the last sending: outcome and error kind, or "late".

  double LatencyMs() const;
};

/// Puts the sendings of each request together, in the order of their due times.
std::vector<RequestView> RequestsOf(const std::vector<AnswerRecord>& answers);

/// A span in which something was done to the fleet, and what it touched.
struct Disturbance {
  std::int64_t from_us = 0;
  std::int64_t until_us = 0;
  std::set<ShardId> shards;  ///< Those whose owner was disturbed.
};

/// Tells a key's shard.
using ShardOf = std::function<ShardId(const std::string& service, const std::string& key)>;

/// Length of unavailable time in milliseconds, one for each disturbance and shard that it made
/// unavailable: from the start of the disturbance until the last request that was delayed or failed
/// by it was done. A request counts as delayed when it took longer than `delayed_ms`.
std::vector<double> UnavailableMs(const std::vector<RequestView>& requests,
                                  const std::vector<Disturbance>& disturbances,
                                  const ShardOf& shard_of, double delayed_ms);

/// How many requests failed, by service and ending, for example "billing: not_run unavailable".
std::map<std::string, std::uint64_t> FailuresOf(const std::vector<RequestView>& requests);

/// Requests of a service that were not answered in time; all services for an empty name.
std::uint64_t FailedCount(const std::vector<RequestView>& requests,
                          const std::string& service = "");

}  // namespace graniteseam::testbed
