#include "src/daemon/control/event_round.h"

#include <algorithm>
#include <optional>
#include <utility>
#include <vector>

namespace graniteseam::daemon {
namespace {

/// How long a round goes on taking events: a fifth of the interval of a leader's heartbeats, so
/// that neither they nor a peer's message wait for longer than that and one write to disk. Counted
/// in time, since an event costs a microsecond or milliseconds, by what it makes the node decide:
/// by number (256 events), rounds took up to two seconds with 900 instances on a third of a core.
constexpr Duration kRoundLength{20'000};

}  // namespace

void PlayRound(ControlEventQueue& queue, Duration longest_wait, const RoundHooks& hooks) {
  const Instant begun = hooks.now();
  Duration wait = std::clamp(hooks.next_tick() - begun, Duration::zero(), longest_wait);
  std::optional<Instant> first_taken;
  for (;;) {
    // One at a time: what matters more may have come meanwhile.
    std::vector<QueuedEvent> taken = queue.Take(1, wait);
    if (taken.empty()) break;
    wait = Duration::zero();
    if (!first_taken) first_taken = hooks.now();
    hooks.apply(std::move(taken.front()));
    const Instant now = hooks.now();
    if (now >= hooks.next_tick() || now - *first_taken >= kRoundLength) break;
  }
  const Instant now = hooks.now();
  if (now >= hooks.next_tick()) hooks.tick(now);
}

}  // namespace graniteseam::daemon
