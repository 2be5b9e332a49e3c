#include <criterion/criterion.h>

#include <numeric>
#include <vector>

#include "testbed/virtual_fleet/event_queue.h"
#include "testbed/virtual_fleet/pool_fleet.h"
#include "testbed/virtual_fleet/zipf_shards.h"

namespace {

using namespace graniteseam;           // NOLINT
using namespace graniteseam::testbed;  // NOLINT

const GroupName kGroup{"group"};

PoolFleetSettings SmallFleet(Way way) {
  PoolFleetSettings settings;
  settings.pool.servers = 6;
  settings.groups = {kGroup};
  settings.way = way;
  settings.seed = 11;
  return settings;
}

CallerSummary RunAtHalfLoad(Way way) {
  PoolFleet fleet(SmallFleet(way));
  fleet.load().SetRate(kGroup, 0.5 * fleet.pool().CapacityPerSecond());
  fleet.Run(Duration{8'000'000});
  return fleet.load().SummariseAll(InstantFromMicros(2'000'000), InstantFromMicros(6'000'000));
}

}  // namespace

Test(virtual_fleet, actions_run_in_the_order_of_time_and_then_of_their_adding) {
  EventQueue events;
  std::vector<int> order;
  events.After(Duration{20}, [&] { order.push_back(3); });
  events.After(Duration{10}, [&] { order.push_back(1); });
  events.After(Duration{10}, [&] {
    order.push_back(2);
    events.After(Duration{30}, [&] { order.push_back(4); });
  });
  events.RunUntil(events.now() + Duration{39});
  cr_assert_eq(order, (std::vector<int>{1, 2, 3}));
  events.RunUntil(events.now() + Duration{1});
  cr_assert_eq(order, (std::vector<int>{1, 2, 3, 4}));
}

Test(virtual_fleet, a_server_runs_as_many_as_it_has_slots_and_sheds_past_its_queue) {
  EventQueue events;
  VirtualServer server(events, ServerSettings{2, Duration{1'000}, 3}, 1);
  int answered = 0;
  int shed = 0;
  for (int request = 0; request < 8; ++request) {
    server.Take(InstantFromMicros(1'000'000'000), [&](ServerReply reply) {
      (reply == ServerReply::kAnswered ? answered : shed) += 1;
    });
  }
  cr_assert_eq(shed, 3, "two run and three wait");
  events.RunUntil(InstantFromMicros(1'000'000));
  cr_assert_eq(answered, 5);
}

Test(virtual_fleet, a_request_whose_deadline_passed_in_the_queue_does_not_run) {
  EventQueue events;
  VirtualServer server(events, ServerSettings{1, Duration{1'000'000}, 3}, 1);
  server.Take(InstantFromMicros(1'000'000'000), [](ServerReply) {});
  ServerReply late = ServerReply::kAnswered;
  server.Take(events.now() + Duration{1}, [&](ServerReply reply) { late = reply; });
  events.RunUntil(InstantFromMicros(60'000'000));
  cr_assert_eq(late, ServerReply::kDeadlinePassed);
  cr_assert_eq(server.answered(), 1);
}

Test(virtual_fleet, shifted_keys_keep_the_whole_load) {
  ZipfShards shards(ZipfSettings{1'000, 1.0, 500.0}, 64, 3);
  const std::vector<double> before = shards.loads();
  shards.Shift();
  const std::vector<double>& after = shards.loads();
  cr_assert_float_eq(std::accumulate(before.begin(), before.end(), 0.0), 500.0, 1e-6);
  cr_assert_float_eq(std::accumulate(after.begin(), after.end(), 0.0), 500.0, 1e-6);
  cr_assert(before != after);
}

Test(virtual_fleet, both_ways_answer_all_of_half_the_capacity) {
  for (const Way way : {Way::kShipped, Way::kSimple}) {
    const CallerSummary summary = RunAtHalfLoad(way);
    cr_assert_gt(summary.offered, 1'000);
    cr_assert_geq(summary.AnsweredFraction(), 0.999);
  }
}

Test(virtual_fleet, the_same_seed_gives_the_same_run) {
  cr_assert_eq(RunAtHalfLoad(Way::kShipped).answered_ms, RunAtHalfLoad(Way::kShipped).answered_ms);
}
