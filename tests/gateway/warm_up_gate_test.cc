/// @file
/// A zone's instances come back cold at the same moment, and 76 gateways find them idle.
///
/// The bound must hold in each second, summed over all gateways, whatever each of them knows: 8
/// requests for an instance, as many as every such instance bears beyond its rate.

#include "src/gateway/warm_up_gate.h"

#include <criterion/criterion.h>

#include <algorithm>
#include <numeric>
#include <random>
#include <set>
#include <vector>

using namespace graniteseam;
using namespace graniteseam::gateway;

namespace {

constexpr Instant kStart = InstantFromMicros(1'000'000'000);
constexpr Duration kSecond{1'000'000};
constexpr Duration kStep{20'000};
constexpr Duration kPollInterval{500'000};
constexpr std::uint32_t kGateways = 76;
constexpr double kBound = 8;

/// Gateways that all want to send to one instance all the time, and poll at the same instants.
struct Senders {
  explicit Senders(std::uint32_t count) : gateways(count, WarmUpGate(kBound)), places(count) {}

  /// All have had their places for long enough.
  void PlaceInOrder() {
    const auto count = static_cast<std::uint32_t>(gateways.size());
    for (std::uint32_t place = 0; place < count; ++place) places[place] = {place, count};
    Poll(kStart - 2 * kSecond);
  }

  void Poll(Instant now) {
    for (std::size_t number = 0; number < gateways.size(); ++number) {
      gateways[number].set_place(places[number], now, now);
    }
  }

  void Send(const traffic::InstanceId& instance, Instant now) {
    for (WarmUpGate& gateway : gateways) {
      if (!gateway.admits(instance, now)) continue;
      gateway.note_sent(instance, now);
      sent.insert(now);
    }
    sent.erase(sent.begin(), sent.upper_bound(now - kSecond));
    most = std::max(most, sent.size());
  }

  void SendFor(Duration length, const traffic::InstanceId& instance, Instant& now) {
    for (const Instant end = now + length; now < end; now += kStep) {
      if ((now - kStart) % kPollInterval == Duration{0}) Poll(now);
      Send(instance, now);
    }
  }

  std::vector<WarmUpGate> gateways;
  std::vector<GatewayPlace> places;  ///< As the answers to their polls assign them.
  std::multiset<Instant> sent;       ///< Within the last second.
  std::size_t most = 0;              ///< The most requests that fell into one second.
};

}  // namespace

Test(warm_up_gate, half_of_the_bound_is_given_out_and_used) {
  for (int number = 0; number < 50; ++number) {
    Senders senders(kGateways);
    senders.PlaceInOrder();
    Instant now = kStart;
    senders.SendFor(3 * kSecond, {"i-" + std::to_string(number)}, now);
    cr_assert(senders.most == kBound / 2, "%zu requests in one second", senders.most);
  }
}

Test(warm_up_gate, bound_holds_while_places_change_and_not_all_gateways_know) {
  std::mt19937_64 random(7);
  for (int round = 0; round < 200; ++round) {
    Senders senders(kGateways);
    senders.PlaceInOrder();
    const traffic::InstanceId instance{"i-" + std::to_string(round)};
    Instant now = kStart;
    senders.SendFor(kSecond, instance, now);
    // One gateway is gone, so that those behind it move up; some hear of it and some never do.
    const auto gone = static_cast<std::uint32_t>(random() % kGateways);
    for (std::uint32_t place = 0; place < kGateways; ++place) {
      if (random() % 2 == 0) continue;
      senders.places[place] = {place > gone ? place - 1 : place, kGateways - 1};
    }
    senders.SendFor(2 * kSecond, instance, now);
    cr_assert(senders.most <= kBound, "%zu requests in one second", senders.most);
  }
}

/// Guards against gateways that each send at once whenever their place changes: while others join,
/// it does so with each answer to a poll.
Test(warm_up_gate, bound_holds_while_gateways_join_one_after_the_other) {
  constexpr std::uint32_t kJoining = 14;
  std::mt19937_64 random(7);
  const auto random_time = [&](Duration below) {
    return Duration(
        static_cast<std::int64_t>(random() % static_cast<std::uint64_t>(below.count())));
  };
  for (int round = 0; round < 200; ++round) {
    Senders senders(kGateways + kJoining);
    const auto count = static_cast<std::uint32_t>(senders.gateways.size());
    std::vector<std::uint32_t> ids(count);
    std::iota(ids.begin(), ids.end(), 0);
    std::shuffle(ids.begin(), ids.end(), random);
    std::vector<Instant> next_polls;
    for (std::uint32_t number = 0; number < count; ++number) {
      const bool joins = number >= kGateways;
      next_polls.push_back(kStart + (joins ? kSecond + random_time(kSecond) : Duration{0}));
    }
    std::set<std::uint32_t> polled(ids.begin(), ids.begin() + kGateways);
    for (Instant now = kStart; now < kStart + 5 * kSecond; now += kStep) {
      for (std::uint32_t number = 0; number < count; ++number) {
        if (now < next_polls[number]) continue;
        next_polls[number] = now + (now == kStart ? random_time(kPollInterval) : kPollInterval);
        // A place is the rank among the gateways that have polled.
        const auto found = polled.insert(ids[number]).first;
        const auto place = static_cast<std::uint32_t>(std::distance(polled.begin(), found));
        const auto known = static_cast<std::uint32_t>(polled.size());
        senders.gateways[number].set_place({place, known}, now, now);
      }
      senders.Send({"i-" + std::to_string(round)}, now);
    }
    cr_assert(senders.most <= kBound, "%zu requests in one second", senders.most);
    cr_assert(!senders.sent.empty(), "it is used again once places stay");
  }
}

/// Guards against gateways that hold places of different times while they are cut from control.
Test(warm_up_gate, gateway_whose_place_is_out_of_date_sends_nothing) {
  WarmUpGate gateway(kBound);
  gateway.set_place({0, 1}, kStart, kStart);
  cr_assert(!gateway.admits({"i-1"}, kStart), "others may have sent by the former places");
  gateway.set_place({0, 1}, kStart + kPollInterval, kStart + kPollInterval);
  cr_assert(gateway.admits({"i-1"}, kStart + 2 * kPollInterval + kStep));
  cr_assert(!gateway.admits({"i-1"}, kStart + 4 * kPollInterval));
}

Test(warm_up_gate, gateway_that_was_told_no_place_sends_nothing) {
  WarmUpGate gateway(kBound);
  cr_assert(!gateway.admits({"i-1"}, kStart));
}

Test(warm_up_gate, without_a_bound_everything_is_let_through) {
  WarmUpGate gateway(0);
  cr_assert(!gateway.is_bounded() && gateway.admits({"i-1"}, kStart));
}
