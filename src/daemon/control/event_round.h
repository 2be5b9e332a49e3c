/// @file
/// One round of the deciding thread: which events it takes before what they brought is made durable
/// and sent. The daemon plays rounds in real time, tests in virtual time.
#pragma once

#include <functional>

#include "src/daemon/control/control_event.h"

namespace graniteseam::daemon {

/// What a round works with.
struct RoundHooks {
  std::function<Instant()> now;
  std::function<Instant()> next_tick;  ///< When the node wants to be woken.
  std::function<void(QueuedEvent)> apply;
  std::function<void(Instant)> tick;  ///< Called when the node's tick is due.
};

/// Waits for an event or for the node's tick, `longest_wait` at most. Then takes events, those of
/// the first lanes first, until none is left, a tick is due or the round has taken its time.
void PlayRound(ControlEventQueue& queue, Duration longest_wait, const RoundHooks& hooks);

}  // namespace graniteseam::daemon
