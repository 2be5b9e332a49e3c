#include "src/http/operator_client.h"

#include <httplib.h>

#include <algorithm>
#include <optional>
#include <thread>
#include <utility>

#include "src/runtime/answer_status.h"
#include "src/runtime/clock.h"

namespace graniteseam::http {
namespace {

using runtime::SocketAddress;

/// Leaders named one after the other without progress: two processes may each name the other.
constexpr int kRedirectsMaximum = 3;

/// cpp-httplib takes a limit of 0 for none.
constexpr Duration kAttemptMinimum{10'000};

bool WorthAnotherTry(ErrorKind kind) {
  return kind == ErrorKind::kNotLeader || kind == ErrorKind::kUnavailable ||
         kind == ErrorKind::kOverloaded || kind == ErrorKind::kDeadlineExceeded ||
         kind == ErrorKind::kOutcomeUnknown;
}

std::optional<SocketAddress> LeaderOf(const OperatorProblem& problem) {
  if (problem.error.kind != ErrorKind::kNotLeader || problem.leader.empty()) return std::nullopt;
  const auto parsed = Attempt([&] { return runtime::ParseSocketAddress(problem.leader); });
  if (ErrorOf(parsed) != nullptr) return std::nullopt;
  return std::get<SocketAddress>(parsed);
}

/// A credential must not leave the machine in the clear.
OperatorProblem PlainRefused(const SocketAddress& address) {
  return {{ErrorKind::kPermissionDenied,
           ToString(address) + " is not on this machine, and no authorities for TLS are set.",
           "Set tls_ca to the authorities that signed the control processes' certificates."},
          ""};
}

Error TransportError(const SocketAddress& address, const std::string& cause) {
  return {ErrorKind::kTransport, ToString(address) + " gave no answer (" + cause + ").",
          "Check that a control process runs there and can be reached from here."};
}

Error GaveUp(const std::string& last_words, bool answer_lost) {
  if (answer_lost) {
    return {
        ErrorKind::kOutcomeUnknown,
        "The change was sent, but no answer came in time: it may have been accepted. " + last_words,
        "Run the same command again: it is safe, and tells what became of the change."};
  }
  return {ErrorKind::kUnavailable, "No control process that leads answered in time. " + last_words,
          "Check the addresses given by --control and that a majority of control processes runs; "
          "then run the same command again."};
}

}  // namespace

OperatorClient::OperatorClient(OperatorClientOptions options) : options_(std::move(options)) {}

Result<std::string> OperatorClient::Call(const OperatorCall& call) {
  if (options_.control.empty()) {
    return Fail(ErrorKind::kInvalidArgument, "No control address is known.",
                "Give --control ip:port[,ip:port...], or the key `control` in a settings file.");
  }
  const Instant end = runtime::BootTimeNow() + options_.time_limit;
  const bool changes = call.method != "GET";
  std::optional<SocketAddress> leader;
  std::string last_words;
  bool answer_lost = false;
  int redirects = 0;
  std::size_t next = 0;
  do {
    const SocketAddress address =
        leader.has_value() ? *leader : options_.control[next++ % options_.control.size()];
    const AttemptResult attempt = Send(address, call, end);
    if (attempt.end == AttemptEnd::kAnswered) return attempt.body;
    const Error& error = attempt.problem.error;
    const bool refused = attempt.end == AttemptEnd::kRefused;
    if (refused && !WorthAnotherTry(error.kind)) return Fail(error);
    const bool may_have_run =
        attempt.end == AttemptEnd::kAnswerLost || error.kind == ErrorKind::kOutcomeUnknown;
    answer_lost = answer_lost || (changes && may_have_run);
    last_words = error.message;
    leader = redirects < kRedirectsMaximum ? LeaderOf(attempt.problem) : std::nullopt;
    redirects = leader.has_value() ? redirects + 1 : 0;
    const bool round_over = next % options_.control.size() == 0;
    if (!leader.has_value() && round_over) {
      std::this_thread::sleep_for(options_.pause);
    }
  } while (runtime::BootTimeNow() < end);
  return Fail(GaveUp(last_words, answer_lost));
}

Result<std::string> OperatorClient::CallOne(const SocketAddress& address,
                                            const OperatorCall& call) {
  const AttemptResult attempt = Send(address, call, runtime::BootTimeNow() + options_.time_limit);
  if (attempt.end == AttemptEnd::kAnswered) return attempt.body;
  return Fail(attempt.problem.error);
}

OperatorClient::AttemptResult OperatorClient::Send(const SocketAddress& address,
                                                   const OperatorCall& call, Instant end) const {
  const Duration left = std::max(kAttemptMinimum, end - runtime::BootTimeNow());
  // A client of its own for each attempt: none is ever sent again over a kept connection.
  const bool tls = !options_.authorities_file.empty();
  if (!tls && !runtime::IsLoopback(address))
    return {AttemptEnd::kNotSent, "", PlainRefused(address)};
  httplib::Client client((tls ? "https://" : "http://") + ToString(address));
  if (tls) client.set_ca_cert_path(options_.authorities_file);
  client.set_connection_timeout(std::min(options_.connection_time_limit, left));
  client.set_read_timeout(std::min(options_.answer_time_limit, left));
  client.set_write_timeout(std::min(options_.answer_time_limit, left));
  const httplib::Headers headers = {{"Authorization", "Bearer " + options_.credential}};
  const httplib::Result result =
      call.method == "GET" ? client.Get(call.path, headers)
                           : client.Post(call.path, headers, call.body, "application/json");
  if (!result) {
    const bool connected = result.error() != httplib::Error::Connection &&
                           result.error() != httplib::Error::ConnectionTimeout &&
                           result.error() != httplib::Error::SSLConnection;
    return {connected ? AttemptEnd::kAnswerLost : AttemptEnd::kNotSent,
            "",
            {TransportError(address, httplib::to_string(result.error())), ""}};
  }
  // Control sends no interim answers. The library skips 100 alone and takes others for final.
  if (runtime::ClassOfStatus(result->status) != runtime::StatusClass::kFinal) {
    const std::string cause = "status " + std::to_string(result->status);
    return {AttemptEnd::kAnswerLost, "", {TransportError(address, cause), ""}};
  }
  if (result->status == 200) return {AttemptEnd::kAnswered, result->body, {}};
  return {AttemptEnd::kRefused, "", ReadOperatorProblem(result->status, result->body)};
}

}  // namespace graniteseam::http
