/// @file
/// Messages between a router's I/O driver and its decision logic about one request: the request as
/// received, the attempts to make, the end of each, and the final answer. See
/// docs/design/routing.md and docs/design/retries.md.
#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "graniteseam/common/error.h"
#include "graniteseam/common/ids.h"
#include "graniteseam/common/time.h"
#include "graniteseam/control/router_messages.h"

namespace graniteseam::routing {

/// Identifies one caller request at the driver; unique within one run of a router process.
using RequestNumber = std::uint64_t;
/// Identifies one attempt; unique within one run of a router process.
using AttemptNumber = std::uint64_t;

/// The parts of a caller's request that decisions depend on; the driver keeps path and body.
struct CallerRequest {
  RequestNumber number = 0;
  ServiceName service;
  GroupName group;
  std::optional<std::string> key;        ///< Set for the path form of keyed services.
  std::optional<Duration> deadline;      ///< Requested by the caller; absent for the default.
  std::optional<OperationId> operation;  ///< The Idempotency-Key.
  std::string request_digest;  ///< Of method, path, query and body; for the operation journal.
  std::size_t body_bytes = 0;
};

/// Instructs the driver to send the request to a server.
struct AttemptSend {
  RequestNumber request = 0;
  AttemptNumber attempt = 0;
  std::string attempt_header;  ///< For Graniteseam-Attempt; unique across routers and restarts.
  ServerId server;
  std::string address;  ///< "ip:port".
  std::optional<std::uint32_t> shard;
  Epoch epoch;  ///< Of the shard.
  Instant sent_at{};
  Instant give_up_at{};  ///< Report the attempt as broken at this instant.
  bool keep_answer =
      false;            ///< Report the answer with the attempt's end, to store it in the journal.
  bool hedged = false;  ///< Another attempt of the request may run concurrently.
};

/// How an attempt ended, as observed by the driver.
enum class AttemptEnd {
  kAnswered,        ///< A complete answer that echoes the attempt id, without a not-run mark.
  kNotOwner,        ///< Marked not-run with status 421.
  kShed,            ///< Marked not-run with status 429.
  kNotReady,        ///< Marked not-run with status 503.
  kDeadlinePassed,  ///< Marked not-run with status 504.
  kNotSent,         ///< No byte of the request was handed to the kernel.
  kBroken,  ///< Timeout, lost connection, truncated answer or attempt id mismatch: it may have run.
  kServerUnknown,  ///< The server reports that it cannot determine whether it ran.
};

/// Whether an attempt with this end provably did not run and never will.
constexpr bool ProvenNotRun(AttemptEnd end) {
  return end == AttemptEnd::kNotOwner || end == AttemptEnd::kShed || end == AttemptEnd::kNotReady ||
         end == AttemptEnd::kDeadlinePassed || end == AttemptEnd::kNotSent;
}

/// The end of one attempt, reported by the driver.
struct AttemptResult {
  RequestNumber request = 0;
  AttemptNumber attempt = 0;
  AttemptEnd end = AttemptEnd::kBroken;
  int status = 0;                             ///< HTTP status of the answer; 0 without one.
  std::optional<Duration> retry_after;        ///< From a server that sheds.
  std::optional<control::KeptAnswer> answer;  ///< To store; only for attempts with `keep_answer`.
};

/// The outcome reported to the caller; the names are those of Graniteseam-Outcome. For an operation
/// that may not be repeated, kNotRun also states that no earlier send of it ran.
enum class RequestOutcome { kAnswered, kKept, kNotRun, kOutcomeUnknown };

/// The final answer to a request.
struct RequestAnswer {
  RequestNumber request = 0;
  RequestOutcome outcome = RequestOutcome::kNotRun;
  AttemptNumber attempt = 0;                ///< kAnswered: the attempt whose answer is returned.
  std::optional<control::KeptAnswer> kept;  ///< kKept: the stored answer.
  int status = 0;                           ///< HTTP status, for answers that the router generates.
  Error error;                              ///< For answers that the router generates.
  std::optional<Duration> retry_after;
};

/// Actions for the driver, in any order.
struct RouterEffects {
  std::vector<control::RouterToControl> control_messages;
  std::vector<AttemptSend> sends;
  std::vector<AttemptNumber> cancels;  ///< Close their connections; their ends are not awaited.
  std::vector<RequestAnswer> answers;

  bool Empty() const {
    return control_messages.empty() && sends.empty() && cancels.empty() && answers.empty();
  }
};

}  // namespace graniteseam::routing
