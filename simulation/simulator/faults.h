/// @file
/// What can go wrong, by name; and who makes it go wrong at random instants.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "simulation/simulator/users.h"

namespace graniteseam::simulation {

class Faults;

/// One kind of fault. Its name appears in the counts of a run.
struct FaultKind {
  const char* name;
  void (Faults::*inject)();
};

/// Injects faults into a fleet. Each ends by itself; Heal() ends all.
class Faults {
 public:
  Faults(World& world, Fleet& fleet, Operators& operators)
      : world_(world), fleet_(fleet), operators_(operators) {}

  static const std::vector<FaultKind>& All();

  /// Injects kinds drawn from `kinds` until `end`, one each interval of up to `interval_maximum`;
  /// with `twice` two at once.
  void InjectUntil(std::vector<FaultKind> kinds, Duration interval_maximum, bool twice,
                   TrueTime end);
  void Inject(const FaultKind& kind);
  /// Makes network and processes whole again; lost disks stay lost.
  void Heal();

  void PauseControl();
  void PauseLeader();
  void KillControl();
  void KillLeader();
  void LoseControlDisk();
  void TearControlWrite();
  void FillControlDisk();
  void CutControl();
  void CutLeaderForLong();
  void CutLinkOneWay();
  void CutZone();
  void KillZone();
  void StopControlForLong();
  void FreezeServer();
  void KillServer();
  void CutServer();
  void PauseRouter();
  void KillRouter();
  void StopRouterAsPlanned();
  void StopLeaderAsPlanned();
  void CutRouter();
  void DisturbNetwork();
  void DelayNetwork();
  void ReplayLeases();
  void ChangeClockRate();
  void JumpWallClock();
  void MislistServer();
  void ListServerAsLeaving();
  void RaceBundles() { operators_.RaceBundles(); }

 private:
  ControlProcess& AnyControl();
  ControlProcess& LeaderOrAny();
  RouterProcess& AnyRouter();
  ServerProcess& AnyServer();
  Duration Span(std::int64_t low_ms, std::int64_t high_ms);
  void KillFor(Process& process, Duration length);
  void CutFor(const NodeName& node, Duration length);

  World& world_;
  Fleet& fleet_;
  Operators& operators_;
  std::uint64_t mood_number_ = 0;
  TrueTime end_ = 0;
};

}  // namespace graniteseam::simulation
