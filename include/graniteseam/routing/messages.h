/// @file
/// What a router's driver and its decision maker say to each other about one request: the request
/// as it came in, the attempts to make, how each ended, and the final answer. See
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

/// Names one request of a caller at the driver; unique in one life of a router.
using RequestNumber = std::uint64_t;
/// Names one attempt; unique in one life of a router.
using AttemptNumber = std::uint64_t;

/// A caller's request as far as decisions need it; path and body stay with the driver.
struct CallerRequest {
  RequestNumber number = 0;
  ServiceName service;
  GroupName group;
  std::optional<std::string> key;        ///< Set for the path form of keyed services.
  std::optional<Duration> deadline;      ///< What the caller asked for; absent for the default.
  std::optional<OperationId> operation;  ///< The Idempotency-Key.
  std::string request_digest;            ///< Of method, path, query and body; for the journal.
  std::size_t body_bytes = 0;
};

/// Asks the driver to send the request to a server.
struct AttemptSend {
  RequestNumber request = 0;
  AttemptNumber attempt = 0;
  std::string attempt_header;  ///< For Graniteseam-Attempt; differs between routers and starts.
  ServerId server;
  std::string address;  ///< "ip:port".
  std::optional<std::uint32_t> shard;
  Epoch epoch;  ///< Of the shard.
  Instant sent_at{};
  Instant give_up_at{};      ///< Report the attempt as broken at this instant.
  bool keep_answer = false;  ///< Report the answer with the attempt's end, for the journal.
  bool hedged = false;       ///< Another attempt of the request may run beside this one.
};

/// How an attempt ended, as the driver saw it.
enum class AttemptEnd {
  kAnswered,        ///< A whole answer that echoes the attempt id, without a not-run mark.
  kNotOwner,        ///< Marked not-run with status 421.
  kShed,            ///< Marked not-run with status 429.
  kNotReady,        ///< Marked not-run with status 503.
  kDeadlinePassed,  ///< Marked not-run with status 504.
  kNotSent,         ///< No byte of the request was handed to the kernel.
  kBroken,          ///< Time-out, cut, truncation or a mismatch: it may have run.
  kServerUnknown,   ///< The server itself can not tell whether it ran.
};

/// Whether an attempt that ended so provably did not run and never will.
constexpr bool ProvenNotRun(AttemptEnd end) {
  return end == AttemptEnd::kNotOwner || end == AttemptEnd::kShed || end == AttemptEnd::kNotReady ||
         end == AttemptEnd::kDeadlinePassed || end == AttemptEnd::kNotSent;
}

struct AttemptResult {
  RequestNumber request = 0;
  AttemptNumber attempt = 0;
  AttemptEnd end = AttemptEnd::kBroken;
  int status = 0;                             ///< Of the answer; 0 without one.
  std::optional<Duration> retry_after;        ///< From a server that sheds.
  std::optional<control::KeptAnswer> answer;  ///< To keep; only for attempts with `keep_answer`.
};

/// What the caller is told about its request; the names are those of Graniteseam-Outcome.
/// For an operation that may not be repeated, kNotRun says that no earlier sending ran either.
enum class RequestOutcome { kAnswered, kKept, kNotRun, kOutcomeUnknown };

/// Ends a request.
struct RequestAnswer {
  RequestNumber request = 0;
  RequestOutcome outcome = RequestOutcome::kNotRun;
  AttemptNumber attempt = 0;                ///< kAnswered: the attempt whose answer counts.
  std::optional<control::KeptAnswer> kept;  ///< kKept.
  int status = 0;                           ///< For answers that the router makes itself.
  Error error;                              ///< The same.
  std::optional<Duration> retry_after;
};

/// What the driver must do, in any order.
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
