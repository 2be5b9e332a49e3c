/// @file
/// Asks the control group on an operator's behalf: finds the leader and sends again what got lost.
#pragma once

#include <string>
#include <vector>

#include "graniteseam/common/error.h"
#include "graniteseam/common/time.h"
#include "src/http/operator_json.h"
#include "src/runtime/socket_address.h"

namespace graniteseam::http {

struct OperatorClientOptions {
  std::vector<runtime::SocketAddress> control;  ///< Operator addresses; any order, any subset.
  std::string credential;
  Duration time_limit{10'000'000};  ///< Of one call with all its attempts.
  Duration connection_time_limit{1'000'000};
  /// Of one answer. A paused process still accepts connections, so this finds it out.
  Duration answer_time_limit{3'000'000};
  std::string authorities_file;  ///< PEM; empty for plain HTTP, which only loopback gets.
  Duration pause{200'000};       ///< After each round of attempts that led nowhere.
};

/// One call of docs/interface/operators.md.
struct OperatorCall {
  std::string method;  ///< "GET" or "POST".
  std::string path;
  std::string body;  ///< JSON; empty for GET.
};

/// Sends calls to whichever control process leads. Every call is safe to send again (see the page),
/// so an attempt that ended without an answer is followed by another. Not thread safe.
class OperatorClient {
 public:
  explicit OperatorClient(OperatorClientOptions options);

  /// Calls the leader: tries each address in turn, follows the leader's address, and goes on until
  /// the time limit while control is unavailable.
  /// @return the answer's body. What control refused comes as it was told; kUnavailable when no
  ///     attempt reached a leader in time; kOutcomeUnknown when a change was sent and its answer
  ///     lost, so that it may have been accepted.
  Result<std::string> Call(const OperatorCall& call);

  /// Calls one process, leader or not, once.
  /// @return as Call(), or kTransport when there was no answer.
  Result<std::string> CallOne(const runtime::SocketAddress& address, const OperatorCall& call);

 private:
  enum class AttemptEnd { kAnswered, kRefused, kNotSent, kAnswerLost };
  struct AttemptResult {
    AttemptEnd end = AttemptEnd::kNotSent;
    std::string body;         ///< Of an answer.
    OperatorProblem problem;  ///< Otherwise.
  };

  /// @param end when the call's time is over, which shortens the attempt's own limits.
  AttemptResult Send(const runtime::SocketAddress& address, const OperatorCall& call,
                     Instant end) const;

  OperatorClientOptions options_;
};

}  // namespace graniteseam::http
