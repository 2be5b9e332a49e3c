/// @file
/// A zone's instances come back cold at the same moment, and 76 gateways find them idle.
///
/// The bound must hold in each second, summed over all gateways, whatever each of them knows: 8
/// requests for an instance, as many as every such instance bears beyond its rate.

#include <criterion/criterion.h>

#include <algorithm>
#include <random>
#include <set>
#include <vector>

#include "src/gateway/warm_up_gate.h"

using namespace graniteseam;
using namespace graniteseam::gateway;

namespace {

constexpr Instant kStart = InstantFromMicros(1'000'000'000);
constexpr Duration kSecond{1'000'000};
constexpr Duration kStep{20'000};
constexpr std::uint32_t kGateways = 76;
constexpr double kBound = 8;

std::vector<WarmUpGate> Gateways() {
  return std::vector<WarmUpGate>(kGateways, WarmUpGate(kBound));
}

/// All gateways want to send all the time.
/// @return the most requests that fell into one second.
std::size_t MostInOneSecond(std::vector<WarmUpGate>& gateways, const traffic::InstanceId& instance,
                            Instant& now, Duration length) {
  std::multiset<Instant> sent;
  std::size_t most = 0;
  for (const Instant end = now + length; now < end; now += kStep) {
    for (WarmUpGate& gateway : gateways) {
      if (!gateway.admits(instance, now)) continue;
      gateway.note_sent(instance, now);
      sent.insert(now);
    }
    sent.erase(sent.begin(), sent.upper_bound(now - kSecond));
    most = std::max(most, sent.size());
  }
  return most;
}

}  // namespace

Test(warm_up_gate, half_of_the_bound_is_given_out_and_used) {
  for (int number = 0; number < 50; ++number) {
    auto gateways = Gateways();
    for (std::uint32_t place = 0; place < kGateways; ++place) {
      gateways[place].set_place({place, kGateways}, kStart);
    }
    Instant now = kStart;
    const auto most = MostInOneSecond(gateways, {"i-" + std::to_string(number)}, now, 3 * kSecond);
    cr_assert(most == kBound / 2, "%zu requests in one second", most);
  }
}

Test(warm_up_gate, bound_holds_while_places_change_and_not_all_gateways_know) {
  std::mt19937_64 random(7);
  for (int round = 0; round < 200; ++round) {
    auto gateways = Gateways();
    for (std::uint32_t place = 0; place < kGateways; ++place) {
      gateways[place].set_place({place, kGateways}, kStart);
    }
    const traffic::InstanceId instance{"i-" + std::to_string(round)};
    Instant now = kStart;
    std::size_t most = MostInOneSecond(gateways, instance, now, kSecond);
    // One gateway is gone, so that those behind it move up; some hear of it and some never do.
    const auto gone = static_cast<std::uint32_t>(random() % kGateways);
    for (std::uint32_t place = 0; place < kGateways; ++place) {
      if (random() % 2 == 0) continue;
      gateways[place].set_place({place > gone ? place - 1 : place, kGateways - 1}, now);
    }
    most = std::max(most, MostInOneSecond(gateways, instance, now, 2 * kSecond));
    cr_assert(most <= kBound, "%zu requests in one second", most);
  }
}

Test(warm_up_gate, gateway_that_was_told_no_place_sends_nothing) {
  WarmUpGate gateway(kBound);
  cr_assert(!gateway.admits({"i-1"}, kStart));
}

Test(warm_up_gate, without_a_bound_everything_is_let_through) {
  WarmUpGate gateway(0);
  cr_assert(!gateway.is_bounded() && gateway.admits({"i-1"}, kStart));
}
