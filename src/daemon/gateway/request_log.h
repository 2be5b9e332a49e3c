/// @file
/// The event log's lines about requests.
#pragma once

#include <cstdint>
#include <optional>
#include <span>
#include <string>
#include <string_view>

#include "graniteseam/common/time.h"
#include "graniteseam/traffic/request_digest.h"
#include "src/gateway/gateway_events.h"
#include "src/runtime/event_log.h"

namespace graniteseam::daemon {

/// A decision about a request and when it was made.
struct TimedNote {
  gateway::DecisionNote note;
  Instant at{};
};

/// A request that is being answered.
struct EndedRequest {
  std::string id;
  std::string target;  ///< Of the request line.
  traffic::RequestDigest digest;
  std::uint64_t version = 0;  ///< Of the traffic state.
  int status = 0;
  std::string_view outcome;
  Instant received{};          ///< When its last byte was read.
  Duration taken{};            ///< Since then.
  Duration connection_wait{};  ///< Until it began.
  std::optional<Instant> first_sent;
  gateway::RequestSummary summary;
};

/// Writes what was decided about a request, in order, with what it was decided on, and its answer.
/// Failures, retries and slow requests are written in full, of the rest a sample, more of those
/// that are late: on days of high load they are too many to write each of them. Not thread safe.
class RequestLog {
 public:
  /// Of the requests that are not written in full, one in this many is written.
  static constexpr std::uint64_t kSamplingFactor = 64;
  /// The same of those that are late against their target latency.
  static constexpr std::uint64_t kLateSamplingFactor = 8;

  explicit RequestLog(runtime::EventLog& events) : m_events(events) {}

  void Write(const EndedRequest& request, std::span<const TimedNote> notes);

 private:
  /// @return how many requests this one stands for in the log: 1 if it is written in full, 0 if it
  /// is not written.
  std::uint64_t TakeSamplingFactor(const EndedRequest& request, std::span<const TimedNote> notes);

  runtime::EventLog& m_events;
  std::uint64_t m_plain = 0;  ///< Requests so far that are not written in full and are in time.
  std::uint64_t m_late = 0;   ///< The same of late ones.
};

}  // namespace graniteseam::daemon
