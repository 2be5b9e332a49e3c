#include "src/http/caller_messages.h"

#include <nlohmann/json.hpp>
#include <string_view>

namespace graniteseam::http {

const char* OutcomeName(routing::RequestOutcome outcome) {
  switch (outcome) {
    case routing::RequestOutcome::kAnswered:
      return "answered";
    case routing::RequestOutcome::kKept:
      return "kept";
    case routing::RequestOutcome::kNotRun:
      return "not_run";
    case routing::RequestOutcome::kOutcomeUnknown:
      return "outcome_unknown";
  }
  return "outcome_unknown";
}

CallerReply ProblemReply(int status, const Error& error, routing::RequestOutcome outcome,
                         std::optional<Duration> retry_after) {
  const std::string kind(ErrorKindName(error.kind));
  nlohmann::json problem = {{"type", "urn:graniteseam:problem:" + kind},
                            {"title", kind},
                            {"status", status},
                            {"detail", error.message},
                            {"kind", kind},
                            {"outcome", OutcomeName(outcome)},
                            {"remedy", error.remedy}};
  CallerReply reply;
  reply.status = status;
  reply.outcome = outcome;
  reply.content_type = "application/problem+json";
  constexpr int kTooMany = 429;
  constexpr int kUnavailable = 503;
  if (retry_after && (status == kTooMany || status == kUnavailable)) {
    reply.retry_after = retry_after;
    problem["retry_after_ms"] = std::chrono::ceil<std::chrono::milliseconds>(*retry_after).count();
  }
  // Text from outside may be no UTF-8: it is replaced, not refused.
  reply.body = problem.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
  return reply;
}

}  // namespace graniteseam::http
