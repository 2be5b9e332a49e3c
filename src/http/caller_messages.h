/// @file
/// A caller's request as the HTTP port read it, and the answer that it writes. See
/// docs/interface/callers.md.
#pragma once

#include <optional>
#include <string>

#include "graniteseam/common/error.h"
#include "graniteseam/common/time.h"
#include "graniteseam/routing/messages.h"
#include "src/http/upstream_client.h"

namespace graniteseam::http {

/// A request that keeps the form of the page.
struct CallerMessage {
  routing::CallerRequest request;  ///< Without a number.
  ForwardedRequest forwarded;
  std::string request_echo;  ///< Graniteseam-Request.
  int connection = -1;       ///< Names the caller's connection for CallerWatch.
};

struct CallerReply {
  int status = 503;
  routing::RequestOutcome outcome = routing::RequestOutcome::kNotRun;
  HeaderList headers;
  std::string content_type;  ///< Unless `headers` has one.
  std::string body;
  std::optional<Duration> retry_after;
};

/// The value of Graniteseam-Outcome.
const char* OutcomeName(routing::RequestOutcome outcome);

/// An answer that the router makes itself, as a problem of RFC 7807.
CallerReply ProblemReply(int status, const Error& error, routing::RequestOutcome outcome,
                         std::optional<Duration> retry_after = std::nullopt);

}  // namespace graniteseam::http
