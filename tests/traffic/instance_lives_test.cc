/// @file
/// Servers that start again under the name that they had: each start is a life of its own.

#include <criterion/criterion.h>

#include "src/traffic/instance_table.h"

using namespace graniteseam;
using namespace graniteseam::traffic;

namespace {

const std::string kHome = "10.0.0.1:80";
const std::string kElsewhere = "10.0.0.2:80";

InstanceReport Beat(std::int64_t born_ms, std::int64_t sequence,
                    const std::string& address = kHome) {
  InstanceReport report;
  report.id = MakeInstanceId("i-1", born_ms);
  report.service = {"s"};
  report.address = address;
  report.sequence = sequence;
  return report;
}

InstanceState StateOf(const InstanceTable& table, std::int64_t born_ms) {
  return table.Find(MakeInstanceId("i-1", born_ms))->state;
}

}  // namespace

Test(instance_lives, id_names_the_server_and_its_start) {
  const InstanceId life = MakeInstanceId("i-1", 1'796'245'000'000);
  cr_assert(ServerNameOf(life) == "i-1");
  cr_assert(StartTimeMsOf(life) == 1'796'245'000'000);
  const InstanceId only = MakeInstanceId("i-1", 0);
  cr_assert(only.value == "i-1" && ServerNameOf(only) == "i-1" && StartTimeMsOf(only) == 0);
}

Test(instance_lives, server_that_starts_again_is_heard_though_its_sequence_starts_anew) {
  InstanceTable table;
  table.Report(Beat(100, 40), 1);
  cr_assert(table.WouldChange(Beat(200, 1)));
  const auto changed = table.Report(Beat(200, 1), 2);
  cr_assert(changed.size() == 2);
  cr_assert(StateOf(table, 100) == InstanceState::kDisplaced);
  cr_assert(StateOf(table, 200) == InstanceState::kReady);
  cr_assert(table.FindByAddress(kHome)->report.id == MakeInstanceId("i-1", 200));
}

Test(instance_lives, earlier_life_ends_also_at_another_address) {
  InstanceTable table;
  table.Report(Beat(100, 40), 1);
  table.Report(Beat(200, 1, kElsewhere), 2);
  cr_assert(StateOf(table, 100) == InstanceState::kDisplaced);
  cr_assert(table.FindByAddress(kHome) == nullptr);
  cr_assert(table.FindByAddress(kElsewhere)->report.id == MakeInstanceId("i-1", 200));
}

Test(instance_lives, late_heartbeat_of_an_earlier_life_changes_nothing_of_the_later_one) {
  InstanceTable table;
  table.Report(Beat(100, 40), 1);
  table.Report(Beat(200, 1), 2);
  InstanceReport drains = Beat(100, 41);
  drains.draining = true;
  table.Report(drains, 3);
  cr_assert(StateOf(table, 100) == InstanceState::kDisplaced);
  cr_assert(StateOf(table, 200) == InstanceState::kReady);
  // Also of one that was never heard of before.
  table.Report(Beat(50, 7, kElsewhere), 4);
  cr_assert(StateOf(table, 50) == InstanceState::kDisplaced);
  cr_assert(table.FindByAddress(kElsewhere) == nullptr);
  cr_assert(StateOf(table, 200) == InstanceState::kReady);
}

Test(instance_lives, server_that_drained_or_left_takes_work_again_after_a_new_start) {
  InstanceTable table;
  InstanceReport drains = Beat(100, 40);
  drains.draining = true;
  table.Report(drains, 1);
  table.Report(Beat(200, 1), 2);
  cr_assert(StateOf(table, 200) == InstanceState::kReady);
  cr_assert(table.Deregister({"i-1"}, 3), "a server leaves by its name");
  cr_assert(StateOf(table, 200) == InstanceState::kDeregistered);
  cr_assert(!table.WouldChange(Beat(200, 2)));
  table.Report(Beat(300, 1), 4);
  cr_assert(StateOf(table, 300) == InstanceState::kReady);
}

Test(instance_lives, first_heartbeat_of_a_server_that_left_before_it_was_heard_does_not_bring_it) {
  InstanceTable table;
  cr_assert(table.Deregister({"i-1"}, 1));
  table.Report(Beat(100, 1), 2);
  cr_assert(StateOf(table, 100) == InstanceState::kDeregistered);
  cr_assert(table.FindByAddress(kHome) == nullptr);
  table.Report(Beat(200, 1), 3);
  cr_assert(StateOf(table, 200) == InstanceState::kReady);
}

Test(instance_lives, snapshot_keeps_which_life_is_the_newest) {
  InstanceTable table;
  table.Report(Beat(100, 40), 1);
  table.Report(Beat(200, 1), 2);
  InstanceTable restored;
  restored.Restore(table.Image());
  cr_assert(restored.instances() == table.instances());
  cr_assert(restored.NewestIncarnation({"i-1"})->report.id == MakeInstanceId("i-1", 200));
  restored.Report(Beat(50, 9), 3);
  cr_assert(StateOf(restored, 200) == InstanceState::kReady);
}
