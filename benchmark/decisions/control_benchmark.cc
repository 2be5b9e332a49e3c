/// @file
/// The control leader's decisions at three fleet sizes, up to that of letter 1: 1,100 servers with
/// 87,000 shards. Consensus and I/O are left out: commands are applied as soon as they are decided.

#include <benchmark/benchmark.h>
#include <unistd.h>

#include <cstdio>
#include <map>
#include <memory>
#include <string>

#include "graniteseam/bundle/signature.h"
#include "graniteseam/lease/fenced_owner.h"
#include "src/control/map_update.h"
#include "src/control/ownership_controller.h"
#include "src/control/router_sessions.h"

namespace graniteseam::control {
namespace {

const ServiceName kService{"transcripts"};
constexpr std::uint32_t kShardsPerServer = 79;
constexpr std::uint32_t kRouters = 18;
constexpr Duration kLease{600'000};
constexpr Duration kStep{1'000};
const char* const kReviewerKey = "AAECAwQFBgcICQoLDA0ODxAREhMUFRYXGBkaGxwdHh8=";

template <class T>
T Value(Outcome<T> outcome) {
  return std::get<T>(std::move(outcome));
}

std::size_t ResidentBytes() {
  std::size_t total = 0;
  std::size_t resident = 0;
  if (FILE* file = std::fopen("/proc/self/statm", "r")) {
    if (std::fscanf(file, "%zu %zu", &total, &resident) != 2) resident = 0;
    std::fclose(file);
  }
  return resident * static_cast<std::size_t>(sysconf(_SC_PAGESIZE));
}

/// A leader's state and duties with servers that answer at once.
class Fleet {
 public:
  explicit Fleet(std::uint32_t servers) : servers_(servers) {
    RollBundle();
    for (std::uint32_t number = 0; number < servers; ++number) {
      const ServerId id{"transcripts-" + std::to_string(number)};
      owners_.try_emplace(id, id, Incarnation{1});
      list_.machines.push_back({id, kService, "10.0.0.1:7100", ZoneName{"zone"}, false});
    }
    Elect(Term{1});
    for (int round = 0; round < 1'000; ++round) Step();
  }

  /// Makes a new leader's controller, as after an election.
  void Elect(Term term) {
    controller_ = std::make_unique<OwnershipController>(OwnershipOptions{}, state_, term, 0, now_);
    controller_->TakePlatformList(list_, now_);
  }

  /// One millisecond: what is due is sent, answered, decided and applied.
  void Step() {
    now_ += kStep;
    Exchange();
    Decide();
    Exchange();
  }

  std::size_t Exchange() {
    const auto sends = controller_->Sends(now_);
    for (const auto& [address, request] : sends) {
      if (silent_.contains(request.server)) continue;
      controller_->TakeAnswer(owners_.at(request.server).Take(request, now_), now_);
    }
    return sends.size();
  }

  std::size_t Decide() {
    const auto commands = controller_->Decide(now_);
    for (const auto& command : commands) Apply(command);
    if (!commands.empty()) controller_->Proposed(state_.applied());
    return commands.size();
  }

  void Silence(std::uint32_t number) { silent_.insert(Name(number)); }
  void Revive() { silent_.clear(); }
  ServerId Name(std::uint32_t number) const { return list_.machines[number].server; }
  bool Expiring(std::uint32_t number) const {
    return controller_->leases().Remaining(Name(number), now_) <= kStep;
  }
  bool Empty(std::uint32_t number) const { return state_.shards().OwnedCount(Name(number)) == 0; }
  bool AllOwned() const { return state_.shards().OwnedCount(ServerId{}) == 0; }
  void PassTime(Duration length) { now_ += length; }

  const ReplicatedState& state() const { return state_; }
  OwnershipController& controller() { return *controller_; }
  Instant now() const { return now_; }
  std::uint32_t size() const { return servers_; }

 private:
  void Apply(const CommandBody& command) {
    const LogIndex next = state_.applied().Next();
    const auto outcome =
        state_.Apply({Term{1}, next, consensus::EntryKind::kCommand, EncodeCommand(command)});
    if (controller_) controller_->HandleApplied(outcome, now_);
  }

  void RollBundle() {
    bundle::Bundle bundle;
    bundle.version = BundleVersion{1};
    bundle.author = "author";
    bundle::Service service;
    service.name = kService;
    service.kind = bundle::ServiceKind::kKeyed;
    service.shard_count = servers_ * kShardsPerServer;
    bundle.services = {service};
    bundle.groups = {bundle::Group{GroupName{"carrier-a"}, {kService}, "", 1.0, 256}};
    const std::string digest = bundle::Digest(bundle);
    const auto key = Value(Attempt([] { return bundle::PublicKeyOf(kReviewerKey); }));
    const auto signature =
        Value(Attempt([&] { return bundle::SignDigest(kReviewerKey, bundle.version, digest); }));
    Apply(SubmitBundleCommand{bundle, digest, ""});
    Apply(bundle::SignatureCommand{bundle.version, digest, "reviewer", key, signature});
    Apply(RollBundleCommand{bundle.version, digest});
  }

  std::uint32_t servers_;
  Instant now_ = InstantFromMicros(1'000'000);
  ReplicatedState state_;
  PlatformList list_;
  std::map<ServerId, lease::FencedOwner> owners_;
  std::set<ServerId> silent_;
  std::unique_ptr<OwnershipController> controller_;
};

/// Fleets are costly to build, so one of each size is kept.
Fleet& FleetOf(std::uint32_t servers) {
  static std::map<std::uint32_t, std::unique_ptr<Fleet>> fleets;
  auto& fleet = fleets[servers];
  if (!fleet) {
    const std::size_t before = ResidentBytes();
    fleet = std::make_unique<Fleet>(servers);
    std::fprintf(stderr, "%u servers, %zu shards, all owned: %d, %.1f MB with their owners\n",
                 servers, fleet->state().shards().size(), fleet->AllOwned() ? 1 : 0,
                 static_cast<double>(ResidentBytes() - before) / 1e6);
  }
  return *fleet;
}

std::uint32_t Servers(const benchmark::State& state) {
  return static_cast<std::uint32_t>(state.range(0));
}

/// From the instant at which leases are over to the new owners' grants: `lost` servers at once.
void DecideLoss(benchmark::State& state) {
  const auto lost = static_cast<std::uint32_t>(state.range(1));
  while (state.KeepRunning()) {
    state.PauseTiming();
    Fleet fleet(Servers(state));
    for (std::uint32_t number = 0; number < lost; ++number) fleet.Silence(number);
    while (!fleet.Expiring(lost - 1)) fleet.Step();
    state.ResumeTiming();
    while (!fleet.Empty(lost - 1)) fleet.Step();
    benchmark::DoNotOptimize(fleet.AllOwned());
    state.PauseTiming();
    if (!fleet.AllOwned()) state.SkipWithError("shards were left without an owner");
    state.ResumeTiming();
  }
}
BENCHMARK(DecideLoss)
    ->Args({50, 1})
    ->Args({200, 1})
    ->Args({1'100, 1})
    ->Args({1'100, 22})
    ->Iterations(5)
    ->Unit(benchmark::kMillisecond);

/// One exchange with one server in the steady state, with the server's own part.
void Renewal(benchmark::State& state) {
  Fleet& fleet = FleetOf(Servers(state));
  std::size_t exchanges = 0;
  while (state.KeepRunning()) {
    fleet.PassTime(kStep);
    exchanges += fleet.Exchange();
    fleet.Decide();
  }
  state.counters["exchanges_per_tick"] =
      static_cast<double>(exchanges) / static_cast<double>(state.iterations());
  state.counters["time_per_exchange"] = benchmark::Counter(
      static_cast<double>(exchanges), benchmark::Counter::kIsRate | benchmark::Counter::kInvert);
}
BENCHMARK(Renewal)->Arg(50)->Arg(200)->Arg(1'100)->Unit(benchmark::kMicrosecond);

/// A router's renewal that finds nothing new.
void RouterRenewalUnchanged(benchmark::State& state) {
  Fleet& fleet = FleetOf(Servers(state));
  RouterSessions sessions(Duration(1'000'000), fleet.state());
  sessions.SyncState();
  RouterRenewal renewal;
  renewal.bundle_version = BundleVersion{1};
  renewal.map_version = fleet.state().map_version();
  std::uint64_t number = 0;
  while (state.KeepRunning()) {
    renewal.router = RouterId{"router-" + std::to_string(number++ % kRouters)};
    renewal.sequence = number;
    benchmark::DoNotOptimize(sessions.Renew(number % kRouters, renewal, fleet.now()));
  }
}
BENCHMARK(RouterRenewalUnchanged)->Arg(50)->Arg(200)->Arg(1'100)->Unit(benchmark::kMicrosecond);

/// The whole routing table, for a router that starts.
void WholeMap(benchmark::State& state) {
  Fleet& fleet = FleetOf(Servers(state));
  while (state.KeepRunning()) benchmark::DoNotOptimize(BuildMapUpdate(fleet.state(), 0));
}
BENCHMARK(WholeMap)->Arg(50)->Arg(200)->Arg(1'100)->Unit(benchmark::kMillisecond);

/// A new leader greets all servers and renews all sessions once.
void Takeover(benchmark::State& state) {
  Fleet& fleet = FleetOf(Servers(state));
  std::uint64_t term = 2;
  while (state.KeepRunning()) {
    fleet.Elect(Term{term++});
    fleet.Exchange();
    fleet.Exchange();
  }
}
BENCHMARK(Takeover)->Arg(50)->Arg(200)->Arg(1'100)->Unit(benchmark::kMillisecond);

/// One round of balancing with load on every shard.
void BalanceRound(benchmark::State& state) {
  Fleet& fleet = FleetOf(Servers(state));
  LoadBalancer balancer(LoadBalancerOptions{}, fleet.state(), fleet.now());
  std::vector<ShardLoad> loads;
  for (const auto& shard : fleet.state().shards().All()) loads.push_back({shard.shard, 25.0, 0});
  Instant now = fleet.now();
  while (state.KeepRunning()) {
    state.PauseTiming();
    now += Duration(500'000);
    balancer.Report(loads, now);
    state.ResumeTiming();
    benchmark::DoNotOptimize(balancer.Decide([](const ServerId&) { return true; }, now));
  }
}
BENCHMARK(BalanceRound)->Arg(50)->Arg(200)->Arg(1'100)->Unit(benchmark::kMillisecond);

/// Taking a snapshot of the state, and its size.
void SaveState(benchmark::State& state) {
  Fleet& fleet = FleetOf(Servers(state));
  std::size_t bytes = 0;
  while (state.KeepRunning()) bytes = fleet.state().Save().size();
  state.counters["bytes"] = static_cast<double>(bytes);
}
BENCHMARK(SaveState)->Arg(50)->Arg(200)->Arg(1'100)->Unit(benchmark::kMillisecond);

void RestoreState(benchmark::State& state) {
  const std::string bytes = FleetOf(Servers(state)).state().Save();
  while (state.KeepRunning()) {
    ReplicatedState restored;
    benchmark::DoNotOptimize(static_cast<bool>(restored.Restore(bytes)));
  }
}
BENCHMARK(RestoreState)->Arg(50)->Arg(200)->Arg(1'100)->Unit(benchmark::kMillisecond);

}  // namespace
}  // namespace graniteseam::control
