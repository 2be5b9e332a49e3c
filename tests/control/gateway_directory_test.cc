// The leader's list of gateways that coordinate admission, under lost gateways and leaders.
#include "src/control/gateway_directory.h"

#include <criterion/criterion.h>

#include <cmath>
#include <limits>
#include <set>

using namespace graniteseam;
using namespace graniteseam::control;

namespace {

constexpr Instant kStart = InstantFromMicros(1'000'000'000);
constexpr Term kTerm{7};

Instant At(std::int64_t ms) { return kStart + std::chrono::milliseconds(ms); }

traffic::TrafficPoll PollOf(const std::string& gateway, double weight = 1) {
  traffic::TrafficPoll poll;
  poll.router = {gateway};
  poll.zone = {"z-1"};
  poll.peer_address = gateway + ":1";
  poll.peer_weight = weight;
  return poll;
}

/// Lets these gateways poll every 500 ms, at the same time.
void PollThrough(GatewayDirectory& directory, const std::vector<std::string>& gateways,
                 std::int64_t first_ms, std::int64_t last_ms) {
  for (std::int64_t ms = first_ms; ms <= last_ms; ms += 500) {
    for (const std::string& gateway : gateways) directory.RecordPoll(PollOf(gateway), At(ms));
  }
}

std::set<std::string> Listed(const traffic::PeerUpdate& update) {
  std::set<std::string> names;
  for (const traffic::GatewayPeer& peer : update.changed) names.insert(peer.id.value);
  return names;
}

/// The whole list, as a gateway without one gets it.
std::set<std::string> List(GatewayDirectory& directory, std::int64_t ms) {
  return Listed(directory.UpdateSince({}, At(ms)));
}

using Names = std::set<std::string>;

}  // namespace

Test(gateway_directory, new_leader_publishes_no_list_before_all_gateways_have_polled_it) {
  GatewayDirectory directory(kTerm, kStart);
  PollThrough(directory, {"a", "b"}, 0, 1'500);
  cr_assert(directory.UpdateSince({6, 30}, At(1'999)) == traffic::PeerUpdate{});
  const traffic::PeerUpdate update = directory.UpdateSince({6, 30}, At(2'000));
  cr_assert(update.version.term == kTerm.value);
  cr_assert(update.base == traffic::PeerVersion{}, "Lists of two leaders are unrelated.");
  cr_assert(Listed(update) == Names({"a", "b"}));
}

Test(gateway_directory, leader_that_no_gateway_polls_publishes_no_list) {
  GatewayDirectory directory(kTerm, kStart);
  traffic::TrafficPoll poll = PollOf("a");
  poll.peer_address.clear();
  directory.RecordPoll(poll, At(0));
  cr_assert(directory.UpdateSince({6, 30}, At(5'000)) == traffic::PeerUpdate{});
  cr_assert_eq(directory.size(), 0);
}

Test(gateway_directory, gateway_with_the_present_list_gets_nothing) {
  GatewayDirectory directory(kTerm, kStart);
  PollThrough(directory, {"a", "b"}, 0, 3'000);
  const traffic::PeerVersion version = directory.UpdateSince({}, At(3'000)).version;
  cr_assert(directory.UpdateSince(version, At(3'000)) == traffic::PeerUpdate{});
}

Test(gateway_directory, gateway_with_an_earlier_version_gets_the_changes_since) {
  GatewayDirectory directory(kTerm, kStart);
  PollThrough(directory, {"a", "b"}, 0, 3'000);
  const traffic::PeerVersion version = directory.UpdateSince({}, At(3'000)).version;
  directory.RecordPoll(PollOf("c"), At(3'010));
  directory.RecordPoll(PollOf("b", 3), At(3'020));
  traffic::TrafficPoll leaves = PollOf("a");
  leaves.peer_address.clear();
  directory.RecordPoll(leaves, At(3'030));
  const traffic::PeerUpdate update = directory.UpdateSince(version, At(3'030));
  cr_assert(update.base == version);
  cr_assert(Listed(update) == Names({"b", "c"}));
  cr_assert(update.removed == std::vector<RouterId>{{"a"}});
}

Test(gateway_directory, killed_gateway_is_removed_after_two_seconds) {
  GatewayDirectory directory(kTerm, kStart);
  PollThrough(directory, {"a", "b", "c"}, 0, 3'000);
  for (std::int64_t ms = 3'000; ms <= 4'900; ms += 100) {
    directory.RecordPoll(PollOf("a"), At(ms));
    directory.RecordPoll(PollOf("b"), At(ms));
  }
  cr_assert(List(directory, 4'900) == Names({"a", "b", "c"}));
  directory.RecordPoll(PollOf("a"), At(5'100));
  cr_assert(List(directory, 5'100) == Names({"a", "b"}));
}

Test(gateway_directory, gateway_that_resumes_is_listed_again) {
  GatewayDirectory directory(kTerm, kStart);
  directory.RecordPoll(PollOf("b"), At(0));
  for (std::int64_t ms = 0; ms <= 3'000; ms += 100) directory.RecordPoll(PollOf("a"), At(ms));
  cr_assert(List(directory, 3'000) == Names({"a"}));
  directory.RecordPoll(PollOf("b"), At(3'050));
  cr_assert(List(directory, 3'050) == Names({"a", "b"}));
}

// A leader that was frozen for ten seconds received no polls: all gateways looked silent.
Test(gateway_directory, frozen_leader_removes_nobody_when_it_resumes) {
  GatewayDirectory directory(kTerm, kStart);
  PollThrough(directory, {"a", "b", "c"}, 0, 3'000);
  directory.RecordPoll(PollOf("a"), At(13'000));
  cr_assert(List(directory, 13'000) == Names({"a", "b", "c"}));
  PollThrough(directory, {"a", "b"}, 13'100, 16'100);
  cr_assert(List(directory, 16'100) == Names({"a", "b"}), "Who stays silent is removed then.");
}

Test(gateway_directory, leader_that_stands_still_for_less_removes_nobody) {
  for (std::int64_t stall_ms = 100; stall_ms <= 3'000; stall_ms += 100) {
    GatewayDirectory directory(kTerm, kStart);
    PollThrough(directory, {"a", "b"}, 0, 3'000);
    PollThrough(directory, {"a"}, 3'490, 3'490);
    directory.RecordPoll(PollOf("a"), At(3'490 + stall_ms));
    cr_assert(List(directory, 3'490 + stall_ms) == Names({"a", "b"}), "%d ms",
              static_cast<int>(stall_ms));
  }
}

Test(gateway_directory, gateway_far_behind_gets_the_whole_list) {
  GatewayDirectory directory(kTerm, kStart);
  PollThrough(directory, {"a", "b"}, 0, 3'000);
  const traffic::PeerVersion version = directory.UpdateSince({}, At(3'000)).version;
  for (int change = 1; change <= 256; ++change) {
    directory.RecordPoll(PollOf("b", 1 + change), At(3'000));
  }
  traffic::PeerUpdate update = directory.UpdateSince(version, At(3'000));
  cr_assert(update.base == version, "256 changes are kept.");
  cr_assert(Listed(update) == Names({"b"}));
  directory.RecordPoll(PollOf("b"), At(3'000));
  update = directory.UpdateSince(version, At(3'000));
  cr_assert(update.base == traffic::PeerVersion{});
  cr_assert(Listed(update) == Names({"a", "b"}));
}

Test(gateway_directory, version_of_a_former_leader_with_the_same_number_gets_the_whole_list) {
  GatewayDirectory directory(kTerm, kStart);
  PollThrough(directory, {"a", "b"}, 0, 3'000);
  traffic::PeerVersion former = directory.UpdateSince({}, At(3'000)).version;
  --former.term;
  const traffic::PeerUpdate update = directory.UpdateSince(former, At(3'000));
  cr_assert(update.base == traffic::PeerVersion{});
  cr_assert(Listed(update) == Names({"a", "b"}));
}

Test(gateway_directory, polls_with_senseless_weights_or_addresses_are_not_listed) {
  GatewayDirectory directory(kTerm, kStart);
  PollThrough(directory, {"a"}, 0, 3'000);
  for (const double weight : {0.0, -1.0, 1e300, std::numeric_limits<double>::infinity(),
                              std::numeric_limits<double>::quiet_NaN()}) {
    directory.RecordPoll(PollOf("b", weight), At(3'000));
  }
  traffic::TrafficPoll long_address = PollOf("c");
  long_address.peer_address.assign(65, '1');
  directory.RecordPoll(long_address, At(3'000));
  cr_assert(List(directory, 3'000) == Names({"a"}));
  directory.RecordPoll(PollOf("a", std::nan("")), At(3'000));
  cr_assert(List(directory, 3'000).empty(), "A listed gateway that no longer states a weight.");
}

Test(gateway_directory, eleven_hundred_gateways_cost_a_poll_nothing_while_none_changes) {
  GatewayDirectory directory(kTerm, kStart);
  std::vector<std::string> gateways;
  for (int number = 0; number < 1'100; ++number) {
    gateways.push_back("g-" + std::to_string(number));
  }
  PollThrough(directory, gateways, 0, 3'000);
  const traffic::PeerUpdate whole = directory.UpdateSince({}, At(3'000));
  cr_assert_eq(whole.changed.size(), 1'100);
  PollThrough(directory, gateways, 3'500, 6'000);
  cr_assert(directory.UpdateSince(whole.version, At(6'000)) == traffic::PeerUpdate{});
}

// Between two polls of one gateway pass 500 ms and more: the leader took each for a time in which
// it stood still itself, and the killed gateway stayed listed for good.
Test(gateway_directory, killed_gateway_is_removed_when_only_one_other_polls) {
  GatewayDirectory directory(kTerm, kStart);
  PollThrough(directory, {"a", "b"}, 0, 3'000);
  for (std::int64_t ms = 3'510; ms <= 6'000; ms += 510) directory.RecordPoll(PollOf("a"), At(ms));
  cr_assert(List(directory, 6'000) == Names({"a"}));
}
