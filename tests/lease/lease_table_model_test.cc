/// @file
/// Runs random commands on a lease table, one server with a drifting clock, and a network that
/// loses, delays, repeats and reorders; checks them against a model of what was given to whom.

#include <criterion/criterion.h>
#include <rapidcheck.h>
#include <rapidcheck/state.h>

#include <algorithm>
#include <map>

#include "graniteseam/lease/fenced_owner.h"
#include "graniteseam/lease/lease_table.h"
#include "tests/support/fixed_seed.h"

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

struct ModelShard {
  std::uint64_t epoch = 0;
  Holding holding = Holding::kNobody;
};

/// What the log would say. The server is admitted at one incarnation at a time.
struct Model {
  std::map<std::uint32_t, ModelShard> shards;
};

/// The real parts. The model of the log is copied in, for the table's source of whole sets.
struct System {
  Model log;
  std::int64_t now = 0;
  double clock_rate = 1.0;
  std::uint64_t incarnation = 1;
  LeaseTable table{LeaseTableOptions{}, Term{2}, 0, [this](const ServerId&) { return Set(); }};
  std::vector<FencedOwner> owners;  ///< Every incarnation, also those that should be dead.
  std::vector<LeaseRequest> requests;
  std::vector<LeaseAnswer> answers;

  explicit System(double rate) : clock_rate(rate) {
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
    for (const auto& [index, shard] : log.shards) {
      if (shard.holding == Holding::kHeld) set.grants.push_back(GrantOf(index, shard.epoch));
      if (shard.holding == Holding::kLeaving) {
        set.revocations.push_back(GrantOf(index, shard.epoch));
      }
    }
    return set;
  }
  bool AnyLease() const {
    return std::any_of(owners.begin(), owners.end(),
                       [&](const FencedOwner& owner) { return owner.LeaseValid(ServerAt()); });
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
};

using LeaseCommand = rc::state::Command<Model, System>;

/// What must hold after each command.
void Check(const Model& model, System& system) {
  if (system.table.expired().contains(kServer)) RC_ASSERT_FALSE(system.AnyLease());
  if (system.table.Remaining(kServer, system.At()) == Duration::zero()) {
    RC_ASSERT_FALSE(system.AnyLease());
  }
  for (const auto& [index, shard] : model.shards) {
    if (shard.holding == Holding::kNobody) RC_ASSERT_FALSE(system.MayRun(index));
  }
  for (const auto& release : system.table.TakeReleases()) {
    RC_ASSERT_FALSE(system.MayRun(release.grant.shard.index));
  }
}

struct PassTime : LeaseCommand {
  std::int64_t length = *rc::gen::inRange<std::int64_t>(1, kLease / 2);

  void run(const Model& before, System& system) const override {
    system.now += length;
    for (auto& request : system.table.Advance(system.At())) {
      system.requests.push_back(std::move(request));
    }
    Check(before, system);
  }
};

/// Delivers any message sent so far, maybe not for the first time, to any incarnation.
struct DeliverRequest : LeaseCommand {
  std::size_t pick = *rc::gen::inRange<std::size_t>(0, 1'000);
  bool newest = *rc::gen::weightedElement<bool>({{4, true}, {1, false}});

  void run(const Model& before, System& system) const override {
    if (system.requests.empty()) return;
    const auto& request =
        newest ? system.requests.back() : system.requests[pick % system.requests.size()];
    FencedOwner& owner = newest ? system.owners.back() : system.owners[pick % system.owners.size()];
    system.answers.push_back(owner.Take(request, system.ServerAt()));
    Check(before, system);
  }
};

struct DeliverAnswer : LeaseCommand {
  std::size_t pick = *rc::gen::inRange<std::size_t>(0, 1'000);
  bool newest = *rc::gen::weightedElement<bool>({{4, true}, {1, false}});

  void run(const Model& before, System& system) const override {
    if (system.answers.empty()) return;
    const auto answer =
        newest ? system.answers.back() : system.answers[pick % system.answers.size()];
    system.table.Take(answer, system.At());
    for (const auto& appearance : system.table.TakeAppearances()) {
      const bool replaces = system.table.Remaining(kServer, system.At()) > Duration::zero() ||
                            system.table.expired().contains(kServer);
      if (!replaces) system.table.Admit(kServer, appearance.incarnation, system.At());
    }
    Check(before, system);
  }
};

struct Give : LeaseCommand {
  std::uint32_t index = *rc::gen::inRange(0U, kShardCount);

  void checkPreconditions(const Model& model) const override {
    RC_PRE(model.shards.at(index).holding == Holding::kNobody);
  }
  void apply(Model& model) const override {
    auto& shard = model.shards[index];
    shard = {shard.epoch + 1, Holding::kHeld};
  }
  void run(const Model& before, System& system) const override {
    system.log = nextState(before);
    system.table.Grant(kServer, GrantOf(index, system.log.shards[index].epoch), system.At());
    Check(system.log, system);
  }
};

struct TakeBack : LeaseCommand {
  std::uint32_t index = *rc::gen::inRange(0U, kShardCount);

  void checkPreconditions(const Model& model) const override {
    RC_PRE(model.shards.at(index).holding == Holding::kHeld);
  }
  void apply(Model& model) const override { model.shards[index].holding = Holding::kLeaving; }
  void run(const Model& before, System& system) const override {
    system.log = nextState(before);
    system.table.Revoke(kServer, GrantOf(index, before.shards.at(index).epoch), system.At());
    Check(system.log, system);
  }
};

/// Ends an expired session as the log does: its shards belong to nobody here any more.
struct Dismiss : LeaseCommand {
  void apply(Model& /*model*/) const override {}
  void run(const Model& before, System& system) const override {
    if (!system.table.expired().contains(kServer)) return;
    system.table.Dismiss(kServer, system.At());
    Check(before, system);
  }
};

struct Restart : LeaseCommand {
  void run(const Model& before, System& system) const override {
    system.owners.emplace_back(kServer, Incarnation{++system.incarnation});
    Check(before, system);
  }
};

}  // namespace

Test(lease_table_model, random_commands_never_leave_a_lease_that_the_table_takes_for_over) {
  cr_assert(rc::check([] {
    Model model;
    for (std::uint32_t index = 0; index < kShardCount; ++index) model.shards[index] = {};
    System system(*rc::gen::element(0.9995, 1.0, 1.0005));
    system.log = model;
    rc::state::check(
        model, system,
        rc::state::gen::execOneOfWithArgs<PassTime, DeliverRequest, DeliverRequest, DeliverAnswer,
                                          DeliverAnswer, Give, TakeBack, Dismiss, Restart>());
  }));
}
