/// @file
/// Runs random commands on a lease table, one server with a drifting clock, and a network that
/// loses, delays, repeats and reorders; checks them against a model of what was given to whom.

#include <criterion/criterion.h>
#include <rapidcheck.h>
#include <rapidcheck/state.h>

#include <algorithm>
#include <cstdlib>
#include <map>

#include "graniteseam/lease/fenced_owner.h"
#include "graniteseam/lease/lease_table.h"

using graniteseam::Duration;
using graniteseam::Epoch;
using graniteseam::Incarnation;
using graniteseam::Instant;
using graniteseam::InstantFromMicros;
using graniteseam::ServerId;
using graniteseam::ServiceName;
using graniteseam::ShardId;
using graniteseam::Term;
using graniteseam::ToMicros;
using graniteseam::lease::FencedOwner;
using graniteseam::lease::LeaseAnswer;
using graniteseam::lease::LeaseRequest;
using graniteseam::lease::LeaseTable;
using graniteseam::lease::LeaseTableOptions;
using graniteseam::lease::ShardGrant;
using graniteseam::lease::ShardSet;

namespace {

constexpr std::int64_t kLease = 600'000;
constexpr std::uint32_t kShardCount = 4;
const ServerId kServer{"transcripts-1"};

ShardGrant GrantOf(std::uint32_t shard, std::uint64_t epoch) {
  return {ShardId{ServiceName{"transcripts"}, shard}, Epoch{epoch}};
}

enum class Holding { kNobody, kHeld, kLeaving };

/// One shard as the log has it. Nobody stands for any other server.
struct LoggedShard {
  std::uint64_t epoch = 0;
  Holding holding = Holding::kNobody;
};

/// The commands need no model to be generated: one that does not apply does nothing.
struct Nothing {};

/// The table, every incarnation of the server, the messages on the way, and the log that a real
/// group would keep. The oracle is the log together with what the owners would let run.
struct System {
  std::map<std::uint32_t, LoggedShard> log;
  std::int64_t now = 0;
  double clock_rate = 1.0;
  LeaseTable table{LeaseTableOptions{}, Term{2}, 0, [this](const ServerId&) { return Set(); }};
  std::vector<FencedOwner> owners;  ///< Also incarnations that should be dead, but may live on.
  std::vector<LeaseRequest> requests;
  std::vector<LeaseAnswer> answers;

  explicit System(double rate) : clock_rate(rate) {
    for (std::uint32_t index = 0; index < kShardCount; ++index) log[index] = {1, Holding::kHeld};
    owners.emplace_back(kServer, Incarnation{1});
    table.AddUnleased(kServer, Duration(kLease), At());
  }
  Instant At() const { return InstantFromMicros(now); }
  Instant ServerAt() const {
    return InstantFromMicros(5'000'000 +
                             static_cast<std::int64_t>(static_cast<double>(now) * clock_rate));
  }
  ShardSet Set() const {
    ShardSet set;
    for (const auto& [index, shard] : log) {
      if (shard.holding == Holding::kHeld) set.grants.push_back(GrantOf(index, shard.epoch));
      if (shard.holding == Holding::kLeaving) {
        set.revocations.push_back(GrantOf(index, shard.epoch));
      }
    }
    return set;
  }
  std::size_t Leases() const {
    return static_cast<std::size_t>(
        std::count_if(owners.begin(), owners.end(),
                      [&](const FencedOwner& owner) { return owner.LeaseValid(ServerAt()); }));
  }
  /// Whether any incarnation may start a request for the shard, at any epoch.
  bool MayRun(std::uint32_t index) const {
    for (const auto& owner : owners) {
      if (!owner.LeaseValid(ServerAt())) continue;
      for (const auto& grant : owner.Held()) {
        if (grant.shard.index == index) return true;
      }
    }
    return false;
  }
  /// Does what the control leader does with what the table reports.
  void Follow() {
    for (const auto& release : table.TakeReleases()) {
      log[release.grant.shard.index].holding = Holding::kNobody;
      table.Grant(ServerId{"another"}, release.grant, At());
    }
    if (table.expired().contains(kServer)) {
      if (const auto successor = table.Successor(kServer, At())) {
        for (auto& [index, shard] : log) {
          if (shard.holding != Holding::kNobody) shard = {shard.epoch + 1, Holding::kHeld};
        }
        table.Admit(kServer, *successor, At());
      } else {
        for (auto& [index, shard] : log) shard.holding = Holding::kNobody;
        table.Dismiss(kServer, At());
      }
    }
    for (const auto& appearance : table.TakeUnleasedIncarnations()) {
      if (!table.IsUnleased(kServer)) continue;
      table.Admit(kServer, appearance.incarnation, At());
    }
    Check();
  }
  void Check() const {
    RC_ASSERT(Leases() <= 1);
    if (table.Remaining(kServer, At()) == Duration::zero()) RC_ASSERT(Leases() == 0);
    for (const auto& [index, shard] : log) {
      if (shard.holding == Holding::kNobody) RC_ASSERT_FALSE(MayRun(index));
    }
  }
  void Advance() {
    for (auto& request : table.Advance(At())) requests.push_back(std::move(request));
    Follow();
  }
};

using LeaseCommand = rc::state::Command<Nothing, System>;

/// Lets time pass; often just as long as the table says that the lease may still be valid.
struct PassTime : LeaseCommand {
  std::int64_t length = *rc::gen::inRange<std::int64_t>(1, kLease / 4);
  bool to_the_end = *rc::gen::weightedElement<bool>({{1, true}, {9, false}});

  void run(const Nothing& /*model*/, System& system) const override {
    const auto remaining = system.table.Remaining(kServer, system.At()).count();
    system.now += to_the_end && remaining > 0 ? remaining : length;
    system.Advance();
  }
};

/// Delivers any message sent so far, maybe not for the first time, to any incarnation.
struct DeliverRequest : LeaseCommand {
  std::size_t pick = *rc::gen::inRange<std::size_t>(0, 1'000);
  bool newest = *rc::gen::weightedElement<bool>({{4, true}, {1, false}});

  void run(const Nothing& /*model*/, System& system) const override {
    if (system.requests.empty()) return;
    const auto& request =
        newest ? system.requests.back() : system.requests[pick % system.requests.size()];
    FencedOwner& owner = newest ? system.owners.back() : system.owners[pick % system.owners.size()];
    system.answers.push_back(owner.Take(request, system.ServerAt()));
    system.Check();
  }
};

struct DeliverAnswer : LeaseCommand {
  std::size_t pick = *rc::gen::inRange<std::size_t>(0, 1'000);
  bool newest = *rc::gen::weightedElement<bool>({{4, true}, {1, false}});

  void run(const Nothing& /*model*/, System& system) const override {
    if (system.answers.empty()) return;
    const auto answer =
        newest ? system.answers.back() : system.answers[pick % system.answers.size()];
    system.table.Take(answer, system.At());
    system.Follow();
    system.Advance();
  }
};

struct Give : LeaseCommand {
  std::uint32_t index = *rc::gen::inRange(0U, kShardCount);

  void run(const Nothing& /*model*/, System& system) const override {
    auto& shard = system.log[index];
    if (shard.holding != Holding::kNobody) return;
    shard = {shard.epoch + 1, Holding::kHeld};
    system.table.Grant(kServer, GrantOf(index, shard.epoch), system.At());
    system.Advance();
  }
};

struct TakeBack : LeaseCommand {
  std::uint32_t index = *rc::gen::inRange(0U, kShardCount);

  void run(const Nothing& /*model*/, System& system) const override {
    auto& shard = system.log[index];
    if (shard.holding != Holding::kHeld || system.table.IsUnleased(kServer)) return;
    shard.holding = Holding::kLeaving;
    system.table.Revoke(kServer, GrantOf(index, shard.epoch), system.At());
    system.Advance();
  }
};

struct Restart : LeaseCommand {
  void run(const Nothing& /*model*/, System& system) const override {
    const Incarnation next{system.owners.size() + 1};
    system.owners.emplace_back(kServer, next);
  }
};

/// One exchange with the living incarnation, nothing lost: lets runs reach deep states.
struct Exchange : LeaseCommand {
  void run(const Nothing& /*model*/, System& system) const override {
    if (system.requests.empty()) return;
    const auto answer = system.owners.back().Take(system.requests.back(), system.ServerAt());
    system.answers.push_back(answer);
    system.table.Take(answer, system.At());
    system.Follow();
    system.Advance();
  }
};

/// More cases than the default, for the interesting runs are long.
[[maybe_unused]] const int kParametersFixed =
    setenv("RC_PARAMS", "seed=20241202 max_success=1500 max_size=200", 0);

}  // namespace

Test(lease_table_model, no_shard_is_given_away_while_any_incarnation_may_still_run_it) {
  cr_assert(rc::check([] {
    Nothing model;
    System system(*rc::gen::element(0.9995, 1.0, 1.0005));
    rc::state::check(
        model, system,
        rc::state::gen::execOneOfWithArgs<PassTime, PassTime, Exchange, Exchange, DeliverRequest,
                                          DeliverAnswer, Give, TakeBack, Restart>());
  }));
}
