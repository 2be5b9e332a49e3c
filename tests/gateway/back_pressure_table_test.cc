// What servers state of the requests that they take, at one gateway and at many.
#include "src/gateway/back_pressure_table.h"

#include <criterion/criterion.h>

#include <algorithm>
#include <chrono>
#include <vector>

using namespace graniteseam;
using gateway::BackPressure;
using gateway::BackPressureTable;

namespace {

constexpr Instant kStart = InstantFromMicros(1'000'000'000);
const traffic::InstanceId kServer{"i-1"};

Instant At(std::int64_t ms) { return kStart + std::chrono::milliseconds(ms); }

BackPressure Limit(double per_second) {
  BackPressure pressure;
  pressure.limit_per_second = per_second;
  return pressure;
}

/// The most that so many gateways send a server within 4 s by tokens of their own, after a time in
/// which none was asked for.
std::size_t MostByOwnTokens(std::uint32_t gateways, double limit, double part) {
  std::vector<BackPressureTable> tables;
  for (std::uint32_t seed = 1; seed <= gateways; ++seed) {
    tables.emplace_back(seed).set_gateways(gateways);
    tables.back().apply(kServer, Limit(limit), true, kStart);
  }
  std::vector<std::int64_t> sent;
  for (std::int64_t ms = 60'000; ms < 90'000; ms += 20) {
    for (BackPressureTable& table : tables) {
      if (!table.has_own_token(kServer, part, At(ms))) continue;
      table.note_sent(kServer, At(ms));
      sent.push_back(ms);
    }
  }
  std::size_t most = 0;
  for (auto from = sent.begin(); from != sent.end(); ++from) {
    const auto past = std::lower_bound(from, sent.end(), *from + 4'000);
    most = std::max(most, static_cast<std::size_t>(past - from));
  }
  return most;
}

}  // namespace

/// Guards against a limit that each gateway keeps to by itself, and that all of them exceed.
Test(back_pressure_table, own_tokens_of_all_gateways_keep_to_the_limit) {
  for (const std::uint32_t gateways : {3U, 11U, 90U, 984U}) {
    for (const double limit : {0.5, 2.0, 5.2, 20.0}) {
      const auto most = static_cast<double>(MostByOwnTokens(gateways, limit, 0.5));
      cr_assert_leq(most, 6 * limit + 5, "%u gateways, limit %.1f: %.0f", gateways, limit, most);
    }
  }
}

Test(back_pressure_table, limit_ends_with_a_request_that_ran_and_was_answered_without_one) {
  BackPressureTable table(1);
  table.apply(kServer, Limit(5), true, At(0));
  table.apply(kServer, {}, false, At(10));
  cr_assert(table.is_limited(kServer), "turned away");
  BackPressure unreadable;
  unreadable.unreadable = true;
  table.apply(kServer, unreadable, true, At(20));
  cr_assert(table.is_limited(kServer), "it still states something");
  const auto changes = table.apply(kServer, {}, true, At(30));
  cr_assert(!table.is_limited(kServer));
  cr_assert_eq(changes.size(), 1);
  cr_assert(changes.front().what == "limit_ended");
}

/// Guards against gateways that hold to a limit whose end others heard.
Test(back_pressure_table, word_that_any_gateway_heard_last_counts) {
  BackPressureTable table(1);
  table.apply(kServer, Limit(5), true, At(0));
  table.apply({kServer, 0, 2'000}, At(1'000));
  cr_assert(table.is_limited(kServer), "an older word");
  table.apply({kServer, 0, 200}, At(1'000));
  cr_assert(!table.is_limited(kServer));
}

Test(back_pressure_table, control_is_told_of_each_word_once) {
  BackPressureTable table(1);
  table.apply(kServer, Limit(5), true, At(0));
  const auto add_to_poll = [&](std::int64_t ms) {
    traffic::TrafficPoll poll;
    table.add_to_poll(poll, At(ms));
    return poll.limits;
  };
  cr_assert(table.has_unreported_changes());
  cr_assert_eq(add_to_poll(300).size(), 1);
  cr_assert(!table.has_unreported_changes() && add_to_poll(800).empty());
  table.apply(kServer, {}, true, At(900));
  const auto told = add_to_poll(1'300);
  cr_assert_eq(told.size(), 1);
  cr_assert_eq(told.front().requests_per_second, 0);
  cr_assert_eq(told.front().heard_ms_ago, 400);
}

/// Guards against a rest that an answer on another connection ends, or a shorter one cuts.
Test(back_pressure_table, rest_lasts_for_its_time_and_a_leaving_for_good) {
  BackPressureTable table(1);
  BackPressure rest;
  rest.rest = std::chrono::seconds(3);
  table.apply(kServer, rest, false, At(0));
  table.apply(kServer, {}, true, At(100));
  rest.rest = std::chrono::seconds(1);
  table.apply(kServer, rest, false, At(200));
  cr_assert(table.back_off_until(kServer) >= At(3'000));
  cr_assert(table.back_off_until(kServer) < At(3'100));
  BackPressure leaving;
  leaving.leaving = true;
  table.apply(kServer, leaving, true, At(300));
  table.apply(kServer, {}, true, At(400));
  table.apply(kServer, leaving, true, At(500));
  cr_assert(table.leaving_since(kServer) == At(300));
}
