/// @file
/// Where threads of the HTTP server wait for the deciding thread's answers to operators.
#pragma once

#include <condition_variable>
#include <map>
#include <mutex>
#include <optional>

#include "src/daemon/control/control_event.h"

namespace graniteseam::daemon {

/// Thread safe.
class OperatorDesk {
 public:
  explicit OperatorDesk(ControlEventQueue& queue) : queue_(queue) {}

  /// Puts a request to the deciding thread and waits.
  /// @return the answer; kUnavailable when there was none in time, which says nothing about
  ///     whether a change took place: every change is safe to resend.
  control::OperatorAnswer Execute(control::OperatorRequest request);

  /// Delivers an answer; one that nobody waits for any more is dropped.
  void Answer(const control::OperatorReply& reply);

 private:
  ControlEventQueue& queue_;
  std::mutex mutex_;  ///< Guards the members below.
  std::condition_variable answered_;
  control::RequestId next_request_ = 1;
  std::map<control::RequestId, std::optional<control::OperatorAnswer>> waiting_;
};

}  // namespace graniteseam::daemon
