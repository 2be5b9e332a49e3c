/// @file
/// Decides by which cause a request was late, refused or failed. No input or output.
#pragma once

#include <boost/describe/enum.hpp>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace graniteseam::operator_cli {

enum class LossKind {
  kNone,  ///< Answered in time, or its target latency is not known.
  kLate,
  kRefused,  ///< Not run.
  kFailed,   ///< It may have run, or its server answered with an error.
};

/// Where a request lost its time or was lost, in the order of docs/design/load-coordination.md.
enum class LossCause {
  kConnectionWait,
  kOwnerWithoutRoom,
  kSlotWait,
  kRejectedByCoordinator,
  kHotKey,
  kServerQueue,
  kSlowServer,
  kReturnedAfterRejection,
  kNoOwner,
  kFailedAttempt,
  kDeadline,
  kOther,
};
BOOST_DESCRIBE_ENUM(LossCause, kConnectionWait, kOwnerWithoutRoom, kSlotWait,
                    kRejectedByCoordinator, kHotKey, kServerQueue, kSlowServer,
                    kReturnedAfterRejection, kNoOwner, kFailedAttempt, kDeadline, kOther)

/// What the lines of a gateway's log say about one request. Times are microseconds; those that end
/// in `_at` count from the instant at which its last byte was read.
struct RequestFacts {
  std::string outcome;  ///< "relayed", or the reason of a refusal.
  std::int64_t status = 0;
  std::int64_t answered_at = 0;
  std::int64_t connection_wait = 0;
  std::int64_t age = 0;  ///< How long its caller had been trying when it came.
  std::optional<std::int64_t> target;
  std::optional<std::int64_t> work_percent;
  std::optional<std::int64_t> first_sent_at;
  std::optional<std::int64_t> last_sent_at;
  std::int64_t slot_wait = 0;  ///< Before the first sending.
  bool slot_asked = false;
  bool slot_rejected = false;
  bool attempt_failed = false;
  bool gave_up = false;  ///< At the deadline, while a server may have run it.
  /// Of the server at the last sending, as the gateway knew it.
  std::optional<std::int64_t> usual_latency;
  bool server_was_full = false;
};

struct Loss {
  LossKind kind = LossKind::kNone;
  LossCause cause = LossCause::kOther;
  std::int64_t lost = 0;  ///< Microseconds spent on the cause.
};

/// Decides the loss of a request: for a late one that could have been in time when it came,
/// the cause on which it spent most time.
auto decide_loss(RequestFacts const& request) -> Loss;

/// The name of a cause for tables.
auto name_of(LossCause cause) -> std::string_view;

}  // namespace graniteseam::operator_cli
