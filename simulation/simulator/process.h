/// @file
/// What control processes, routers and servers have in common: a clock, starts, pauses.
#pragma once

#include <functional>
#include <string>
#include <utility>

#include "simulation/simulator/virtual_clock.h"
#include "simulation/simulator/world.h"

namespace graniteseam::simulation {

/// One process of the fleet. Not thread safe.
class Process {
 public:
  Process(World& world, NodeName name, std::uint32_t zone)
      : world_(world), name_(name), clock_(DrawOrigin(world), DrawRate(world)) {
    world.SetZone(name, zone);
  }
  virtual ~Process() = default;
  Process(const Process&) = delete;
  Process& operator=(const Process&) = delete;

  const NodeName& name() const { return name_; }
  bool alive() const { return alive_; }
  bool paused() const { return world_.now() < paused_until_; }
  std::uint64_t starts() const { return starts_; }
  Instant Now() const { return clock_.At(world_.now()); }
  const VirtualClock& clock() const { return clock_; }

  /// Starts the program; nothing when it runs.
  void Start() {
    if (alive_) return;
    alive_ = true;
    ++starts_;
    paused_until_ = 0;
    world_.Trace(simulation::ToString(name_) + " starts");
    OnStart();
    ScheduleTick();
  }
  /// Ends the program at once; its memory is gone.
  void Kill() {
    if (!alive_) return;
    alive_ = false;
    world_.Trace(simulation::ToString(name_) + " dies");
    OnKill();
  }
  /// Stops the program from running, as SIGSTOP or a frozen machine does. Its clock goes on.
  void PauseFor(Duration length) {
    if (!alive_) return;
    world_.Trace(simulation::ToString(name_) + " pauses for " + std::to_string(length.count()));
    paused_until_ = std::max(paused_until_, world_.now() + length.count());
    world_.queue.At(paused_until_, [this] { ScheduleTick(); });
  }
  void SetClockRate(double rate) { clock_.SetRate(rate, world_.now()); }

  /// Hands something to the program; what comes while it is paused waits in its sockets. Dropped
  /// when the program has ended meanwhile.
  void Deliver(std::function<void()> run) { DeliverTo(starts_, std::move(run)); }

  /// Half of the drift bound of control's settings (0.001) in each direction, less a margin.
  static constexpr double kRateSpread = 0.00049;

 protected:
  virtual void OnStart() = 0;
  virtual void OnKill() = 0;
  virtual void OnTick() = 0;
  virtual Instant NextTick() const = 0;
  /// While true, what comes waits.
  virtual bool Blocked() const { return false; }

  /// Asks for OnTick() at NextTick(). To be called after each step of the program.
  void ScheduleTick() {
    if (!alive_ || paused()) return;
    const Instant due = NextTick();
    if (due == Instant::max()) return;
    const TrueTime at = std::max(world_.now() + 1, clock_.When(due));
    if (tick_at_ > world_.now() && tick_at_ <= at) return;
    tick_at_ = at;
    world_.queue.At(at, [this, at, start = starts_] {
      if (!alive_ || starts_ != start || tick_at_ != at) return;
      tick_at_ = 0;
      if (paused() || Blocked()) {
        const TrueTime again = std::max(paused_until_, world_.now() + kBlockedRetry.count());
        world_.queue.At(again, [this] { ScheduleTick(); });
        return;
      }
      if (NextTick() <= Now()) OnTick();
      ScheduleTick();
    });
  }

  World& world_;

 private:
  static constexpr Duration kBlockedRetry{10'000};

  static std::int64_t DrawOrigin(World& world) {
    return static_cast<std::int64_t>(1'000'000 + world.random.Below(100'000'000'000ULL));
  }
  static double DrawRate(World& world) {
    return 1.0 + (world.random.Fraction() * 2 - 1) * kRateSpread;
  }

  void DeliverTo(std::uint64_t start, std::function<void()> run) {
    if (!alive_ || starts_ != start) return;
    if (paused() || Blocked()) {
      const TrueTime at = std::max(paused_until_, world_.now() + kBlockedRetry.count());
      world_.queue.At(at, [this, start, run = std::move(run)] { DeliverTo(start, run); });
      return;
    }
    run();
    ScheduleTick();
  }

  NodeName name_;
  VirtualClock clock_;
  bool alive_ = false;
  std::uint64_t starts_ = 0;
  TrueTime paused_until_ = 0;
  TrueTime tick_at_ = 0;
};

}  // namespace graniteseam::simulation
