#include "src/traffic/key_range_table.h"

#include <criterion/criterion.h>

#include <random>

using namespace graniteseam;
using namespace graniteseam::traffic;

namespace {

const ServiceName kService{"s"};

/// Whether the ranges cover all keys without overlap.
bool Whole(const KeyRangeTable& table) {
  std::uint32_t next = 0;
  for (const auto& [first, range] : table.services().at(kService)) {
    if (first != next || range.span.first != first || range.span.last < first) return false;
    next = range.span.last + 1;
  }
  return next == kLastKey + 1;
}

}  // namespace

Test(key_range_table, parts_of_a_range_change_owner_under_a_higher_fence) {
  KeyRangeTable table;
  table.AddService(kService, 1);
  cr_assert(table.Assign({kService, {0, kLastKey}, {0}, {"i-1"}, ""}, 2));
  cr_assert(table.Confirm({kService, {0, kLastKey}, {2}}, 3));
  cr_assert(table.BeginRelease({kService, {100, 199}, {2}, {"i-2"}}, 4));
  cr_assert(Whole(table));
  cr_assert(table.Find(kService, 150)->phase == RangePhase::kReleasing);
  cr_assert(table.Find(kService, 150)->fence.value == 4);
  cr_assert(table.Find(kService, 200)->phase == RangePhase::kServing);
  cr_assert(table.Find(kService, 200)->fence.value == 2);
  cr_assert(table.Assign({kService, {100, 199}, {4}, {"i-2"}, "token"}, 5));
  cr_assert(table.Find(kService, 150)->owner.value == "i-2");
  cr_assert(table.Find(kService, 150)->fence.value == 5);
  cr_assert(table.Find(kService, 150)->handover == "token");
}

Test(key_range_table, decision_on_an_older_state_has_no_effect) {
  KeyRangeTable table;
  table.AddService(kService, 1);
  cr_assert(table.Assign({kService, {0, kLastKey}, {0}, {"i-1"}, ""}, 2));
  cr_assert(!table.Assign({kService, {0, kLastKey}, {0}, {"i-2"}, ""}, 3));
  cr_assert(!table.Confirm({kService, {0, kLastKey}, {1}}, 4));
  cr_assert(!table.BeginRelease({kService, {0, 10}, {1}, {}}, 5));
  cr_assert(table.Find(kService, 0)->owner.value == "i-1");
}

Test(key_range_table, random_changes_keep_ranges_whole_and_fences_rising) {
  std::mt19937 random(7);
  KeyRangeTable table;
  table.AddService(kService, 1);
  for (std::uint64_t index = 2; index < 3'000; ++index) {
    const std::uint32_t key = random() % (kLastKey + 1);
    const KeyRange range = *table.Find(kService, key);
    std::uint32_t first = range.span.first + random() % range.span.size();
    std::uint32_t last = first + random() % (range.span.last - first + 1);
    const InstanceId owner{"i-" + std::to_string(random() % 5)};
    switch (random() % 3) {
      case 0:
        table.Assign({kService, {first, last}, range.fence, owner, ""}, index);
        break;
      case 1:
        table.BeginRelease({kService, {first, last}, range.fence, owner}, index);
        break;
      default:
        table.Confirm({kService, {first, last}, range.fence}, index);
    }
    cr_assert(Whole(table));
    const KeyRange* after = table.Find(kService, first);
    cr_assert(after->fence >= range.fence);
    cr_assert(after->owner == range.owner || after->fence > range.fence);
  }
  KeyRangeTable restored;
  restored.Restore(table.Image());
  cr_assert(restored.services() == table.services());
}
