/// @file
/// When a gateway that was told to stop does what.
#pragma once

#include <algorithm>

#include "graniteseam/common/time.h"

namespace graniteseam::daemon {

/// Spans from the stop signal on.
///
/// Invariant: a request that was read gets an answer before the process ends. So none begins any
/// more once what is left of the limit may be too short for it. What has arrived by the close is
/// answered; whoever sends a request later finds the connection closed unread and goes elsewhere.
/// What a server still works on near the end is answered as of unknown outcome.
struct StopSchedule {
  /// From here on, a request begins only if its deadline and its route's timeout end before
  /// answer_rest.
  Duration begin_only_what_ends;
  Duration leave_earliest;  ///< Not before this, so that new callers have been led elsewhere.
  Duration close;           ///< Idle connections are closed, after what has arrived was read.
  Duration begin_latest;    ///< A close that is later than this refuses what has arrived.
  Duration answer_rest;     ///< What has no answer yet is told that none comes.
  Duration end;             ///< The process ends, whatever is left.
};

/// Breaking off a request that was sent later than this after the signal is a loss (rule LOST).
constexpr Duration kMayBreakOffSentBy{3'000'000};
/// From the signal until this process knows of it, on a machine that is short of processor time.
constexpr Duration kSignalDelay{300'000};

/// @param limit after which the process is killed.
inline StopSchedule ScheduleStop(Duration limit) {
  constexpr int kHundred = 100;
  constexpr int kLeaveAt = 45;
  // Two fifths of the limit are left for what was read last: 2.5 s of 6 s, where servers that are
  // slowed down take two.
  constexpr int kCloseAt = 50;
  constexpr int kBeginLatestAt = 53;
  constexpr int kAnswerRestAt = 93;
  constexpr int kEndAt = 95;
  const Duration leave = limit * kLeaveAt / kHundred;
  return {std::min(leave, kMayBreakOffSentBy - kSignalDelay),
          leave,
          limit * kCloseAt / kHundred,
          limit * kBeginLatestAt / kHundred,
          limit * kAnswerRestAt / kHundred,
          limit * kEndAt / kHundred};
}

}  // namespace graniteseam::daemon
