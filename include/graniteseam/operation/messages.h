/// @file
/// Messages between routers and the operation journal: claims, verdicts, completions and retained
/// responses. See docs/design/operation-journal.md.
#pragma once

#include <boost/describe/class.hpp>
#include <boost/describe/enum.hpp>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>

#include "graniteseam/common/ids.h"

namespace graniteseam::operation {

/// A response retained for retries of the operation.
struct KeptAnswer {
  std::int32_t status = 0;
  std::string content_type;
  std::string body;  ///< At most kKeptBodyBytesMaximum.

  bool operator==(const KeptAnswer&) const = default;
};
BOOST_DESCRIBE_STRUCT(KeptAnswer, (), (status, content_type, body))
/// Largest response body that is retained, in bytes.
inline constexpr std::size_t kKeptBodyBytesMaximum = std::size_t{16} * 1024;

/// Requests the exclusive right to run an operation. The response is sent only once the claim is
/// committed.
struct ClaimRequest {
  OperationId operation;
  ServiceName service;
  GroupName group;
  std::string request_digest;  ///< Detects one id used for two different requests.
  std::uint64_t claim = 0;     ///< Random number that identifies this claim when it is resent.

  bool operator==(const ClaimRequest&) const = default;
};
BOOST_DESCRIBE_STRUCT(ClaimRequest, (), (operation, service, group, request_digest, claim))

/// The journal's decision on a claim. Only kExpired and kFull prove that the operation did not run.
enum class ClaimVerdict {
  kClaimed,     ///< This claim alone holds the operation: the request may be sent.
  kInProgress,  ///< Another claim holds it and has not completed: outcome unknown.
  kAnswered,    ///< It ran. `answer` holds the retained response, or is absent when the response
                ///< was too large or was evicted.
  kUnknownOutcome,  ///< Completed without a known outcome, or so old that the journal may have
                    ///< expired it: outcome unknown, never to be run again.
  kMismatch,        ///< The id was used for a different request or group.
  kExpired,         ///< Never claimed, and the id is older than the retention window, too far in
                    ///< the future, or no UUID of version 7: not run.
  kFull,            ///< The journal has reached its entry limit: not run; retry later.
};
BOOST_DESCRIBE_ENUM(ClaimVerdict, kClaimed, kInProgress, kAnswered, kUnknownOutcome, kMismatch,
                    kExpired, kFull)

/// Response to a ClaimRequest.
struct ClaimResult {
  OperationId operation;
  std::uint64_t claim = 0;
  ClaimVerdict verdict = ClaimVerdict::kInProgress;
  std::optional<KeptAnswer> answer;

  bool operator==(const ClaimResult&) const = default;
};
BOOST_DESCRIBE_STRUCT(ClaimResult, (), (operation, claim, verdict, answer))

/// Outcome reported by the holder of a claim.
enum class CompletionKind {
  kAnswered,        ///< Ran; the response is retained.
  kNotRun,          ///< Provably did not run: the id may be claimed again.
  kUnknownOutcome,  ///< May have run: the id may never be claimed again.
};
BOOST_DESCRIBE_ENUM(CompletionKind, kAnswered, kNotRun, kUnknownOutcome)

/// Ends a claim. Applied only when `claim` is the one that holds the operation.
struct Completion {
  OperationId operation;
  ServiceName service;
  std::uint64_t claim = 0;
  CompletionKind kind = CompletionKind::kUnknownOutcome;
  std::optional<KeptAnswer> answer;

  bool operator==(const Completion&) const = default;
};
BOOST_DESCRIBE_STRUCT(Completion, (), (operation, service, claim, kind, answer))

}  // namespace graniteseam::operation
