#include "src/gateway/gateway_events.h"

namespace graniteseam::gateway {

std::string_view EndName(AttemptEnd end) {
  switch (end) {
    case AttemptEnd::kAnswered:
      return "answered";
    case AttemptEnd::kNotExecuted:
      return "not_executed";
    case AttemptEnd::kNotSent:
      return "not_sent";
    case AttemptEnd::kLost:
      return "lost";
    case AttemptEnd::kUnusable:
      return "unusable";
  }
  return "unknown";
}

std::string_view CauseName(FailureCause cause) {
  switch (cause) {
    case FailureCause::kConnection:
      return "connection";
    case FailureCause::kTimeout:
      return "timeout";
    case FailureCause::kDelay:
      return "delay";
  }
  return "unknown";
}

std::string_view ReasonName(RefusalReason reason) {
  switch (reason) {
    case RefusalReason::kNoConfiguration:
      return "no_configuration";
    case RefusalReason::kNoRoute:
      return "no_route";
    case RefusalReason::kUnconfirmed:
      return "unconfirmed";
    case RefusalReason::kOutdated:
      return "outdated";
    case RefusalReason::kBadKey:
      return "bad_key";
    case RefusalReason::kNoApiKey:
      return "no_api_key";
    case RefusalReason::kUnknownApiKey:
      return "unknown_api_key";
    case RefusalReason::kNoServer:
      return "no_server";
    case RefusalReason::kPartitioned:
      return "partitioned";
    case RefusalReason::kNoOwner:
      return "no_owner";
    case RefusalReason::kOwnerFails:
      return "owner_fails";
    case RefusalReason::kStaleOwner:
      return "stale_owner";
    case RefusalReason::kOverloaded:
      return "overloaded";
    case RefusalReason::kResting:
      return "resting";
    case RefusalReason::kLimited:
      return "limited";
    case RefusalReason::kQuarantined:
      return "quarantined";
    case RefusalReason::kHotKey:
      return "hot_key";
    case RefusalReason::kDeadline:
      return "deadline";
    case RefusalReason::kBudget:
      return "retry_budget";
    case RefusalReason::kAttemptsUsed:
      return "attempts_used";
    case RefusalReason::kOutcomeUnknown:
      return "outcome_unknown";
    case RefusalReason::kQuota:
      return "quota";
    case RefusalReason::kStopping:
      return "stopping";
    case RefusalReason::kQuotaUnknown:
      return "quota_unknown";
  }
  return "unknown";
}

}  // namespace graniteseam::gateway
