/// @file
/// Runs random commands on the shard table and on a map that is too simple to be wrong.

#include <criterion/criterion.h>
#include <rapidcheck.h>
#include <rapidcheck/state.h>

#include <map>

#include "src/placement/shard_table.h"
#include "tests/support/fixed_seed.h"

using graniteseam::Epoch;
using graniteseam::ServerId;
using graniteseam::ServiceName;
using graniteseam::ShardId;
using graniteseam::placement::OwnershipState;
using graniteseam::placement::ShardOwnership;
using graniteseam::placement::ShardTable;

namespace {

constexpr std::uint32_t kShardCount = 7;
const ServiceName kService{"transcripts"};

struct ModelShard {
  std::string owner;
  std::string target;
  std::uint64_t epoch = 0;
  std::uint64_t changed_at = 1;
};

struct Model {
  std::map<std::uint32_t, ModelShard> shards;
  std::uint64_t version = 1;
};

using TableCommand = rc::state::Command<Model, ShardTable>;

ServerId AnyServer() { return {"server-" + std::to_string(*rc::gen::inRange(1, 5))}; }

void CheckEqual(const Model& model, const ShardTable& table) {
  std::map<std::string, std::size_t> owned;
  std::map<std::string, std::size_t> planned;
  std::size_t moving = 0;
  std::map<std::uint64_t, std::size_t> changed;
  for (const auto& [index, expected] : model.shards) {
    const auto shard = table.Find({kService, index});
    RC_ASSERT(shard.has_value());
    RC_ASSERT(shard->owner.value == expected.owner);
    RC_ASSERT(shard->target.value == expected.target);
    RC_ASSERT(shard->epoch.value == expected.epoch);
    RC_ASSERT((shard->state == OwnershipState::kUnassigned) == expected.owner.empty());
    RC_ASSERT((shard->state == OwnershipState::kMoving) == !expected.target.empty());
    ++owned[expected.owner];
    ++planned[expected.target.empty() ? expected.owner : expected.target];
    if (!expected.target.empty()) ++moving;
    for (std::uint64_t version = 0; version < expected.changed_at; ++version) ++changed[version];
  }
  for (int number = 1; number < 5; ++number) {
    const ServerId server{"server-" + std::to_string(number)};
    RC_ASSERT(table.OwnedBy(server).size() == owned[server.value]);
    RC_ASSERT(table.OwnedCount(server) == owned[server.value]);
    RC_ASSERT(table.PlannedCount(server) == planned[server.value]);
  }
  RC_ASSERT(table.Unassigned().size() == owned[""]);
  RC_ASSERT(table.Moving().size() == moving);
  for (std::uint64_t version = 0; version <= model.version; ++version) {
    RC_ASSERT(table.ChangesSince(version).size() == changed[version]);
  }
}

struct Assign : TableCommand {
  std::uint32_t index = *rc::gen::inRange(0U, kShardCount);
  std::uint64_t epoch = *rc::gen::inRange(0, 4);
  ServerId server = AnyServer();

  void apply(Model& model) const override {
    auto& shard = model.shards[index];
    ++model.version;
    if (shard.epoch != epoch) return;
    shard = {server.value, "", epoch + 1, model.version};
  }
  void run(const Model& before, ShardTable& table) const override {
    const bool expected = before.shards.at(index).epoch == epoch;
    RC_ASSERT(table.Assign({{kService, index}, Epoch{epoch}, server}, before.version + 1) ==
              expected);
    CheckEqual(nextState(before), table);
  }
};

struct BeginMove : TableCommand {
  std::uint32_t index = *rc::gen::inRange(0U, kShardCount);
  std::uint64_t epoch = *rc::gen::inRange(0, 4);
  ServerId target = AnyServer();

  void apply(Model& model) const override {
    auto& shard = model.shards[index];
    ++model.version;
    if (shard.epoch != epoch || shard.owner.empty() || shard.owner == target.value) return;
    shard.target = target.value;
    shard.changed_at = model.version;
  }
  void run(const Model& before, ShardTable& table) const override {
    table.BeginMove({{kService, index}, Epoch{epoch}, target}, before.version + 1);
    CheckEqual(nextState(before), table);
  }
};

struct UnassignAll : TableCommand {
  ServerId server = AnyServer();

  void apply(Model& model) const override {
    ++model.version;
    for (auto& [index, shard] : model.shards) {
      if (shard.owner == server.value) shard = {"", "", shard.epoch, model.version};
    }
  }
  void run(const Model& before, ShardTable& table) const override {
    table.UnassignAll(server, before.version + 1);
    CheckEqual(nextState(before), table);
  }
};

struct SaveAndRestore : TableCommand {
  void run(const Model& before, ShardTable& table) const override {
    const auto state = table.State();
    ShardTable restored;
    RC_ASSERT(static_cast<bool>(restored.Restore(state)));
    RC_ASSERT(restored.version() == table.version());
    RC_ASSERT(restored.moves() == table.moves());
    RC_ASSERT(restored.All() == table.All());
    table = std::move(restored);
    CheckEqual(before, table);
  }
};

}  // namespace

Test(shard_table_model, random_commands_keep_table_and_model_equal) {
  cr_assert(rc::check([] {
    Model model;
    ShardTable table;
    RC_ASSERT(static_cast<bool>(table.AddService(kService, kShardCount, 1)));
    for (std::uint32_t index = 0; index < kShardCount; ++index) model.shards[index] = {};
    rc::state::check(model, table,
                     rc::state::gen::execOneOfWithArgs<Assign, Assign, BeginMove, UnassignAll,
                                                       SaveAndRestore>());
  }));
}
