/// @file
/// Control processes that are replaced for good by others at other addresses.
#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <set>
#include <utility>
#include <vector>

#include "simulation/simulator/fleet.h"

namespace graniteseam::simulation {

/// Six control processes of which five vote, founded by three, that repair their membership
/// themselves; and spares.
auto ReplacedCore() -> CoreOptions;

/// Replaces control processes in series and overlapping, planned and not, and restarts others
/// beside them. Never more are lost at once than the group is to bear: one is lost from its end
/// until a while after it, or its successor, was started. Judges that the group has a leader soon
/// after each loss.
class ControlReplacements {
 public:
  ControlReplacements(World& world, Fleet& fleet) : world_(world), fleet_(fleet) {}

  /// Begins once a group that was just founded has grown.
  auto PlayUntil(TrueTime end) -> void;

  /// Checks that no founder is left, that as many vote as are wanted, and that all of them stand.
  auto CheckAtEnd() -> void;

 private:
  using Number = std::uint32_t;

  auto Step() -> void;
  auto Disturb(Number target) -> void;
  auto ReplaceLost(Number target, Number successor) -> void;
  auto ReplaceAsPlanned(Number target, Number successor) -> void;
  /// Ends a process that was told to stop once it is ready, at `latest` in any case.
  auto AwaitStop(Number target, TrueTime latest) -> void;
  auto Restart(Number target) -> void;
  /// A spare of the same zone that was never started; 0 when there is none.
  auto UnusedSpare(Number target) -> Number;
  auto StartSuccessor(Number successor) -> void;
  auto Remove(Number gone) -> void;
  /// Notes the change of the operators' list.
  auto NoteList() -> void;
  /// Three of the control processes that the operators' list named a while ago.
  auto DrawSeeds() -> std::vector<consensus::Member>;
  auto CheckLeader() -> void;

  World& world_;
  Fleet& fleet_;
  TrueTime end_ = 0;
  TrueTime last_loss_ = 0;
  TrueTime last_led_ = 0;
  bool leaderless_ = false;
  /// By the number of the process that is restarted, or of the one that takes another one's place.
  std::map<Number, TrueTime> lost_until_;
  std::set<Number> leaving_;  ///< Their successors were started, and they were not removed yet.
  std::deque<std::pair<TrueTime, std::vector<Number>>> lists_;  ///< As they stood from then on.
};

}  // namespace graniteseam::simulation
