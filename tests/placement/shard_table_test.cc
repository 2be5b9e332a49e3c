#include "src/placement/shard_table.h"

#include <criterion/criterion.h>

using graniteseam::Attempt;
using graniteseam::Epoch;
using graniteseam::ErrorKind;
using graniteseam::ErrorOf;
using graniteseam::ServerId;
using graniteseam::ServiceName;
using graniteseam::ShardId;
using graniteseam::placement::OwnershipState;
using graniteseam::placement::ShardTable;

namespace {

const ServiceName kService{"transcripts"};
const ServerId kFirst{"transcripts-1"};
const ServerId kSecond{"transcripts-2"};

ShardId Shard(std::uint32_t index) { return {kService, index}; }

ShardTable TableOf(std::uint32_t shard_count) {
  ShardTable table;
  const auto added = Attempt([&] { return table.AddService(kService, shard_count, 1); });
  cr_assert(ErrorOf(added) == nullptr);
  return table;
}

}  // namespace

Test(shard_table, new_service_has_unassigned_shards) {
  const auto table = TableOf(3);
  cr_assert(table.Unassigned().size() == 3);
  cr_assert(table.Find(Shard(2))->epoch == Epoch{0});
  cr_assert_not(table.Find(Shard(3)));
  cr_assert(table.ChangesSince(0).size() == 3);
}

Test(shard_table, shard_count_is_fixed) {
  auto table = TableOf(3);
  const auto same = Attempt([&] { return table.AddService(kService, 3, 2); });
  cr_assert(ErrorOf(same) == nullptr);
  cr_assert(table.version() == 1);
  const auto other = Attempt([&] { return table.AddService(kService, 4, 2); });
  cr_assert(ErrorOf(other) != nullptr);
  cr_assert(ErrorOf(other)->kind == ErrorKind::kFailedPrecondition);
}

Test(shard_table, of_two_assignments_from_one_epoch_one_wins) {
  auto table = TableOf(1);
  cr_assert(table.Assign({Shard(0), Epoch{0}, kFirst}, 2));
  cr_assert_not(table.Assign({Shard(0), Epoch{0}, kSecond}, 3));
  cr_assert(table.Find(Shard(0))->owner == kFirst);
  cr_assert(table.Find(Shard(0))->epoch == Epoch{1});
  cr_assert(table.version() == 2);
}

Test(shard_table, move_keeps_the_owner_until_the_assignment) {
  auto table = TableOf(1);
  table.Assign({Shard(0), Epoch{0}, kFirst}, 2);
  cr_assert(table.BeginMove({Shard(0), Epoch{1}, kSecond}, 3));
  auto shard = *table.Find(Shard(0));
  cr_assert(shard.state == OwnershipState::kMoving);
  cr_assert(shard.owner == kFirst);
  cr_assert(shard.target == kSecond);
  cr_assert(table.PlannedCount(kFirst) == 0);
  cr_assert(table.PlannedCount(kSecond) == 1);
  cr_assert(table.Assign({Shard(0), Epoch{1}, kSecond}, 4));
  shard = *table.Find(Shard(0));
  cr_assert(shard.state == OwnershipState::kAssigned);
  cr_assert(shard.owner == kSecond);
  cr_assert(shard.epoch == Epoch{2});
  cr_assert(table.moves() == 1);
  cr_assert(table.Moving().empty());
}

Test(shard_table, move_of_another_epoch_or_to_the_owner_has_no_effect) {
  auto table = TableOf(1);
  cr_assert_not(table.BeginMove({Shard(0), Epoch{0}, kSecond}, 2));
  table.Assign({Shard(0), Epoch{0}, kFirst}, 2);
  cr_assert_not(table.BeginMove({Shard(0), Epoch{2}, kSecond}, 3));
  cr_assert_not(table.BeginMove({Shard(0), Epoch{1}, kFirst}, 3));
  cr_assert(table.version() == 2);
}

Test(shard_table, orphaned_shards_keep_their_epoch) {
  auto table = TableOf(2);
  table.Assign({Shard(0), Epoch{0}, kFirst}, 2);
  table.Assign({Shard(1), Epoch{0}, kFirst}, 2);
  table.BeginMove({Shard(1), Epoch{1}, kSecond}, 3);
  table.UnassignAll(kFirst, 4);
  cr_assert(table.OwnedCount(kFirst) == 0);
  cr_assert(table.PlannedCount(kSecond) == 0);
  cr_assert(table.Unassigned().size() == 2);
  cr_assert(table.Find(Shard(1))->epoch == Epoch{1});
  cr_assert(table.Assign({Shard(1), Epoch{1}, kFirst}, 5));
  cr_assert(table.moves() == 0);
}

Test(shard_table, changes_name_each_shard_once) {
  auto table = TableOf(4);
  table.Assign({Shard(0), Epoch{0}, kFirst}, 2);
  table.Assign({Shard(1), Epoch{0}, kFirst}, 3);
  table.Assign({Shard(0), Epoch{1}, kSecond}, 4);
  const auto changes = table.ChangesSince(1);
  cr_assert(changes.size() == 2);
  cr_assert(changes[0].shard == Shard(0));
  cr_assert(changes[1].shard == Shard(1));
  cr_assert(table.ChangesSince(3).size() == 1);
  cr_assert(table.ChangesSince(4).empty());
}

Test(shard_table, state_with_an_unknown_owner_is_refused) {
  auto state = TableOf(1).State();
  state.services[0].shards[0].owner = 9;
  ShardTable table;
  const auto restored = Attempt([&] { return table.Restore(state); });
  cr_assert(ErrorOf(restored) != nullptr);
  cr_assert(ErrorOf(restored)->kind == ErrorKind::kMalformedMessage);
}
