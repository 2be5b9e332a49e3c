/// @file
/// The whole control group against failing servers: at most one owner at each instant, a new one
/// soon after a loss.

#include <criterion/criterion.h>

#include "tests/control/control_harness.h"

using graniteseam::Duration;
using graniteseam::Error;
using graniteseam::Instant;
using graniteseam::ServerId;
using graniteseam::ShardId;
using graniteseam::control::Accepted;
using graniteseam::control::DrainServer;
using graniteseam::control::MoveShard;
using graniteseam::test::ControlHarness;
using graniteseam::test::HarnessOptions;
using graniteseam::test::kKeyed;
using graniteseam::test::kPooled;

namespace {

constexpr Duration kSecond{1'000'000};
constexpr Duration kLeaseOver{600'600};

/// Brings up three servers and runs until all shards are owned.
void StartFleet(ControlHarness& harness) {
  for (const char* name : {"t-1", "t-2", "t-3"}) harness.AddServer(name);
  harness.RollBundle(1);
  cr_assert(harness.RunUntil([&] { return harness.AllOwned(); }, 5 * kSecond));
}

}  // namespace

Test(ownership, shards_are_spread_over_the_servers_that_answer) {
  ControlHarness harness;
  StartFleet(harness);
  for (const char* name : {"t-1", "t-2", "t-3"}) cr_assert(harness.OwnedBy(name) == 4);
  cr_assert(harness.most_owners_seen() == 1);
}

Test(ownership, single_control_process_serves_too) {
  HarnessOptions options;
  options.control_count = 1;
  ControlHarness harness(options);
  StartFleet(harness);
  harness.RunFor(5 * kSecond);
  cr_assert(harness.AllOwned());
  cr_assert(harness.leases_lost() == 0);
}

Test(ownership, shards_of_a_dead_server_go_elsewhere_after_its_lease_and_within_a_second) {
  ControlHarness harness;
  StartFleet(harness);
  harness.RunFor(3 * kSecond);
  const auto moves = harness.LeaderNode().Fleet(harness.now()).shard_moves;
  const auto died = harness.now();
  const auto lease_end =
      harness.server("t-1").owner->lease_end() - harness.server("t-1").clock_offset;
  harness.KillServer("t-1");
  cr_assert(harness.RunUntil([&] { return harness.AllOwned(); }, kSecond));
  cr_assert(harness.now() >= lease_end);
  cr_assert(harness.now() - died <= kSecond);
  // Only the shards of the lost server move, and they are spread.
  cr_assert(harness.LeaderNode().Fleet(harness.now()).shard_moves - moves == 4);
  cr_assert(harness.OwnedBy("t-2") == 6);
  cr_assert(harness.OwnedBy("t-3") == 6);
}

Test(ownership, frozen_server_that_wakes_owns_nothing_and_is_taken_in_again) {
  ControlHarness harness;
  StartFleet(harness);
  harness.FreezeServer("t-1");
  harness.RunFor(5 * kSecond);
  cr_assert(harness.AllOwned());
  harness.WakeServer("t-1");
  cr_assert(harness.OwnedBy("t-1") == 0);
  harness.RunFor(2 * kSecond);
  cr_assert(harness.most_owners_seen() == 1);
  cr_assert(harness.AllOwned());
  // It may be given shards again.
  const auto answer = harness.Ask(MoveShard{ShardId{kKeyed, 0}, ServerId{"t-1"}});
  cr_assert(std::holds_alternative<Accepted>(answer));
  cr_assert(harness.RunUntil([&] { return harness.Owns("t-1", 0); }, kSecond));
}

Test(ownership, short_freezes_of_all_servers_at_once_never_make_two_owners) {
  ControlHarness harness;
  StartFleet(harness);
  for (int round = 0; round < 10; ++round) {
    for (const char* name : {"t-1", "t-2", "t-3"}) harness.FreezeServer(name);
    harness.RunFor(Duration(150'000 * (round % 6)));
    for (const char* name : {"t-1", "t-2", "t-3"}) harness.WakeServer(name);
    harness.RunFor(Duration(400'000));
  }
  cr_assert(harness.RunUntil([&] { return harness.AllOwned(); }, 3 * kSecond));
  cr_assert(harness.most_owners_seen() == 1);
}

Test(ownership, delayed_duplicated_and_replayed_grants_are_harmless) {
  HarnessOptions options;
  options.duplicate_chance = 0.2;
  options.late_chance = 0.1;
  ControlHarness harness(options);
  StartFleet(harness);
  harness.KillServer("t-1");
  harness.RunFor(2 * kSecond);
  harness.StartServer("t-1");
  harness.FreezeServer("t-2");
  harness.RunFor(2 * kSecond);
  harness.ReplayLeaseMessages();
  harness.WakeServer("t-2");
  harness.ReplayLeaseMessages();
  harness.RunFor(2 * kSecond);
  cr_assert(harness.most_owners_seen() == 1);
  cr_assert(harness.RunUntil([&] { return harness.AllOwned(); }, 3 * kSecond));
}

Test(ownership, restarted_server_keeps_its_shards_after_the_old_lease) {
  ControlHarness harness;
  StartFleet(harness);
  harness.RunFor(2 * kSecond);
  const auto moves = harness.LeaderNode().Fleet(harness.now()).shard_moves;
  const auto lease_end =
      harness.server("t-1").owner->lease_end() - harness.server("t-1").clock_offset;
  harness.StartServer("t-1");
  cr_assert(harness.RunUntil([&] { return harness.OwnedBy("t-1") == 4; }, 2 * kSecond));
  cr_assert(harness.now() >= lease_end, "the old process might still run");
  cr_assert(harness.LeaderNode().Fleet(harness.now()).shard_moves == moves);
}

Test(ownership, restart_of_most_servers_together_does_not_disturb_the_others) {
  HarnessOptions options;
  options.shard_count = 200;
  ControlHarness harness(options);
  for (int number = 0; number < 100; ++number) harness.AddServer("t-" + std::to_string(number));
  harness.RollBundle(1);
  cr_assert(harness.RunUntil([&] { return harness.AllOwned(); }, 10 * kSecond));
  const auto lost = harness.leases_lost();
  for (int number = 0; number < 66; ++number) harness.StartServer("t-" + std::to_string(number));
  harness.RunFor(3 * kSecond);
  cr_assert(harness.AllOwned());
  cr_assert(harness.leases_lost() == lost);
  cr_assert(harness.most_owners_seen() == 1);
}

Test(ownership, server_that_the_list_does_not_name_any_more_keeps_its_shards) {
  ControlHarness harness;
  StartFleet(harness);
  harness.RemoveFromPlatformList("t-1");
  harness.RunFor(5 * kSecond);
  cr_assert(harness.OwnedBy("t-1") == 4);
  cr_assert(harness.leases_lost() == 0);
}

Test(ownership, server_that_the_list_names_but_is_dead_gets_nothing) {
  ControlHarness harness;
  StartFleet(harness);
  harness.AddServer("t-4");
  harness.KillServer("t-4");
  harness.RunFor(3 * kSecond);
  cr_assert(harness.AllOwned());
  cr_assert(harness.LeaderNode().Fleet(harness.now()).servers.size() == 3);
}

Test(ownership, list_that_wrongly_says_leaving_only_drains_and_is_undone) {
  ControlHarness harness;
  StartFleet(harness);
  harness.SetPlatformLeaving("t-1", true);
  cr_assert(harness.RunUntil([&] { return harness.OwnedBy("t-1") == 0; }, 2 * kSecond));
  cr_assert(harness.RunUntil([&] { return harness.AllOwned(); }, kSecond));
  cr_assert(harness.leases_lost() == 0);
  harness.SetPlatformLeaving("t-1", false);
  harness.RunFor(kSecond);
  const auto answer = harness.Ask(MoveShard{ShardId{kKeyed, 0}, ServerId{"t-1"}});
  cr_assert(std::holds_alternative<Accepted>(answer));
  cr_assert(harness.RunUntil([&] { return harness.Owns("t-1", 0); }, kSecond));
}

Test(ownership, drained_server_keeps_a_shard_until_what_is_in_flight_is_done) {
  ControlHarness harness;
  StartFleet(harness);
  auto& server = harness.server("t-1");
  const auto held = server.owner->Held();
  const auto clock = [&] { return harness.now() + server.clock_offset; };
  cr_assert(static_cast<bool>(server.owner->Begin(held[0], clock())));
  const auto answer = harness.Ask(DrainServer{ServerId{"t-1"}, true});
  cr_assert(std::holds_alternative<Accepted>(answer));
  cr_assert(harness.RunUntil([&] { return harness.OwnedBy("t-1") == 0; }, kSecond));
  harness.RunFor(2 * kSecond);
  // Still in flight: it may commit, and nobody else has the shard.
  cr_assert(static_cast<bool>(server.owner->Commit(held[0], clock())));
  cr_assert(harness.OwnersOf(held[0].shard.index).empty());
  server.owner->End(held[0]);
  cr_assert(harness.RunUntil([&] { return harness.AllOwned(); }, kSecond));
  cr_assert(harness.leases_lost() == 0);
}

Test(ownership, planned_move_leaves_the_shard_without_owner_only_for_a_moment) {
  ControlHarness harness;
  StartFleet(harness);
  const auto from = harness.OwnersOf(0).front();
  const std::string target = from == "t-2" ? "t-3" : "t-2";
  harness.Ask(MoveShard{ShardId{kKeyed, 0}, ServerId{target}});
  // Two round trips and a commit of the harness's network, which takes 1.2 ms at most a way.
  cr_assert(harness.RunUntil([&] { return harness.Owns(target, 0); }, Duration(20'000)));
  cr_assert(harness.most_owners_seen() == 1);
  const auto again = harness.Ask(MoveShard{ShardId{kKeyed, 0}, ServerId{target}});
  cr_assert(std::holds_alternative<Accepted>(again), "safe to resend");
}

Test(ownership, server_that_says_leaving_is_emptied_and_gets_no_new_work) {
  ControlHarness harness;
  StartFleet(harness);
  harness.server("t-1").owner->SetLeaving(true);
  cr_assert(harness.RunUntil([&] { return harness.OwnedBy("t-1") == 0; }, 2 * kSecond));
  harness.RunFor(kSecond);
  cr_assert(harness.AllOwned());
  for (const auto& server : harness.LeaderNode().Fleet(harness.now()).servers) {
    cr_assert(server.entry.accepts_new_work == (server.entry.id != ServerId{"t-1"}));
  }
}

Test(ownership, longer_lease_that_a_bundle_shortened_is_still_waited_out_by_a_new_leader) {
  ControlHarness harness;
  for (const char* name : {"t-1", "t-2"}) harness.AddServer(name);
  harness.RollBundle(1, 5'000);
  cr_assert(harness.RunUntil([&] { return harness.AllOwned(); }, 5 * kSecond));
  const auto leader = *harness.Leader();
  // The server holds a lease of five seconds when the shorter one is rolled and the leader dies.
  harness.FreezeServer("t-1");
  harness.RollBundle(2, 600);
  harness.StopControl(leader);
  harness.RunFor(4 * kSecond);
  cr_assert(harness.OwnersOf(0).size() == 1);
  cr_assert(harness.most_owners_seen() == 1);
  harness.RunFor(4 * kSecond);
  cr_assert(harness.OwnedBy("t-2") == 12);
  cr_assert(harness.most_owners_seen() == 1);
}

Test(ownership, server_that_is_gone_for_good_is_forgotten) {
  ControlHarness harness;
  StartFleet(harness);
  harness.KillServer("t-1");
  harness.RemoveFromPlatformList("t-1");
  harness.RunFor(300 * kSecond);
  cr_assert(harness.LeaderNode().Fleet(harness.now()).servers.size() == 3);
  harness.RunFor(400 * kSecond);
  cr_assert(harness.LeaderNode().Fleet(harness.now()).servers.size() == 2);
  cr_assert(harness.AllOwned());
}
