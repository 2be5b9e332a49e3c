/// @file
/// Names of the documented headers, and which headers pass through a router.
#pragma once

#include <string_view>

namespace graniteseam::http {

inline constexpr char kGroupHeader[] = "Graniteseam-Group";
inline constexpr char kServiceHeader[] = "Graniteseam-Service";
inline constexpr char kKeyHeader[] = "Graniteseam-Key";
inline constexpr char kShardHeader[] = "Graniteseam-Shard";
inline constexpr char kEpochHeader[] = "Graniteseam-Epoch";
inline constexpr char kDeadlineHeader[] = "Graniteseam-Deadline-Ms";
inline constexpr char kAttemptHeader[] = "Graniteseam-Attempt";
inline constexpr char kOutcomeHeader[] = "Graniteseam-Outcome";
inline constexpr char kRequestHeader[] = "Graniteseam-Request";
inline constexpr char kRouterHeader[] = "Graniteseam-Router";
inline constexpr char kOperationHeader[] = "Idempotency-Key";

/// Values of Graniteseam-Outcome in a server's answer.
inline constexpr char kNotRunMark[] = "not-run";
inline constexpr char kUnknownMark[] = "unknown";

/// Whether a header of a server's answer goes on to the caller: not those of one connection
/// (RFC 9110, section 7.6.1), of the message's framing, or of this protocol.
bool GoesToCaller(std::string_view name);

/// Whether two header names are the same; they know no case.
bool SameName(std::string_view left, std::string_view right);

}  // namespace graniteseam::http
