/// @file
/// What happens at a gateway, as its decision maker takes it, and what it wants done.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "graniteseam/common/ids.h"
#include "graniteseam/common/time.h"
#include "graniteseam/traffic/instance.h"
#include "graniteseam/traffic/quota.h"
#include "graniteseam/traffic/request_digest.h"
#include "graniteseam/traffic/tenant.h"

namespace graniteseam::gateway {

/// One request of a caller, as long as the gateway has it.
using RequestNumber = NumericId<struct RequestNumberTag>;

/// What is known of a request when it was read whole.
struct ArrivedRequest {
  RequestNumber number;
  std::string host;
  std::string path;                  ///< Without the query.
  std::optional<std::uint32_t> key;  ///< Of a keyed service.
  Duration time_left{};              ///< For which the caller waits from now on.
  traffic::RequestDigest digest;     ///< Of what it asks for.
  traffic::KeyDigest api_key;        ///< Of the key that it shows; empty when it shows none.
};

/// What a server reports of its own load.
struct ReportedLoad {
  double running = 0;
  double waiting = 0;
  double slots = 0;
  /// How long work takes there at this moment, in percent of what is usual; not told by all.
  std::optional<double> work_percent = std::nullopt;
};

/// What a server states in an answer, beyond its load, of the requests that it takes.
struct BackPressure {
  /// Requests a second that it takes from all gateways together.
  std::optional<double> limit_per_second = std::nullopt;
  /// For which it wants no request from this gateway.
  std::optional<Duration> rest = std::nullopt;
  bool leaving = false;     ///< It will end as planned.
  bool unreadable = false;  ///< It states one of these in a form that is none.
};

/// How one sending of a request ended.
enum class AttemptEnd {
  kAnswered,     ///< The server's own answer, whole and in place.
  kNotExecuted,  ///< The server says that it did not and will not run it.
  kNotSent,      ///< No byte was handed to the kernel.
  kLost,         ///< Sent; the connection ended without a whole answer.
  kUnusable,     ///< An answer that is not to be trusted: another request's, or broken.
};

std::string_view EndName(AttemptEnd end);

struct AttemptReport {
  RequestNumber request;
  std::uint32_t attempt = 0;
  AttemptEnd end = AttemptEnd::kLost;
  int status = 0;
  std::optional<ReportedLoad> load;
  bool load_unreadable = false;  ///< The answer told of a load that is none.
  bool not_owner = false;  ///< The server is not the one that was meant, or does not hold the key.
  BackPressure pressure{};
};

/// How asking a server for its load went.
struct ProbeReport {
  RequestNumber request;
  std::uint32_t round = 0;  ///< Of the request's probes.
  traffic::InstanceId instance;
  Duration taken{};
  std::optional<ReportedLoad> load;        ///< When it answered.
  std::optional<Duration> warm_up_left{};  ///< When it told.
  bool other_instance = false;             ///< Another process has its address.
};

/// Why a request was answered by the gateway itself.
enum class RefusalReason {
  kNoConfiguration,  ///< This gateway never had one.
  kNoRoute,          ///< The configuration has no such route.
  /// The one that stands here has no such route, and may be older than what was accepted.
  kUnconfirmed,
  kBadKey,          ///< A keyed service needs a key from 0 to 65535.
  kNoApiKey,        ///< The route asks for a tenant's API key, and the request shows none.
  kUnknownApiKey,   ///< No tenant has the API key that it shows.
  kNoServer,        ///< No server takes work.
  kNoOwner,         ///< The key has no owner at present.
  kOwnerFails,      ///< The owner of the key resets connections or is not reached.
  kStaleOwner,      ///< The owner known here is not it any more; another gateway may know more.
  kOverloaded,      ///< No server would take it in time.
  kResting,         ///< The server asked this gateway for a rest.
  kLimited,         ///< What the server's limit allows is used up.
  kQuarantined,     ///< Servers ended under what it asks for, one after the other.
  kHotKey,          ///< The key is asked for more often than its owner can answer.
  kDeadline,        ///< The time is over.
  kBudget,          ///< It did not run; the retry budget is used up.
  kAttemptsUsed,    ///< It did not run; no further server may be tried.
  kOutcomeUnknown,  ///< It may have run.
  kQuota,           ///< Its tenant's quota is used up.
  kQuotaUnknown,    ///< No leader says whether its tenant's quota has room.
};

std::string_view ReasonName(RefusalReason reason);

/// Send the request to a server.
struct SendAttempt {
  RequestNumber request;
  std::uint32_t attempt = 0;
  traffic::InstanceId instance;
  std::string address;  ///< "ip:port".
  Duration time_left{};
  /// The server had an attempt of this request before, which may run once only. A surplus answer to
  /// that one carries the same id, and must not pass for the answer to this one.
  bool needs_new_connection = false;
  /// Whose key the request showed; empty when it showed none.
  traffic::TenantName tenant;
  /// The server gets no API key, and no word of the tenant but this one.
  bool hides_api_key = false;
};
/// Ask a server for its load. Costs it little, and says nothing of the request it is asked for.
struct ProbeInstance {
  RequestNumber request;
  std::uint32_t round = 0;
  traffic::InstanceId instance;
  std::string address;  ///< "ip:port".
  std::string path;
  Duration useful_for{};  ///< An answer that comes later is not waited for.
};
/// Stop waiting for an attempt and close its connection.
struct AbandonAttempt {
  RequestNumber request;
  std::uint32_t attempt = 0;
};
/// Pass on the answer of the attempt that was reported last.
struct RelayAnswer {
  RequestNumber request;
};
/// Answer in the gateway's own name; nothing of the request is under way any more.
struct Refuse {
  RequestNumber request;
  int status = 503;
  RefusalReason reason = RefusalReason::kOverloaded;
  std::optional<Duration> retry_after;
};

/// Ask the leader for tokens of tenants' quotas and of servers' limits.
struct AskTokens {
  traffic::TokenRequest request;
};

using GatewayEffect =
    std::variant<SendAttempt, ProbeInstance, AbandonAttempt, RelayAnswer, Refuse, AskTokens>;

/// A decision worth a line in the log.
struct DecisionNote {
  RequestNumber request;
  std::string_view what;         ///< For example "send" or "retry".
  traffic::InstanceId instance;  ///< Concerned; may be empty.
  std::string inputs;            ///< What it was taken on, with ages or versions.
};

struct GatewayEffects {
  std::vector<GatewayEffect> actions;
  std::vector<DecisionNote> notes;
};

}  // namespace graniteseam::gateway
