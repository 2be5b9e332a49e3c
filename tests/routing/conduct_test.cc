// Conduct of routers under load, in virtual time: shares, sheds, lying health, freezes.
#include <criterion/criterion.h>

#include <set>

#include "tests/routing/virtual_fleet.h"

using namespace std::chrono_literals;
using namespace graniteseam;
using namespace graniteseam::test;

namespace {

bundle::Bundle PoolBundle(const std::vector<std::pair<std::string, double>>& groups) {
  bundle::Bundle bundle;
  bundle.version = {1};
  bundle::Service service;
  service.name = {"archive"};
  service.repeatable = true;
  bundle.services.push_back(service);
  for (const auto& [name, share] : groups) {
    bundle.groups.push_back({{name}, {service.name}, "", share, 64});
  }
  return bundle;
}

std::vector<VirtualServer> Servers(int count) {
  std::vector<VirtualServer> servers(static_cast<std::size_t>(count));
  for (int i = 0; i < count; ++i) {
    servers[static_cast<std::size_t>(i)].id = "server-" + std::to_string(i);
  }
  return servers;
}

/// Requests a second that a fleet's servers can do.
double Capacity(int servers) { return servers * 2 * 100.0; }

}  // namespace

Test(conduct, a_router_without_a_lease_runs_nothing) {
  routing::RouterNodeOptions options;
  options.router = {"alone"};
  const Instant now = InstantFromMicros(1'000'000);
  routing::RouterNode node(options, 1, now);
  cr_assert_not(node.Ready(now));
  routing::CallerRequest request;
  request.number = 1;
  const routing::RouterEffects effects = node.OnRequest(request, now);
  cr_assert_eq(effects.answers.size(), 1);
  cr_assert(effects.answers[0].outcome == routing::RequestOutcome::kNotRun);
  cr_assert_eq(effects.answers[0].status, 503);
  cr_assert(effects.answers[0].retry_after.has_value());
  cr_assert(effects.sends.empty());
}

Test(conduct, serves_a_light_load_without_refusals) {
  VirtualFleet fleet(PoolBundle({{"a", 1.0}}), 2, Servers(8));
  fleet.Run(1s);
  fleet.Load({"a"}, Capacity(8) * 0.5, 5s);
  fleet.Run(6s);
  cr_assert_eq(fleet.tally("a").answered, fleet.tally("a").sent);
  cr_assert_leq(fleet.tally("a").Percentile(0.99).count(), 30'000);
}

Test(conduct, groups_get_their_shares_when_one_asks_for_ten_times_its_own) {
  // Four equal groups want three times the capacity: three want 0.9 of their share each, the
  // fourth more than ten times its own.
  VirtualFleet fleet(PoolBundle({{"a", 1.0}, {"b", 1.0}, {"c", 1.0}, {"greedy", 1.0}}), 3,
                     Servers(8));
  const double capacity = Capacity(8);
  fleet.Run(1s);
  for (const char* group : {"a", "b", "c"}) fleet.Load({group}, capacity * 0.225, 12s);
  fleet.Load({"greedy"}, capacity * 2.4, 12s);
  fleet.Run(4s);
  fleet.ClearTallies();
  const std::uint64_t served_before = fleet.Served();
  fleet.Run(6s);
  for (const char* group : {"a", "b", "c"}) {
    const GroupTally& tally = fleet.tally(group);
    const double part = static_cast<double>(tally.answered) / static_cast<double>(tally.sent);
    cr_assert_geq(part, 0.95, "%s: %f", group, part);
  }
  const double goodput = static_cast<double>(fleet.Served() - served_before) / 6.0;
  cr_assert_geq(goodput, capacity * 0.9, "%f of %f", goodput, capacity);
}

Test(conduct, retries_do_not_storm_when_half_of_the_pool_sheds) {
  VirtualFleet fleet(PoolBundle({{"a", 1.0}}), 2, Servers(8));
  fleet.Run(1s);
  fleet.Load({"a"}, Capacity(8) * 0.4, 20s);
  fleet.At(2s, [&] {
    for (std::size_t i = 0; i < 4; ++i) fleet.server(i).shedding = true;
  });
  fleet.Run(2s);
  const std::uint64_t offered = fleet.Offered();
  const std::uint64_t served = fleet.Served();
  fleet.Run(10s);
  const double ratio =
      static_cast<double>(fleet.Offered() - offered) / static_cast<double>(fleet.Served() - served);
  cr_assert_leq(ratio, 1.2, "%f", ratio);
  for (std::size_t i = 0; i < 4; ++i) fleet.server(i).shedding = false;
  fleet.Run(2s);
  fleet.ClearTallies();
  fleet.Run(4s);
  cr_assert_geq(static_cast<double>(fleet.tally("a").answered),
                0.99 * static_cast<double>(fleet.tally("a").sent), "recovered");
}

Test(conduct, servers_that_lie_about_their_load_are_outvoted_and_come_back) {
  const auto run = [](bool lying) {
    VirtualFleet fleet(PoolBundle({{"a", 1.0}}), 2, Servers(10));
    fleet.Run(1s);
    for (std::size_t i = 0; lying && i < 2; ++i) {
      fleet.server(i).load_hint = 0.0;
      fleet.server(i).work = Duration(100ms);
      fleet.server(i + 2).load_hint = 0.9;
    }
    fleet.Load({"a"}, Capacity(10) * 0.3, 20s);
    fleet.Run(4s);
    fleet.ClearTallies();
    fleet.Run(5s);
    const Duration p99 = fleet.tally("a").Percentile(0.99);
    for (std::size_t i = 0; i < 2; ++i) fleet.server(i).work = Duration(10ms);
    fleet.Run(8s);
    const std::uint64_t before = fleet.server(0).served;
    fleet.Run(3s);
    cr_assert_gt(fleet.server(0).served, before, "it takes work again once it recovered");
    return p99;
  };
  const Duration honest = run(false);
  const Duration lying = run(true);
  cr_assert_leq(lying.count(), honest.count() * 3 / 2, "%ld against %ld", lying.count(),
                honest.count());
}

Test(conduct, servers_that_fail_fast_do_not_draw_the_traffic) {
  VirtualFleet fleet(PoolBundle({{"a", 1.0}}), 2, Servers(10));
  fleet.Run(1s);
  fleet.server(0).failing = true;
  fleet.server(1).failing = true;
  fleet.Load({"a"}, Capacity(10) * 0.3, 10s);
  fleet.Run(2s);
  const std::uint64_t offered = fleet.Offered();
  const std::uint64_t failed = fleet.server(0).offered + fleet.server(1).offered;
  fleet.Run(8s);
  const double part =
      static_cast<double>(fleet.server(0).offered + fleet.server(1).offered - failed) /
      static_cast<double>(fleet.Offered() - offered);
  cr_assert_leq(part, 0.05, "%f of the requests went to failing servers", part);
}

Test(conduct, hedging_spares_callers_a_frozen_server) {
  bundle::Bundle bundle = PoolBundle({{"a", 1.0}});
  bundle.services[0].hedging = true;
  VirtualFleet fleet(bundle, 1, Servers(10));
  fleet.Run(1s);
  fleet.Load({"a"}, Capacity(10) * 0.2, 10s);
  fleet.Run(2s);
  fleet.server(0).frozen = true;
  fleet.ClearTallies();
  fleet.Run(9s);
  cr_assert_gt(fleet.router(0).Status(fleet.now()).hedges, 0);
  cr_assert_geq(static_cast<double>(fleet.tally("a").answered),
                0.99 * static_cast<double>(fleet.tally("a").sent));
}

Test(conduct, whatever_is_given_up_is_told_at_once) {
  VirtualFleet fleet(PoolBundle({{"a", 1.0}}), 1, Servers(2));
  fleet.Run(1s);
  fleet.Load({"a"}, Capacity(2) * 3.0, 10s);
  fleet.Run(11s);
  const GroupTally& tally = fleet.tally("a");
  cr_assert_gt(tally.not_run, 0);
  cr_assert_eq(tally.unknown, 0);
  // Half of the deadline of 2 s at most is spent in the queue.
  cr_assert_leq(tally.Percentile(1.0).count(), 1'500'000);
}
