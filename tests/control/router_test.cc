/// @file
/// Routers against the control group: leases only with the newest bundle, and a routing table that
/// follows by changes.

#include <criterion/criterion.h>

#include "tests/control/control_harness.h"

using graniteseam::BundleVersion;
using graniteseam::Duration;
using graniteseam::RouterId;
using graniteseam::ServerId;
using graniteseam::ShardId;
using graniteseam::control::MapUpdate;
using graniteseam::control::MoveShard;
using graniteseam::control::NotLeaderAnswer;
using graniteseam::control::RouterRenewal;
using graniteseam::control::RouterRenewalAnswer;
using graniteseam::test::ControlHarness;
using graniteseam::test::kKeyed;

namespace {

constexpr Duration kSecond{1'000'000};
constexpr std::uint64_t kConnection = 9;

/// A router that only renews and keeps the newest version of the table.
struct Router {
  ControlHarness& harness;
  std::uint64_t sequence = 0;
  std::uint64_t bundle_version = 0;
  std::uint64_t map_version = 0;

  RouterRenewalAnswer Renew() {
    RouterRenewal renewal;
    renewal.router = RouterId{"r-1"};
    renewal.sequence = ++sequence;
    renewal.bundle_version = BundleVersion{bundle_version};
    renewal.map_version = map_version;
    harness.SendAsRouter(*harness.Leader(), kConnection, renewal);
    auto answer = std::get<RouterRenewalAnswer>(harness.router_inbox(kConnection).back());
    if (answer.map) map_version = answer.map->version;
    return answer;
  }
};

void StartFleet(ControlHarness& harness) {
  for (const char* name : {"t-1", "t-2", "t-3"}) harness.AddServer(name);
  harness.RollBundle(1);
  cr_assert(harness.RunUntil([&] { return harness.AllOwned(); }, 5 * kSecond));
  harness.RunFor(kSecond);
}

}  // namespace

Test(router, without_the_newest_bundle_there_is_no_lease) {
  ControlHarness harness;
  StartFleet(harness);
  Router router{harness};
  const auto refused = router.Renew();
  cr_assert_not(refused.granted);
  cr_assert(refused.bundle && refused.bundle->version == BundleVersion{1});
  router.bundle_version = 1;
  cr_assert(router.Renew().granted);
  harness.RollBundle(2);
  cr_assert_not(router.Renew().granted);
  router.bundle_version = 2;
  cr_assert(router.Renew().granted);
}

Test(router, that_shows_a_bundle_newer_than_the_leaders_is_not_sent_back) {
  ControlHarness harness;
  StartFleet(harness);
  Router router{harness};
  router.bundle_version = 7;
  const auto answer = router.Renew();
  cr_assert_not(answer.granted);
  cr_assert_not(answer.bundle);
}

Test(router, gets_the_whole_table_once_and_then_only_changes) {
  ControlHarness harness;
  StartFleet(harness);
  Router router{harness};
  router.bundle_version = 1;
  const auto whole = router.Renew();
  cr_assert(whole.map && whole.map->base_version == 0);
  cr_assert(whole.map->shards.size() == 12);
  cr_assert(whole.map->servers.size() == 3);
  cr_assert_not(router.Renew().map);
}

Test(router, change_is_pushed_without_waiting_for_a_renewal) {
  ControlHarness harness;
  StartFleet(harness);
  Router router{harness};
  router.bundle_version = 1;
  router.Renew();
  const auto from = harness.OwnersOf(0).front();
  const std::string target = from == "t-2" ? "t-3" : "t-2";
  harness.router_inbox(kConnection).clear();
  harness.Ask(MoveShard{ShardId{kKeyed, 0}, ServerId{target}});
  cr_assert(harness.RunUntil([&] { return harness.Owns(target, 0); }, kSecond));
  std::uint64_t version = router.map_version;
  for (const auto& message : harness.router_inbox(kConnection)) {
    const auto& push = std::get<RouterRenewalAnswer>(message);
    cr_assert(push.sequence == router.sequence);
    cr_assert(push.map && push.map->base_version == version);
    cr_assert(push.map->shards.size() == 1);
    version = push.map->version;
  }
  cr_assert(harness.router_inbox(kConnection).size() == 2, "the move's begin and its end");
}

Test(router, that_missed_a_push_gets_the_changes_again) {
  ControlHarness harness;
  StartFleet(harness);
  Router router{harness};
  router.bundle_version = 1;
  router.Renew();
  const auto known = router.map_version;
  harness.KillServer("t-1");
  harness.RunFor(2 * kSecond);
  // The pushes were lost: the router goes on showing what it had.
  for (int renewal = 0; renewal < 3; ++renewal) {
    const auto answer = router.Renew();
    if (!answer.map) continue;
    cr_assert(answer.map->base_version == known);
    cr_assert(answer.map->shards.size() == 4);
    return;
  }
  cr_assert_fail("the changes were not sent again");
}

Test(router, table_goes_on_by_changes_under_the_next_leader) {
  ControlHarness harness;
  StartFleet(harness);
  Router router{harness};
  router.bundle_version = 1;
  router.Renew();
  harness.StopControl(*harness.Leader());
  cr_assert(harness.RunUntil([&] { return harness.Leader().has_value(); }, 2 * kSecond));
  const auto answer = router.Renew();
  cr_assert(answer.granted);
  cr_assert(!answer.map || answer.map->base_version != 0);
}

Test(router, follower_names_the_leader) {
  ControlHarness harness;
  StartFleet(harness);
  const std::size_t follower = *harness.Leader() == 0 ? 1 : 0;
  harness.SendAsRouter(follower, kConnection, RouterRenewal{});
  const auto& answer = std::get<NotLeaderAnswer>(harness.router_inbox(kConnection).back());
  cr_assert(answer.leader_address == harness.LeaderNode().consensus().self().address);
}
