#include "simulation/simulator/faults.h"

#include <algorithm>
#include <utility>

namespace graniteseam::simulation {

namespace {

/// As many voters as the group claims to survive the loss of.
constexpr std::size_t kLostDisksMaximum = 2;
constexpr std::size_t kReplayed = 20;
constexpr std::int64_t kDayMs = 86'400'000;

}  // namespace

const std::vector<FaultKind>& Faults::All() {
  static const std::vector<FaultKind> kinds = {
      {"control paused", &Faults::PauseControl},
      {"leader paused", &Faults::PauseLeader},
      {"control lost power", &Faults::KillControl},
      {"leader lost power", &Faults::KillLeader},
      {"control disk lost", &Faults::LoseControlDisk},
      {"control write torn", &Faults::TearControlWrite},
      {"control disk full", &Faults::FillControlDisk},
      {"control cut", &Faults::CutControl},
      {"leader cut for long", &Faults::CutLeaderForLong},
      {"link cut one way", &Faults::CutLinkOneWay},
      {"zone cut", &Faults::CutZone},
      {"zone lost power", &Faults::KillZone},
      {"control away for long", &Faults::StopControlForLong},
      {"server frozen", &Faults::FreezeServer},
      {"server killed", &Faults::KillServer},
      {"server cut", &Faults::CutServer},
      {"router paused", &Faults::PauseRouter},
      {"router killed", &Faults::KillRouter},
      {"router stopped as planned", &Faults::StopRouterAsPlanned},
      {"leader stopped as planned", &Faults::StopLeaderAsPlanned},
      {"router cut", &Faults::CutRouter},
      {"network lossy", &Faults::DisturbNetwork},
      {"network slow", &Faults::DelayNetwork},
      {"leases replayed", &Faults::ReplayLeases},
      {"clock rate changed", &Faults::ChangeClockRate},
      {"wall clock jumped", &Faults::JumpWallClock},
      {"server not listed", &Faults::MislistServer},
      {"server listed as leaving", &Faults::ListServerAsLeaving},
      {"bundles raced", &Faults::RaceBundles},
  };
  return kinds;
}

void Faults::Inject(const FaultKind& kind) {
  world_.Count(std::string("fault: ") + kind.name);
  world_.Trace(std::string("fault: ") + kind.name);
  (this->*kind.inject)();
}

void Faults::InjectUntil(std::vector<FaultKind> kinds, Duration interval_maximum, bool twice,
                         TrueTime end) {
  end_ = end;
  const Duration wait = world_.random.Between(interval_maximum / 10, interval_maximum);
  if (world_.now() + wait.count() >= end) return;
  world_.queue.After(wait, [this, kinds = std::move(kinds), interval_maximum, twice, end] {
    for (int number = 0; number < (twice ? 2 : 1); ++number) {
      Inject(kinds[world_.random.Below(kinds.size())]);
    }
    InjectUntil(kinds, interval_maximum, twice, end);
  });
}

void Faults::Heal() {
  ++mood_number_;
  world_.mood = NetworkMood{};
  fleet_.listed_as_leaving.clear();
  fleet_.unlisted.clear();
  for (std::uint32_t zone = 0; zone < kZones; ++zone) world_.RestoreZone(zone);
  for (auto const number : fleet_.standing) {
    auto* const control = &fleet_.Control(number);
    control->SetDiskFull(false);
    world_.RestoreNode(control->name());
    control->Start();
    for (auto& other : fleet_.controls) world_.RestoreLink(control->name(), other->name());
  }
  for (auto& router : fleet_.routers) {
    world_.RestoreNode(router->name());
    router->Start();
  }
  for (auto& server : fleet_.servers) {
    world_.RestoreNode(server->name());
    server->Start();
  }
}

ControlProcess& Faults::AnyControl() { return fleet_.AnyStandingControl(); }
ControlProcess& Faults::LeaderOrAny() {
  ControlProcess* leader = fleet_.Leader();
  return leader != nullptr ? *leader : AnyControl();
}
RouterProcess& Faults::AnyRouter() {
  return *fleet_.routers[world_.random.Below(fleet_.routers.size())];
}
ServerProcess& Faults::AnyServer() {
  return *fleet_.servers[world_.random.Below(fleet_.servers.size())];
}

/// A random length, cut at the end of the time of faults.
Duration Faults::Span(std::int64_t low_ms, std::int64_t high_ms) {
  const Duration span = world_.random.Between(Duration(low_ms * 1000), Duration(high_ms * 1000));
  return std::max(Duration(1'000), std::min(span, Duration(end_ - world_.now())));
}

void Faults::KillFor(Process& process, Duration length) {
  process.Kill();
  world_.queue.After(length, [&process] { process.Start(); });
}

void Faults::CutFor(const NodeName& node, Duration length) {
  world_.CutNode(node);
  world_.queue.After(length, [this, node] { world_.RestoreNode(node); });
}

void Faults::PauseControl() { AnyControl().PauseFor(Span(50, 4'000)); }
void Faults::PauseLeader() { LeaderOrAny().PauseFor(Span(100, 4'000)); }

void Faults::KillControl() {
  ControlProcess& control = AnyControl();
  control.LosePower();
  KillFor(control, Span(50, 3'000));
}

void Faults::KillLeader() {
  ControlProcess& control = LeaderOrAny();
  control.LosePower();
  KillFor(control, Span(50, 3'000));
}

void Faults::LoseControlDisk() {
  ControlProcess& control = AnyControl();
  // A new disk that is lost before the old one was replaced would be a third loss for the group:
  // until then both may be voters.
  const bool beyond_claim =
      operators_.lost_disks() >= kLostDisksMaximum || operators_.AwaitsDisk(control.name().number);
  if (beyond_claim) {
    world_.Count("disk loss left out");
    return;
  }
  operators_.OnDiskLost(control.name().number);
  control.LoseDisk();
  KillFor(control, Span(50, 2'000));
}

void Faults::TearControlWrite() { AnyControl().LosePowerAtWrite(); }

void Faults::FillControlDisk() {
  ControlProcess& control = AnyControl();
  control.SetDiskFull(true);
  world_.queue.After(Span(500, 3'000), [&control] { control.SetDiskFull(false); });
}

void Faults::CutControl() { CutFor(AnyControl().name(), Span(200, 4'000)); }
void Faults::CutLeaderForLong() { CutFor(LeaderOrAny().name(), Span(4'000, 15'000)); }

void Faults::CutLinkOneWay() {
  const NodeName from = AnyControl().name();
  const NodeName to = AnyControl().name();
  world_.CutLink(from, to);
  world_.queue.After(Span(200, 5'000), [this, from, to] { world_.RestoreLink(from, to); });
}

void Faults::CutZone() {
  const auto zone = static_cast<std::uint32_t>(world_.random.Below(kZones));
  world_.CutZone(zone);
  world_.queue.After(Span(300, 5'000), [this, zone] { world_.RestoreZone(zone); });
}

void Faults::KillZone() {
  const auto zone = static_cast<std::uint32_t>(world_.random.Below(kZones));
  const Duration length = Span(500, 4'000);
  for (auto& control : fleet_.controls) {
    if (world_.ZoneOf(control->name()) != zone) continue;
    control->LosePower();
    KillFor(*control, length);
  }
  for (auto& router : fleet_.routers) {
    if (world_.ZoneOf(router->name()) == zone) KillFor(*router, length);
  }
  for (auto& server : fleet_.servers) {
    if (world_.ZoneOf(server->name()) == zone) KillFor(*server, length);
  }
}

void Faults::StopControlForLong() { KillFor(AnyControl(), Span(10'000, 25'000)); }
void Faults::FreezeServer() { AnyServer().PauseFor(Span(100, 4'000)); }
void Faults::KillServer() { KillFor(AnyServer(), Span(1, 3'000)); }
void Faults::CutServer() { CutFor(AnyServer().name(), Span(200, 4'000)); }
void Faults::PauseRouter() { AnyRouter().PauseFor(Span(100, 4'000)); }
void Faults::KillRouter() { KillFor(AnyRouter(), Span(1, 2'000)); }
void Faults::CutRouter() { CutFor(AnyRouter().name(), Span(200, 5'000)); }

void Faults::StopRouterAsPlanned() {
  RouterProcess& router = AnyRouter();
  if (!router.alive()) return;
  router.Deliver([&router] { router.PrepareStop(); });
  const Duration length = Span(2'000, 4'000);
  world_.queue.After(length, [this, &router, start = router.starts()] {
    if (router.starts() == start) KillFor(router, Duration(100'000));
  });
}

void Faults::StopLeaderAsPlanned() {
  ControlProcess& control = LeaderOrAny();
  if (!control.alive()) return;
  control.Deliver([&control] {
    control.Run([](control::ControlNode& node, Instant now) { return node.PrepareStop(now); });
  });
  world_.queue.After(Span(500, 1'000), [this, &control, start = control.starts()] {
    if (control.starts() == start) KillFor(control, Span(100, 1'000));
  });
}

void Faults::DisturbNetwork() {
  world_.mood.loss = world_.random.Fraction() * 0.2;
  world_.mood.duplication = world_.random.Fraction() * 0.2;
  world_.mood.late = world_.random.Fraction() * 0.1;
  world_.queue.After(Span(500, 5'000), [this, number = ++mood_number_] {
    if (number == mood_number_) world_.mood = NetworkMood{};
  });
}

void Faults::DelayNetwork() {
  world_.mood.delay_minimum = Duration(1'000);
  world_.mood.delay_maximum = Span(5, 120);
  world_.queue.After(Span(500, 4'000), [this, number = ++mood_number_] {
    if (number == mood_number_) world_.mood = NetworkMood{};
  });
}

void Faults::ReplayLeases() { fleet_.ReplayLeaseMessages(kReplayed); }

void Faults::ChangeClockRate() {
  const double rate =
      1.0 + (world_.random.Chance(0.5) ? Process::kRateSpread : -Process::kRateSpread);
  switch (world_.random.Below(3)) {
    case 0:
      AnyControl().SetClockRate(rate);
      break;
    case 1:
      AnyServer().SetClockRate(rate);
      break;
    default:
      AnyRouter().SetClockRate(rate);
      break;
  }
}

void Faults::JumpWallClock() {
  const std::int64_t size = world_.random.Chance(0.5) ? 5'000 : kDayMs;
  const std::int64_t jump = world_.random.Chance(0.5) ? size : -size;
  ControlProcess& control = AnyControl();
  control.JumpWallClock(jump);
  world_.queue.After(Span(500, 5'000), [&control, jump] { control.JumpWallClock(-jump); });
}

void Faults::MislistServer() {
  const std::string id = AnyServer().id();
  fleet_.unlisted.insert(id);
  world_.queue.After(Span(1'000, 6'000), [this, id] { fleet_.unlisted.erase(id); });
}

void Faults::ListServerAsLeaving() {
  const std::string id = AnyServer().id();
  fleet_.listed_as_leaving.insert(id);
  world_.queue.After(Span(1'000, 6'000), [this, id] { fleet_.listed_as_leaving.erase(id); });
}

}  // namespace graniteseam::simulation
