#include "src/control/feed_selector.h"

#include <criterion/criterion.h>

#include <map>
#include <set>
#include <string>
#include <vector>

using namespace graniteseam;
using namespace graniteseam::control;

namespace {

constexpr Instant kStart = InstantFromMicros(1'000'000'000);

consensus::Member MakeMember(std::uint64_t id, const std::string& zone) {
  return {ControlId{id}, DiskIncarnation{1}, "10.0.0." + std::to_string(id) + ":1", {zone}};
}

consensus::PeerStatus Peer(std::uint64_t id, const std::string& zone) {
  consensus::PeerStatus peer;
  peer.member = MakeMember(id, zone);
  peer.caught_up = true;
  return peer;
}

RouterId Router(int number) { return {"r-" + std::to_string(number)}; }

}  // namespace

Test(feed_choice, routers_of_a_zone_are_spread_over_its_members) {
  FeedSelector choice;
  choice.Take(MakeMember(1, "a"), {Peer(2, "a"), Peer(3, "a"), Peer(4, "b"), Peer(5, "b")}, kStart);
  std::map<std::string, int> taken;
  for (int number = 0; number < 400; ++number) ++taken[choice.SelectFeed(Router(number), {"a"}, 0)];
  cr_assert_eq(taken.size(), 2U);
  for (const auto& [address, routers] : taken) {
    cr_assert(address == "10.0.0.2:1" || address == "10.0.0.3:1", "%s", address.c_str());
    cr_assert_gt(routers, 140);
  }
}

Test(feed_choice, router_keeps_its_member_whoever_leads) {
  FeedSelector choice;
  choice.Take(MakeMember(1, "a"), {Peer(3, "b"), Peer(2, "b"), Peer(4, "c")}, kStart);
  FeedSelector other;
  other.Take(MakeMember(4, "c"), {Peer(2, "b"), Peer(3, "b"), Peer(1, "a")}, kStart);
  for (int number = 0; number < 50; ++number) {
    cr_assert_eq(choice.SelectFeed(Router(number), {"b"}, 0),
                 other.SelectFeed(Router(number), {"b"}, 0));
  }
}

Test(feed_choice, leader_feeds_its_zone_only_where_that_has_no_other_member) {
  FeedSelector choice;
  choice.Take(MakeMember(1, "a"), {Peer(2, "b")}, kStart);
  cr_assert_eq(choice.SelectFeed(Router(1), {"a"}, 0), "10.0.0.1:1");
  FeedSelector alone;
  alone.Take(MakeMember(1, "a"), {}, kStart);
  cr_assert_eq(alone.SelectFeed(Router(1), {"z"}, 3), "10.0.0.1:1");
}

Test(feed_choice, router_whose_feed_does_not_keep_up_is_named_each_other_one) {
  FeedSelector choice;
  choice.Take(MakeMember(1, "a"), {Peer(2, "a"), Peer(3, "a"), Peer(4, "b"), Peer(5, "c")}, kStart);
  std::set<std::string> named;
  for (std::uint32_t tried = 0; tried < 6; ++tried) {
    named.insert(choice.SelectFeed(Router(7), {"a"}, tried));
  }
  cr_assert_eq(named.size(), 4U);
}

Test(feed_choice, member_that_is_silent_or_behind_is_not_named) {
  consensus::PeerStatus silent = Peer(2, "a");
  silent.time_since_response = std::chrono::seconds(2);
  consensus::PeerStatus behind = Peer(3, "a");
  behind.caught_up = false;
  FeedSelector choice;
  choice.Take(MakeMember(1, "b"), {silent, behind, Peer(4, "c")}, kStart);
  cr_assert_eq(choice.SelectFeed(Router(1), {"a"}, 0), "10.0.0.4:1");
}

// Members that were behind for a moment fell out of the list, and every router of their zone was
// named another feed: a thousand gateways took the state from several members at once.
Test(feed_choice, router_keeps_its_member_while_others_come_and_go_or_lag_for_a_moment) {
  FeedSelector choice;
  const std::vector<consensus::PeerStatus> whole{Peer(2, "a"), Peer(3, "a"), Peer(4, "a"),
                                                 Peer(5, "a")};
  choice.Take(MakeMember(1, "b"), whole, kStart);
  std::map<int, std::string> before;
  for (int number = 0; number < 200; ++number)
    before[number] = choice.SelectFeed(Router(number), {"a"}, 0);
  auto lagging = whole;
  for (consensus::PeerStatus& peer : lagging) peer.caught_up = false;
  choice.Take(MakeMember(1, "b"), lagging, kStart + std::chrono::seconds(1));
  for (int number = 0; number < 200; ++number) {
    cr_assert_eq(choice.SelectFeed(Router(number), {"a"}, 0), before[number]);
  }
  // One is gone: only its routers change.
  choice.Take(MakeMember(1, "b"), {whole[0], whole[1], whole[3]}, kStart + std::chrono::seconds(2));
  for (int number = 0; number < 200; ++number) {
    if (before[number] == "10.0.0.4:1") continue;
    cr_assert_eq(choice.SelectFeed(Router(number), {"a"}, 0), before[number]);
  }
}
