#include "simulation/simulator/control_replacements.h"

#include <algorithm>
#include <string>

namespace graniteseam::simulation {

namespace {

constexpr std::uint32_t kFounders = 6;
constexpr std::uint32_t kFirstVoters = 3;
constexpr std::size_t kWantedVoters = 5;
constexpr std::size_t kLossesTolerated = 2;
constexpr std::uint32_t kSpares = 30;
constexpr std::size_t kSeedsTold = 3;
/// A control process counts as lost for so long after its start.
constexpr Duration kLostAfterStart{4'000'000};
/// By which the operators' list is late.
constexpr Duration kListLag{3'000'000};
/// Within which a group that bears its losses has a leader again.
constexpr Duration kLeaderWithin{4'000'000};
/// Until a group of three voters has grown to five.
constexpr Duration kFirstAt{8'000'000};
constexpr Duration kLookInterval{100'000};
/// As the program ends: once the node is ready, and after its limit at the latest.
constexpr Duration kStopLookInterval{5'000};
constexpr Duration kStopLimit{2'500'000};
constexpr double kRests = 0.2;
constexpr double kRestarts = 0.3;
constexpr double kPlanned = 0.5;
constexpr double kFounderFirst = 0.8;

auto IsFounder(std::uint32_t number) -> bool { return number <= kFounders; }

}  // namespace

auto ReplacedCore() -> CoreOptions {
  CoreOptions core;
  core.controls = kFounders;
  core.first_voters = kFirstVoters;
  core.spares = kSpares;
  core.repair.enabled = true;
  core.repair.voters = kWantedVoters;
  // A lost voter is replaced before the time is over after which others may be lost.
  core.repair.replace_after = kLostAfterStart / 3;
  return core;
}

auto ControlReplacements::PlayUntil(TrueTime end) -> void {
  end_ = end;
  lists_.emplace_back(0, fleet_.standing);
  world_.queue.After(kFirstAt, [this] {
    last_led_ = world_.now();
    CheckLeader();
    Step();
  });
}

auto ControlReplacements::Step() -> void {
  if (world_.now() >= end_) return;
  std::erase_if(lost_until_, [&](auto const& lost) { return lost.second <= world_.now(); });
  std::vector<Number> targets;
  std::copy_if(
      fleet_.standing.begin(), fleet_.standing.end(), std::back_inserter(targets),
      [&](Number number) { return !lost_until_.contains(number) && !leaving_.contains(number); });
  if (lost_until_.size() >= kLossesTolerated || targets.empty()) {
    world_.queue.After(kLookInterval, [this] { Step(); });
    return;
  }
  auto const others = std::stable_partition(targets.begin(), targets.end(), IsFounder);
  if (others != targets.begin() && world_.random.Chance(kFounderFirst))
    targets.erase(others, targets.end());
  Disturb(targets[world_.random.Below(targets.size())]);
  auto const pause = world_.random.Chance(kRests)
                         ? world_.random.Between(Duration(2'000'000), Duration(8'000'000))
                         : world_.random.Between(Duration(10'000), Duration(1'500'000));
  world_.queue.After(pause, [this] { Step(); });
}

auto ControlReplacements::Disturb(Number target) -> void {
  auto const successor = UnusedSpare(target);
  if (successor == 0 || (!IsFounder(target) && world_.random.Chance(kRestarts))) {
    Restart(target);
    return;
  }
  if (world_.random.Chance(kPlanned)) {
    ReplaceAsPlanned(target, successor);
  } else {
    ReplaceLost(target, successor);
  }
}

auto ControlReplacements::ReplaceLost(Number target, Number successor) -> void {
  world_.Count("fault: control replaced");
  world_.Trace("fault: control " + std::to_string(target) + " lost, replaced by " +
               std::to_string(successor));
  auto const span = std::min(world_.random.Between(Duration(100'000), Duration(2'500'000)),
                             Duration(end_ - world_.now()));
  fleet_.Control(target).LoseDisk();
  Remove(target);
  lost_until_[successor] = world_.now() + (span + kLostAfterStart).count();
  world_.queue.After(span, [this, successor] { StartSuccessor(successor); });
}

auto ControlReplacements::ReplaceAsPlanned(Number target, Number successor) -> void {
  world_.Count("fault: control turned over");
  world_.Trace("fault: control " + std::to_string(target) + " turned over to " +
               std::to_string(successor));
  auto const span = std::min(world_.random.Between(Duration(500'000), Duration(5'000'000)),
                             Duration(end_ - world_.now()));
  auto const lost_until = world_.now() + std::max(span, kLostAfterStart).count();
  // The two count as one, and neither is hit meanwhile.
  leaving_.insert(target);
  lost_until_[successor] = lost_until;
  StartSuccessor(successor);
  world_.queue.After(span, [this, target] {
    auto& control = fleet_.Control(target);
    last_loss_ = world_.now();
    control.Deliver([&control] {
      control.Run([](control::ControlNode& node, Instant now) { return node.PrepareStop(now); });
    });
    AwaitStop(target, world_.now() + kStopLimit.count());
  });
}

auto ControlReplacements::AwaitStop(Number target, TrueTime latest) -> void {
  world_.queue.After(kStopLookInterval, [this, target, latest] {
    auto& control = fleet_.Control(target);
    if (world_.now() < latest && !control.node().ReadyToStop(control.Now())) {
      AwaitStop(target, latest);
      return;
    }
    control.LoseDisk();
    Remove(target);
  });
}

auto ControlReplacements::Restart(Number target) -> void {
  world_.Count("fault: control restarted");
  auto const span = std::min(world_.random.Between(Duration(50'000), Duration(2'000'000)),
                             Duration(end_ - world_.now()));
  lost_until_[target] = world_.now() + (span + kLostAfterStart).count();
  last_loss_ = world_.now();
  fleet_.Control(target).LosePower();
  world_.queue.After(span, [this, target] { fleet_.Control(target).Start(); });
}

auto ControlReplacements::UnusedSpare(Number target) -> Number {
  auto const zone = world_.ZoneOf(fleet_.Control(target).name());
  for (auto number = kFounders + 1; number <= fleet_.controls.size(); ++number) {
    auto const is_unused = fleet_.Control(number).starts() == 0 && !lost_until_.contains(number);
    if (is_unused && world_.ZoneOf(fleet_.Control(number).name()) == zone) return number;
  }
  return 0;
}

auto ControlReplacements::StartSuccessor(Number successor) -> void {
  auto& control = fleet_.Control(successor);
  control.SetSeeds(DrawSeeds());
  control.Start();
  fleet_.standing.push_back(successor);
  NoteList();
}

auto ControlReplacements::Remove(Number gone) -> void {
  last_loss_ = world_.now();
  std::erase(fleet_.standing, gone);
  leaving_.erase(gone);
  NoteList();
}

auto ControlReplacements::NoteList() -> void { lists_.emplace_back(world_.now(), fleet_.standing); }

auto ControlReplacements::DrawSeeds() -> std::vector<consensus::Member> {
  auto const seen = world_.now() - kListLag.count();
  auto const list = std::find_if(lists_.rbegin(), lists_.rend() - 1,
                                 [&](auto const& entry) { return entry.first <= seen; });
  auto const& numbers = list->second;
  auto const first = world_.random.Below(numbers.size());
  std::vector<consensus::Member> seeds;
  for (std::size_t i = 0; i < std::min(kSeedsTold, numbers.size()); ++i) {
    auto seed = fleet_.Control(numbers[(first + i) % numbers.size()]).FirstSelf();
    seed.disk = {};
    seeds.push_back(seed);
  }
  return seeds;
}

auto ControlReplacements::CheckLeader() -> void {
  auto const now = world_.now();
  if (fleet_.Leader() != nullptr) last_led_ = now;
  if (!leaderless_ && now - std::max(last_led_, last_loss_) > kLeaderWithin.count()) {
    leaderless_ = true;
    world_.oracle.Violate(now, "no leader for 4 s after the last loss, of which no more than " +
                                   std::to_string(kLossesTolerated) + " stand at once");
  }
  world_.queue.After(kLookInterval, [this] { CheckLeader(); });
}

auto ControlReplacements::CheckAtEnd() -> void {
  auto const violate = [&](std::string const& what) { world_.oracle.Violate(world_.now(), what); };
  if (std::any_of(fleet_.standing.begin(), fleet_.standing.end(), IsFounder))
    violate("the run proves nothing: a founder is left");
  auto* const leader = fleet_.Leader();
  if (leader == nullptr) return;
  auto const& membership = leader->node().consensus().membership();
  if (membership.voters.size() != kWantedVoters)
    violate("not repaired at the end: " + std::to_string(membership.voters.size()) + " voters");
  for (auto const& voter : membership.voters) {
    if (std::find(fleet_.standing.begin(), fleet_.standing.end(), voter.id.value) ==
        fleet_.standing.end())
      violate("not repaired at the end: control " + std::to_string(voter.id.value) +
              " is gone and votes");
  }
}

}  // namespace graniteseam::simulation
