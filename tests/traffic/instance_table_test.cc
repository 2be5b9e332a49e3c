#include "src/traffic/instance_table.h"

#include <criterion/criterion.h>

using namespace graniteseam;
using namespace graniteseam::traffic;

namespace {

InstanceReport Beat(const std::string& id, const std::string& address, std::int64_t sequence,
                    bool draining = false) {
  InstanceReport report;
  report.id = {id};
  report.service = {"s"};
  report.address = address;
  report.sequence = sequence;
  report.draining = draining;
  return report;
}

InstanceState StateOf(const InstanceTable& table, const std::string& id) {
  return table.Find({id})->state;
}

}  // namespace

Test(instance_table, heartbeat_that_arrives_late_does_not_undo_draining) {
  InstanceTable table;
  table.Report(Beat("i-1", "10.0.0.1:80", 4), 1);
  table.Report(Beat("i-1", "10.0.0.1:80", 6, true), 2);
  cr_assert(!table.WouldChange(Beat("i-1", "10.0.0.1:80", 5)));
  table.Report(Beat("i-1", "10.0.0.1:80", 5), 3);
  cr_assert(StateOf(table, "i-1") == InstanceState::kDraining);
  table.Report(Beat("i-1", "10.0.0.1:80", 7), 4);
  cr_assert(StateOf(table, "i-1") == InstanceState::kDraining);
}

Test(instance_table, deregistered_instance_never_comes_back) {
  InstanceTable table;
  table.Report(Beat("i-1", "10.0.0.1:80", 4), 1);
  cr_assert(table.Deregister({"i-1"}, 2));
  cr_assert(!table.Deregister({"i-1"}, 3));
  cr_assert(!table.WouldChange(Beat("i-1", "10.0.0.1:80", 9)));
  // One that was never seen leaves a tombstone too: its first heartbeat may still be on its way.
  cr_assert(table.Deregister({"i-2"}, 4));
  cr_assert(!table.WouldChange(Beat("i-2", "10.0.0.2:80", 1)));
}

Test(instance_table, instance_that_reports_from_an_address_displaces_its_former_holder) {
  InstanceTable table;
  table.Report(Beat("i-1", "10.0.0.1:80", 4), 1);
  const auto changed = table.Report(Beat("i-2", "10.0.0.1:80", 1), 2);
  cr_assert(changed.size() == 2);
  cr_assert(StateOf(table, "i-1") == InstanceState::kDisplaced);
  cr_assert(StateOf(table, "i-2") == InstanceState::kReady);
  // A late heartbeat of the former holder changes nothing; its sequence is not new.
  cr_assert(!table.WouldChange(Beat("i-1", "10.0.0.1:80", 4)));
}

Test(instance_table, late_heartbeat_of_a_displaced_instance_does_not_displace_its_successor) {
  InstanceTable table;
  table.Report(Beat("i-1", "10.0.0.1:80", 1), 1);
  // Its heartbeats 2 to 9 tell nothing new and are not kept; the last one is on its way for long.
  table.Report(Beat("i-2", "10.0.0.1:80", 1), 2);
  cr_assert(!table.WouldChange(Beat("i-1", "10.0.0.1:80", 9)));
  table.Report(Beat("i-1", "10.0.0.1:80", 9), 3);
  cr_assert(StateOf(table, "i-1") == InstanceState::kDisplaced);
  cr_assert(StateOf(table, "i-2") == InstanceState::kReady);
}

Test(instance_table, displaced_instance_comes_back_to_an_address_that_nobody_holds) {
  InstanceTable table;
  table.Report(Beat("i-1", "10.0.0.1:80", 1), 1);
  table.Report(Beat("i-2", "10.0.0.1:80", 1), 2);
  table.Deregister({"i-2"}, 3);
  // Its heartbeats may be late, and ask for nothing: whoever knows that it lives proposes it.
  cr_assert(!table.WouldChange(Beat("i-1", "10.0.0.1:80", 9)));
  table.Report(Beat("i-1", "10.0.0.1:80", 9), 4);
  cr_assert(StateOf(table, "i-1") == InstanceState::kReady);
  cr_assert(table.FindByAddress("10.0.0.1:80")->report.id.value == "i-1");
}

Test(instance_table, draining_instance_that_was_displaced_drains_still) {
  InstanceTable table;
  table.Report(Beat("i-1", "10.0.0.1:80", 4), 1);
  table.Report(Beat("i-1", "10.0.0.1:80", 6, true), 2);
  table.Report(Beat("i-2", "10.0.0.1:80", 1), 3);
  table.Deregister({"i-2"}, 4);
  table.Report(Beat("i-1", "10.0.0.1:80", 7), 5);
  cr_assert(StateOf(table, "i-1") == InstanceState::kDraining);
}

Test(instance_table, drain_of_a_displaced_instance_is_kept) {
  InstanceTable table;
  table.Report(Beat("i-1", "10.0.0.1:80", 9), 1);
  table.Report(Beat("i-0", "10.0.0.1:80", 1), 2);
  cr_assert(table.WouldChange(Beat("i-1", "10.0.0.1:80", 11, true)));
  table.Report(Beat("i-1", "10.0.0.1:80", 11, true), 3);
  cr_assert(StateOf(table, "i-1") == InstanceState::kDisplaced);
  cr_assert(table.FindByAddress("10.0.0.1:80")->report.id.value == "i-0");
  table.Deregister({"i-0"}, 4);
  table.Report(Beat("i-1", "10.0.0.1:80", 12), 5);
  cr_assert(StateOf(table, "i-1") == InstanceState::kDraining);
}

Test(instance_table, instance_that_moved_is_not_displaced_from_its_former_address) {
  InstanceTable table;
  table.Report(Beat("i-1", "10.0.0.1:80", 1), 1);
  table.Report(Beat("i-1", "10.0.0.2:80", 2), 2);
  table.Report(Beat("i-2", "10.0.0.1:80", 1), 3);
  cr_assert(StateOf(table, "i-1") == InstanceState::kReady);
  cr_assert(StateOf(table, "i-2") == InstanceState::kReady);
}

Test(instance_table, heartbeat_that_tells_nothing_new_need_not_be_committed) {
  InstanceTable table;
  InstanceReport first = Beat("i-1", "10.0.0.1:80", 1);
  first.warmup_left_ms = 3'000;
  table.Report(first, 1);
  InstanceReport next = Beat("i-1", "10.0.0.1:80", 2);
  next.warmup_left_ms = 1'700;
  cr_assert(!table.WouldChange(next));
  next.slots = 5;
  cr_assert(table.WouldChange(next));
}

Test(instance_table, update_holds_what_changed_and_the_whole_leaves_out_what_is_gone) {
  InstanceTable table;
  table.Report(Beat("i-1", "10.0.0.1:80", 1), 1);
  table.Report(Beat("i-2", "10.0.0.2:80", 1), 2);
  table.Deregister({"i-1"}, 3);
  std::vector<Instance> changed;
  table.AddChanges(2, changed);
  cr_assert(changed.size() == 1 && changed[0].IsGone());
  std::vector<Instance> whole;
  table.AddChanges(0, whole);
  cr_assert(whole.size() == 1 && whole[0].report.id.value == "i-2");
  InstanceTable restored;
  restored.Restore(table.Image());
  cr_assert(restored.instances() == table.instances());
  cr_assert(restored.changed_at() == 3);
}
