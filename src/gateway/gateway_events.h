/// @file
/// Inputs (events) and outputs (effects) of the gateway's decision logic.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "graniteseam/common/ids.h"
#include "graniteseam/common/time.h"
#include "graniteseam/traffic/configuration.h"
#include "graniteseam/traffic/instance.h"
#include "graniteseam/traffic/quota.h"
#include "graniteseam/traffic/request_digest.h"
#include "graniteseam/traffic/tenant.h"
#include "src/coordination/slot_client.h"
#include "src/coordination/slot_messages.h"
#include "src/gateway/not_run_proof.h"

namespace graniteseam::gateway {

/// Identifies one caller's request while the gateway handles it.
using RequestNumber = NumericId<struct RequestNumberTag>;

/// What a gateway that forwards a request allows the gateway that takes it.
struct HopLimits {
  /// The request may be routed by this configuration or a newer one.
  traffic::ConfigurationVersion configuration;
  std::uint32_t attempts = 1;  ///< At servers.
};

/// A request that was read completely.
struct ArrivedRequest {
  RequestNumber number;
  std::string host;
  std::string path;                  ///< Without the query string.
  std::optional<std::uint32_t> key;  ///< Set for keyed services.
  Duration time_left{};              ///< The caller's remaining time at arrival.
  traffic::RequestDigest digest;     ///< Digest of the request's content.
  traffic::KeyDigest api_key;  ///< Digest of the presented API key; empty when none is presented.
  std::optional<HopLimits> hop{};  ///< Set when another gateway forwarded it.
};

/// A server's report of its own load.
struct ReportedLoad {
  double running = 0;
  double waiting = 0;
  double slots = 0;
  /// Current work time in percent of the usual; not every server reports it.
  std::optional<double> work_percent = std::nullopt;
};

/// Back pressure that a server reports in an answer in addition to its load.
struct BackPressure {
  /// Requests per second that it accepts from all gateways together.
  std::optional<double> limit_per_second = std::nullopt;
  /// The period for which it accepts no request from this gateway.
  std::optional<Duration> rest = std::nullopt;
  bool leaving = false;     ///< It announces its shutdown.
  bool unreadable = false;  ///< One of these fields is malformed.
};

/// How one attempt at sending a request ended.
enum class AttemptEnd {
  kAnswered,     ///< The intended server's own complete answer.
  kNotExecuted,  ///< The server reports that it did not and will not run it.
  kNotSent,      ///< No byte was handed to the kernel.
  kLost,         ///< Sent; the connection ended without a complete answer.
  kUnusable,     ///< An untrustworthy answer: it belongs to another request, or is malformed.
};

/// The name of an attempt's end, for logs and metrics.
std::string_view EndName(AttemptEnd end);

/// Why an attempt or a trial connection failed.
enum class FailureCause {
  kConnection,  ///< The connection was refused, failed or ended.
  kTimeout,     ///< A time limit passed.
  kDelay,       ///< This process was too late to send the request.
};

/// The name of a cause, for logs.
std::string_view CauseName(FailureCause cause);

/// Answers of this status or above are failures of the server, and may come sooner than the work
/// would take.
inline constexpr int kFirstFailureStatus = 500;

/// What a gateway says in its answer to a forwarded request, beside the answer itself.
struct HopReport {
  std::optional<traffic::InstanceId> server;    ///< Whose answer it is; nullopt for its own.
  traffic::ConfigurationVersion configuration;  ///< The newest by which it may have been routed.
  bool declined = false;  ///< It can serve no request at present; another gateway may.
};

/// The end of one attempt.
struct AttemptReport {
  RequestNumber request;
  std::uint32_t attempt = 0;
  AttemptEnd end = AttemptEnd::kLost;
  int status = 0;
  std::optional<ReportedLoad> load;
  bool load_unreadable = false;  ///< The reported load is malformed.
  bool not_owner = false;        ///< Not the intended server, or not the key's owner.
  BackPressure pressure{};
  HopReport hop{};              ///< Of an attempt at another gateway.
  bool new_connection = false;  ///< It opened its connection; otherwise it used a kept one.
  FailureCause cause = FailureCause::kConnection;  ///< When not sent or lost.
};

/// The result of probing a server for its load.
struct ProbeReport {
  RequestNumber request;
  std::uint32_t round = 0;  ///< Probe round of the request.
  traffic::InstanceId instance;
  Duration taken{};
  bool answered = false;                   ///< By the instance itself.
  std::optional<ReportedLoad> load;        ///< Set when the server reported it.
  std::optional<Duration> warm_up_left{};  ///< Set when the server reported it.
  bool other_instance = false;             ///< Another process has taken the address.
};

/// How late this process handles its events.
struct LoopDelay {
  Duration current{};  ///< Of what is handled now.
  Duration longest{};  ///< Of the last moments, for the log.
};

/// The end of a trial connection to a server.
struct ConnectionTrial {
  std::uint32_t round = 0;
  traffic::InstanceId instance;
  bool reached = false;                            ///< The connection was accepted.
  FailureCause cause = FailureCause::kConnection;  ///< When not reached.
};

/// The traffic state of a control process that follows a leader, as it answered a poll.
struct FollowerReport {
  std::string follower;  ///< "ip:port".
  std::uint64_t version = 0;
  traffic::ConfigurationVersion configuration{};
};

/// Why the gateway itself answered a request.
enum class RefusalReason {
  kNoConfiguration,  ///< No configuration was ever received.
  kNoRoute,          ///< The configuration has no such route.
  /// The active configuration has no such route, but may be older than the newest accepted one.
  kUnconfirmed,
  /// The active configuration was replaced, and the newer one has not arrived here in time.
  kOutdated,
  kBadKey,         ///< A keyed service needs a key from 0 to 65535.
  kNoApiKey,       ///< The route requires a tenant's API key; the request has none.
  kUnknownApiKey,  ///< No tenant has the presented API key.
  kNoServer,       ///< No server takes new work.
  kPartitioned,    ///< This gateway reaches no server, and no other gateway took the request.
  kNoOwner,        ///< The key has no owner at present.
  kOwnerFails,     ///< The key's owner resets connections or is unreachable.
  /// The owner stored here no longer owns the key; another gateway may be more recent.
  kStaleOwner,
  kOverloaded,      ///< No server could take it in time.
  kResting,         ///< The server told this gateway to back off.
  kLimited,         ///< The server's rate limit is used up.
  kQuarantined,     ///< Several servers in a row crashed under this request.
  kHotKey,          ///< The key gets more requests than its owner can answer.
  kDeadline,        ///< The request's time is over.
  kBudget,          ///< Not run; the retry budget is used up.
  kAttemptsUsed,    ///< Not run; no attempts left.
  kOutcomeUnknown,  ///< It may have run.
  kQuota,           ///< The tenant's quota is used up.
  kQuotaUnknown,    ///< No leader answered whether the tenant's quota has room.
  kStopping,        ///< This gateway's process ends.
};

/// The name of a refusal reason, for logs and metrics.
std::string_view ReasonName(RefusalReason reason);

/// Effect: send the request to a server.
struct SendAttempt {
  RequestNumber request;
  std::uint32_t attempt = 0;
  traffic::InstanceId instance;
  std::string address;  ///< "ip:port".
  Duration time_left{};
  bool server_warms_up = false;  ///< For the metrics.
  /// The tenant whose API key the request presented; empty when it presented none.
  traffic::TenantName tenant;
  /// The server gets no API key, and no tenant header other than the gateway's own.
  bool hides_api_key = false;
};
/// Effect: probe a server for its load. Cheap for the server, and includes nothing of the request.
struct ProbeInstance {
  RequestNumber request;
  std::uint32_t round = 0;
  traffic::InstanceId instance;
  std::string address;  ///< "ip:port".
  std::string path;
  Duration useful_for{};  ///< Later answers are ignored.
};
/// Effect: open a connection to a server and close it, to find out whether it can be reached.
struct TryConnection {
  std::uint32_t round = 0;
  traffic::InstanceId instance;
  std::string address;  ///< "ip:port".
};
/// Effect: forward the request to another gateway, whose answer ends an attempt.
struct ForwardRequest {
  RequestNumber request;
  std::uint32_t attempt = 0;
  std::string address;  ///< "ip:port".
  Duration time_left{};
  HopLimits hop;
};
/// Effect: stop waiting for an attempt and close its connection.
struct AbandonAttempt {
  RequestNumber request;
  std::uint32_t attempt = 0;
};
/// Effect: relay the answer of the most recently reported attempt to the caller.
struct RelayAnswer {
  RequestNumber request;
  bool bulk =
      false;  ///< Its route's answers are large, and may be written more slowly than others.
  std::optional<HopReport> hop{};  ///< For the gateway that forwarded the request.
  Instant deliver_by{};            ///< Until then the caller may pause while it reads.
};
/// Statuses that promise nothing of whether a request has run.
enum class UnknownOutcomeStatus { kBadGateway = 502, kGatewayTimeout = 504 };

/// Effect: answer from the gateway itself. An attempt in flight is abandoned.
struct Refuse {
  /// Refuses a request that has not run and never will, by any status.
  Refuse(RequestNumber number, NotRunProof, int refusal_status, RefusalReason why)
      : request(number), status(refusal_status), reason(why) {}
  /// Answers a request that may have run.
  Refuse(RequestNumber number, UnknownOutcomeStatus unknown)
      : request(number),
        status(static_cast<int>(unknown)),
        reason(RefusalReason::kOutcomeUnknown) {}

  RequestNumber request;
  int status;
  RefusalReason reason;
  std::optional<Duration> retry_after{};
  /// Tells the gateway that forwarded the request to try another one.
  bool declines_hop = false;
};

/// Effect: request tokens of tenants' quotas and of servers' limits from the leader.
struct AskTokens {
  traffic::TokenRequest request;
};

/// Effect: send messages of coordinated admission to another gateway.
struct SendSlots {
  coordination::SlotSend send;
};

/// Effect: close the connection to a gateway that leaves messages unanswered.
struct ResetPeer {
  std::string address;  ///< "ip:port".
};

using GatewayEffect =
    std::variant<SendAttempt, ProbeInstance, TryConnection, ForwardRequest, AbandonAttempt,
                 RelayAnswer, Refuse, AskTokens, SendSlots, ResetPeer>;

/// A decision to be logged.
struct DecisionNote {
  RequestNumber request;
  std::string_view what;         ///< For example "send" or "retry".
  traffic::InstanceId instance;  ///< The instance concerned; may be empty.
  std::string inputs;            ///< Inputs of the decision, with ages or versions.
};

/// When, and by which traffic state, a request was routed.
struct RoutingDecision {
  std::uint64_t version = 0;  ///< Of the traffic state; 0 before the decision.
  Instant decided_at{};
  /// As of when a leader had confirmed the configuration; Instant{} before the first confirmation.
  Instant confirmed_at{};
};

/// What the log tells of a request that ended.
struct RequestSummary {
  RequestNumber request;
  Duration target_latency{};  ///< Zero when no route was found for it.
  Duration age{};             ///< How long its caller had been trying when it came.
  RoutingDecision routing;
  /// Last known work time of the server that got its newest attempt, in percent of the usual.
  std::optional<double> work_percent = std::nullopt;
};

/// What the caller of a GatewayNode must do, in order, and what to log.
struct GatewayEffects {
  std::vector<GatewayEffect> actions;
  std::vector<DecisionNote> notes;
  std::vector<RequestSummary> ended;                   ///< Requests that ended, for the log.
  std::vector<coordination::SlotResult> slot_results;  ///< For the metrics.
  std::size_t slot_grants_unused = 0;                  ///< For the metrics.
};

}  // namespace graniteseam::gateway
