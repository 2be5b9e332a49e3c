#include "graniteseam/placement/placement_planner.h"

#include <criterion/criterion.h>

#include "tests/placement/placement_samples.h"

using graniteseam::Duration;
using graniteseam::Instant;
using graniteseam::InstantFromMicros;
using graniteseam::placement::MoveReluctance;
using graniteseam::placement::PlacementInput;
using graniteseam::placement::PlacementPlan;
using graniteseam::placement::PlacementPlanner;
using graniteseam::test::InputOf;

namespace {

constexpr Instant kNow = InstantFromMicros(100'000'000);

PlacementPlan PlanOnce(const PlacementInput& input) {
  PlacementPlanner planner;
  return planner.Plan(input, kNow);
}

}  // namespace

Test(placement_planner, moves_nothing_while_servers_are_balanced) {
  const auto plan = PlanOnce(InputOf({{10, 10, 10}, {10, 10, 11}, {9, 10, 10}}));
  cr_assert(plan.moves.empty());
  cr_assert(plan.imbalance_before == plan.imbalance_after);
}

Test(placement_planner, brings_an_overloaded_server_down_with_one_move) {
  const auto plan = PlanOnce(InputOf({{8, 12, 10, 10}, {10, 10}, {10, 10, 10}}));
  cr_assert(plan.moves.size() == 1);
  cr_assert(plan.moves[0].from.value == "server-0" && plan.moves[0].to.value == "server-1");
  cr_assert(plan.imbalance_after < 1.08);
}

Test(placement_planner, leaves_imbalance_within_noise_alone) {
  PlacementInput input = InputOf({{5, 5, 5, 5, 5, 5}, {10, 10}, {10, 10}});
  for (auto& shard : input.shards) shard.deviation = 3;
  cr_assert(PlanOnce(input).moves.empty());
  for (auto& shard : input.shards) shard.deviation = 0.1;
  cr_assert(!PlanOnce(input).moves.empty());
}

Test(placement_planner, leaves_a_nearly_idle_service_alone) {
  cr_assert(PlanOnce(InputOf({{4, 4}, {0.5}, {0.5}})).moves.empty());
}

Test(placement_planner, reports_a_hot_shard_and_does_not_pass_it_around) {
  const auto plan = PlanOnce(InputOf({{100}, {10, 10}, {10, 10}}));
  cr_assert(plan.moves.empty());
  cr_assert(plan.hot_shards.size() == 1 && plan.hot_shards[0].load == 100);
}

Test(placement_planner, moves_a_hot_shard_to_an_empty_server_rather_than_all_its_neighbours) {
  const auto plan = PlanOnce(InputOf({{100, 20, 20, 20}, {2}, {40, 40}}));
  cr_assert(plan.moves.size() == 1);
  cr_assert(plan.moves[0].shard.index == 0 && plan.moves[0].to.value == "server-1");
}

Test(placement_planner, leaves_servers_between_target_and_trigger_alone) {
  // The first is above the trigger, the second only above the target.
  const auto plan = PlanOnce(InputOf({std::vector<double>(26, 5.0), std::vector<double>(22, 5.0),
                                      std::vector<double>(16, 5.0), std::vector<double>(16, 5.0)}));
  cr_assert(!plan.moves.empty());
  for (const auto& move : plan.moves) cr_assert(move.from.value == "server-0");
}

Test(placement_planner, gives_nothing_to_a_server_that_is_leaving) {
  PlacementInput input = InputOf({{10, 10, 10, 10}, {}, {10, 10}});
  input.servers[1].may_gain = false;
  for (const auto& move : PlanOnce(input).moves) cr_assert(move.to.value != "server-1");
}

Test(placement_planner, weighs_load_by_capacity) {
  PlacementInput input = InputOf({{20, 20, 20, 20}, {20, 20}});
  input.servers[0].capacity = 2;
  cr_assert(PlanOnce(input).moves.empty());
}

Test(placement_planner, moves_no_shard_that_is_moving) {
  PlacementInput input = InputOf({{10, 10, 10, 10}, {10, 10}, {10, 10}});
  input.shards[0].movable = input.shards[1].movable = false;
  cr_assert(PlanOnce(input).moves.empty(), "its load is on its way to another server");
}

Test(placement_planner, waits_for_a_shift_to_settle_but_not_for_ever) {
  PlacementInput input = InputOf({{10, 10, 10, 10}, {10, 10}, {10, 10}});
  PlacementPlanner planner;
  Instant now = kNow;
  input.last_load_shift = now;
  cr_assert(planner.Plan(input, now).moves.empty());
  cr_assert(!planner.Plan(input, now + Duration(1'000'000)).moves.empty());
  graniteseam::placement::PlannerOptions options;
  options.settle_maximum = Duration(3'000'000);
  PlacementPlanner unsettled(options);
  int waited = 0;
  for (; waited < 100; ++waited, now += Duration(500'000)) {
    input.last_load_shift = now;
    if (!unsettled.Plan(input, now).moves.empty()) break;
  }
  cr_assert(waited == 6, "%d", waited);
}

Test(placement_planner, spends_a_budget_and_cools_down_between_plans) {
  graniteseam::placement::PlannerOptions options;
  options.budget_moves_maximum = 3;
  options.budget_moves_per_second = 0.5;
  PlacementPlanner planner(options);
  const PlacementInput input = InputOf({std::vector<double>(40, 10.0), {10}, {10}});
  cr_assert(planner.Plan(input, kNow).moves.size() == 3);
  cr_assert(planner.Plan(input, kNow + Duration(1'999'999)).moves.empty());
  cr_assert(planner.Plan(input, kNow + Duration(2'000'000)).moves.size() == 1);
}

Test(placement_planner, follows_the_weights_of_the_service) {
  cr_assert(MoveReluctance({1, 1, 1}) == 1);
  cr_assert(MoveReluctance({1, 3, 1}) > MoveReluctance({3, 1, 1}));
  cr_assert(MoveReluctance({1, 1, 4}) < 1);
  // 1.2 over the mean: enough for equal weights, not where churn weighs most.
  PlacementInput input = InputOf({std::vector<double>(16, 4.0), {48}, {48}});
  cr_assert(!PlanOnce(input).moves.empty());
  input.weights.churn = 3;
  cr_assert(PlanOnce(input).moves.empty());
  input.weights = {1, 1, 0};
  input.shards[0].load = 500;
  cr_assert(PlanOnce(input).moves.empty());
}
