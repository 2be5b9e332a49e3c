#include "src/daemon/control/event_round.h"

#include <algorithm>
#include <utility>

namespace graniteseam::daemon {
namespace {

/// Events decided before their effects are made durable together.
constexpr std::size_t kEventsAtOnce = 256;

}  // namespace

void PlayRound(ControlEventQueue& queue, Duration longest_wait, const RoundHooks& hooks) {
  const Duration until_tick = hooks.next_tick() - hooks.now();
  const Duration wait = std::clamp(until_tick, Duration::zero(), longest_wait);
  for (QueuedEvent& event : queue.Take(kEventsAtOnce, wait)) hooks.apply(std::move(event));
  const Instant now = hooks.now();
  if (now >= hooks.next_tick()) hooks.tick(now);
}

}  // namespace graniteseam::daemon
