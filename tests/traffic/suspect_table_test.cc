// What the group remembers of requests under which instances ended.
#include "src/traffic/suspect_table.h"

#include <criterion/criterion.h>

#include "src/traffic/traffic_state.h"

using namespace graniteseam;
using namespace graniteseam::traffic;

Test(suspect_table, is_bounded_and_forgets_what_changed_longest_ago) {
  SuspectTable table;
  constexpr std::uint64_t kMany = 1'000;
  for (std::uint64_t number = 1; number <= kMany; ++number) {
    table.Record({{{number}, {{"i-1"}, {"i-2"}}, 0}}, number);
  }
  cr_assert_eq(table.suspects().size(), 256);
  cr_assert_null(table.Find({kMany - 256}));
  cr_assert_not_null(table.Find({kMany}));
}

Test(suspect_table, routers_are_told_the_whole_at_first_and_whenever_it_changed) {
  TrafficState state;
  cr_assert(state.UpdateSince(0).suspects.has_value());
  state.RecordSuspects({{{7}, {{"i-1"}, {"i-2"}, {"i-3"}}, 0}}, 5);
  cr_assert_eq(state.version(), 5);
  cr_assert_eq(state.urgent_version(), 5);
  cr_assert(state.UpdateSince(4).suspects->front().Quarantined());
  cr_assert(!state.UpdateSince(5).suspects.has_value());
  state.ClearSuspects({{7}}, 6);
  cr_assert(state.UpdateSince(5).suspects->empty());
}

/// Where dozens of servers end each second, hundreds of requests that only shared them become
/// suspects. Those that are quarantined must not be let through again for it.
Test(suspect_table, suspects_that_come_and_go_do_not_push_out_quarantined_ones) {
  SuspectTable table;
  table.Record({{{7}, {{"i-1"}, {"i-2"}, {"i-3"}}, 0}}, 1);
  constexpr std::uint64_t kMany = 1'000;
  for (std::uint64_t number = 100; number <= 100 + kMany; ++number) {
    table.Record({{{number}, {{"i-1"}, {"i-2"}}, 0}}, number);
  }
  cr_assert_not_null(table.Find({7}));
  cr_assert(table.Find({7})->Quarantined());
  cr_assert_eq(table.suspects().size(), 256);
}

Test(suspect_table, of_quarantined_ones_alone_the_oldest_is_forgotten) {
  SuspectTable table;
  for (std::uint64_t number = 1; number <= 300; ++number) {
    table.Record({{{number}, {{"i-1"}, {"i-2"}, {"i-3"}}, 0}}, number);
  }
  cr_assert_eq(table.suspects().size(), 256);
  cr_assert_null(table.Find({44}));
  cr_assert_not_null(table.Find({45}));
}
