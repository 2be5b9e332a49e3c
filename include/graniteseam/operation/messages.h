/// @file
/// What routers and the operation journal say to each other: claims, verdicts, completions and kept
/// answers. See docs/design/operation-journal.md.
#pragma once

#include <boost/describe/class.hpp>
#include <boost/describe/enum.hpp>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>

#include "graniteseam/common/ids.h"

namespace graniteseam::operation {

/// An answer kept for resends.
struct KeptAnswer {
  std::int32_t status = 0;
  std::string content_type;
  std::string body;  ///< At most kKeptBodyBytesMaximum.

  bool operator==(const KeptAnswer&) const = default;
};
BOOST_DESCRIBE_STRUCT(KeptAnswer, (), (status, content_type, body))
inline constexpr std::size_t kKeptBodyBytesMaximum = std::size_t{16} * 1024;

/// Asks for the sole right to run an operation. Answered only once committed.
struct ClaimRequest {
  OperationId operation;
  ServiceName service;
  GroupName group;
  std::string request_digest;  ///< Guards against one id used for two different requests.
  std::uint64_t claim = 0;     ///< Random number of this claim, so that a resent claim is known.

  bool operator==(const ClaimRequest&) const = default;
};
BOOST_DESCRIBE_STRUCT(ClaimRequest, (), (operation, service, group, request_digest, claim))

/// What the journal says to a claim. Only kExpired and kFull prove that the operation did not run.
enum class ClaimVerdict {
  kClaimed,         ///< Send it; this claim alone may.
  kInProgress,      ///< Another claim holds it and has not finished: outcome unknown.
  kAnswered,        ///< It ran. `answer` holds the kept answer, or is absent when the answer was
                    ///< too large or had to be dropped.
  kUnknownOutcome,  ///< Finished without a known outcome, or so old that the journal may have
                    ///< forgotten it: outcome unknown, never to be run again.
  kMismatch,        ///< Same id, other request.
  kExpired,         ///< Never claimed, and the id is older than the retention window, too far in
                    ///< the future, or no UUID of version 7: not run.
  kFull,            ///< The journal has no room for a new operation: not run; try later.
};
BOOST_DESCRIBE_ENUM(ClaimVerdict, kClaimed, kInProgress, kAnswered, kUnknownOutcome, kMismatch,
                    kExpired, kFull)

struct ClaimResult {
  OperationId operation;
  std::uint64_t claim = 0;
  ClaimVerdict verdict = ClaimVerdict::kInProgress;
  std::optional<KeptAnswer> answer;

  bool operator==(const ClaimResult&) const = default;
};
BOOST_DESCRIBE_STRUCT(ClaimResult, (), (operation, claim, verdict, answer))

enum class CompletionKind {
  kAnswered,        ///< Ran; answer kept.
  kNotRun,          ///< Provably did not run: the id may be claimed again.
  kUnknownOutcome,  ///< May have run: never again.
};
BOOST_DESCRIBE_ENUM(CompletionKind, kAnswered, kNotRun, kUnknownOutcome)

/// Ends a claim. Counts only when `claim` is the one that holds the operation.
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
