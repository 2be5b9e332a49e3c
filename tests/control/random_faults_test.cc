/// @file
/// Random faults of every kind, together and twice, over many seeds in virtual time. At each
/// instant a shard has at most one server that may start or finish a request; after the faults all
/// is well.

#include <criterion/criterion.h>

#include <array>

#include "tests/control/control_harness.h"

using graniteseam::Duration;
using graniteseam::ServerId;
using graniteseam::ShardId;
using graniteseam::control::DrainServer;
using graniteseam::control::MoveShard;
using graniteseam::lease::ShardGrant;
using graniteseam::test::ControlHarness;
using graniteseam::test::HarnessOptions;
using graniteseam::test::kKeyed;

namespace {

constexpr Duration kSecond{1'000'000};
constexpr std::size_t kControls = 5;
constexpr std::uint32_t kShards = 12;
/// A few seeds for CI; more by hand. The simulator covers many more.
constexpr int kSeeds = 8;
constexpr int kFaults = 60;
const std::array<std::string, 5> kServers = {"t-1", "t-2", "t-3", "t-4", "t-5"};

/// A request that was begun and may still commit.
struct InFlight {
  std::string server;
  std::uint64_t incarnation = 0;
  ShardGrant grant;
};

/// One seed's run.
class Round {
 public:
  explicit Round(std::uint64_t seed) : random_(seed * 7919), harness_(Options(seed)) {
    for (const auto& name : kServers) harness_.AddServer(name);
    harness_.RollBundle(1);
    cr_assert(harness_.RunUntil([&] { return harness_.AllOwned(); }, 5 * kSecond));
  }

  void Run(int faults) {
    for (int fault = 0; fault < faults; ++fault) {
      Inject();
      for (std::uint64_t step = Pick(60); step > 0; --step) {
        harness_.RunFor(Duration(10'000));
        Work();
      }
    }
    Heal();
  }
  int faults_seen() const { return faults_seen_; }

 private:
  static HarnessOptions Options(std::uint64_t seed) {
    HarnessOptions options;
    options.seed = seed;
    options.control_count = kControls;
    options.shard_count = kShards;
    options.duplicate_chance = 0.05;
    options.late_chance = 0.05;
    return options;
  }
  std::uint64_t Pick(std::uint64_t count) { return random_() % count; }
  const std::string& AnyServer() { return kServers[Pick(kServers.size())]; }

  /// Stopped, paused and cut-off control processes together stay a minority, so that the group may
  /// be expected to decide.
  void Inject() {
    const std::size_t control = Pick(kControls);
    const std::string& server = AnyServer();
    ++faults_seen_;
    switch (Pick(12)) {
      case 0:
        return harness_.KillServer(server);
      case 1:
        return harness_.StartServer(server);
      case 2:
      case 3:
        return harness_.FreezeServer(server);
      case 4:
        return WakeAll();
      case 5:
        if (Disturb(control)) harness_.StopControl(control);
        return;
      case 6:
        if (Disturb(control)) harness_.CutOff(control, Pick(2) == 0);
        return;
      case 7:
        if (Disturb(control)) harness_.PauseControl(control);
        return;
      case 8:
        return HealControls();
      case 9:
        return Send(MoveShard{ShardId{kKeyed, static_cast<std::uint32_t>(Pick(kShards))},
                              ServerId{server}});
      case 10:
        return Send(DrainServer{ServerId{server}, Pick(2) == 0});
      default:
        return harness_.ReplayLeaseMessages();
    }
  }
  bool Disturb(std::size_t control) {
    if (disturbed_.size() >= 2 && !disturbed_.contains(control)) return false;
    return disturbed_.insert(control).second;
  }
  void Send(const graniteseam::control::OperatorRequest& request) {
    if (const auto leader = harness_.Leader()) harness_.Submit(*leader, request);
  }
  void WakeAll() {
    for (const auto& name : kServers) harness_.WakeServer(name);
  }
  void HealControls() {
    for (const std::size_t control : disturbed_) {
      harness_.ResumeControl(control);
      harness_.Reconnect(control);
      if (!harness_.Runs(control)) harness_.StartControl(control);
    }
    disturbed_.clear();
  }

  /// Begins requests, ends some, and checks who could finish one now.
  void Work() {
    for (const auto& name : kServers) {
      auto& server = harness_.server(name);
      if (!server.owner || server.frozen) continue;
      const auto held = server.owner->Held();
      if (held.empty()) continue;
      const auto& grant = held[Pick(held.size())];
      if (!server.owner->Begin(grant, harness_.Clock(name))) continue;
      in_flight_.push_back({name, server.incarnations, grant});
    }
    std::erase_if(in_flight_, [&](const InFlight& request) { return Finish(request); });
  }
  bool Finish(const InFlight& request) {
    auto& server = harness_.server(request.server);
    if (!server.owner || server.incarnations != request.incarnation) return true;
    if (server.owner->Commit(request.grant, harness_.Clock(request.server))) {
      for (const auto& owner : harness_.OwnersOf(request.grant.shard.index)) {
        cr_assert(owner == request.server, "shard %u could be run by two servers",
                  request.grant.shard.index);
      }
    }
    if (server.frozen || Pick(8) != 0) return false;
    server.owner->End(request.grant);
    return true;
  }

  void Heal() {
    HealControls();
    WakeAll();
    for (const auto& name : kServers) {
      if (!harness_.server(name).owner) harness_.StartServer(name);
    }
    harness_.RunFor(2 * kSecond);
    for (const auto& name : kServers) harness_.Ask(DrainServer{ServerId{name}, false});
    for (const auto& request : in_flight_) {
      auto& server = harness_.server(request.server);
      if (server.incarnations == request.incarnation) server.owner->End(request.grant);
    }
    cr_assert(harness_.RunUntil([&] { return harness_.AllOwned(); }, 5 * kSecond));
    cr_assert(harness_.most_owners_seen() == 1);
  }

  std::mt19937_64 random_;
  ControlHarness harness_;
  std::set<std::size_t> disturbed_;
  std::vector<InFlight> in_flight_;
  int faults_seen_ = 0;
};

}  // namespace

Test(random_faults, never_make_two_owners_and_leave_nothing_behind) {
  int faults = 0;
  for (int seed = 1; seed <= kSeeds; ++seed) {
    cr_log_info("seed %d", seed);
    Round round(static_cast<std::uint64_t>(seed));
    round.Run(kFaults);
    faults += round.faults_seen();
  }
  cr_assert(faults == kSeeds * kFaults);
}
