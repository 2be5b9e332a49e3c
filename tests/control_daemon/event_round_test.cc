#include "src/daemon/control/event_round.h"

#include <criterion/criterion.h>

#include <string>

using namespace graniteseam;
using namespace graniteseam::daemon;

namespace {

constexpr Duration kMillisecond{1'000};
constexpr Instant kStart = InstantFromMicros(1'000'000);

OperatorRequested Heartbeat() { return {1, control::ReportInstance{}}; }

/// Plays rounds in which each event takes its time, and notes what was taken.
struct Player {
  ControlEventQueue queue;
  Instant now = kStart;
  Instant next_tick = Instant::max();
  Duration event_cost = kMillisecond;
  std::string taken;  ///< A letter for each event and tick.

  void Play() {
    RoundHooks hooks;
    hooks.now = [this] { return now; };
    hooks.next_tick = [this] { return next_tick; };
    hooks.apply = [this](const QueuedEvent& queued) {
      constexpr char kLetters[] = "cof";
      taken += kLetters[static_cast<std::size_t>(LaneOf(queued.event))];
      now += event_cost;
    };
    hooks.tick = [this](Instant) {
      taken += 't';
      next_tick = Instant::max();
    };
    PlayRound(queue, Duration::zero(), hooks);
  }
};

}  // namespace

Test(event_round, consensus_goes_first_then_operators_then_the_fleet) {
  Player player;
  player.queue.Push(Heartbeat(), kStart);
  player.queue.Push(RouterMessageArrived{}, kStart);
  player.queue.Push(OperatorRequested{2, control::ReadConfiguration{}}, kStart);
  player.queue.Push(PeerMessageArrived{}, kStart);
  player.queue.Push(StopPrepared{}, kStart);
  player.Play();
  cr_assert(player.taken == "ccoff", "%s", player.taken.c_str());
}

/// Hundreds of events that cost much each must not keep a leader's heartbeats back.
Test(event_round, ends_by_time_whatever_waits) {
  Player player;
  player.event_cost = 5 * kMillisecond;
  for (int event = 0; event < 300; ++event) player.queue.Push(Heartbeat(), kStart);
  player.Play();
  cr_assert(player.now - kStart <= 25 * kMillisecond);
  cr_assert(player.queue.size() >= 290);
}

Test(event_round, tick_that_comes_due_among_events_runs_before_the_next_one) {
  Player player;
  player.next_tick = kStart + 3 * kMillisecond;
  for (int event = 0; event < 10; ++event) player.queue.Push(Heartbeat(), kStart);
  player.Play();
  cr_assert(player.taken == "ffft", "%s", player.taken.c_str());
}

Test(control_event_queue, fleet_that_fills_its_lane_leaves_room_for_consensus) {
  ControlEventQueue queue(8);
  while (queue.Push(RouterMessageArrived{}, kStart)) {
  }
  cr_assert(queue.dropped(EventLane::kFleet) == 1);
  cr_assert(queue.Push(PeerMessageArrived{}, kStart));
  cr_assert(std::holds_alternative<PeerMessageArrived>(queue.Take(1, Duration::zero())[0].event));
}
