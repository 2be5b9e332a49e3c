#include <criterion/criterion.h>

#include <algorithm>
#include <map>

#include "testbed/caller/sender.h"
#include "testbed/caller/traffic.h"
#include "testbed/support/traffic_summary.h"

using graniteseam::InstantFromMicros;
using namespace graniteseam::testbed;

namespace {

constexpr std::int64_t kWallMs = 0x0190'0000'0000;
constexpr int kDraws = 20'000;

std::vector<Stream> Streams() {
  Stream keyed;
  keyed.group = "households";
  keyed.service = "readings";
  keyed.keyed = true;
  keyed.key_prefix = "m-";
  keyed.keys = 1'000;
  Stream operations;
  operations.group = "caretakers";
  operations.service = "shut-offs";
  operations.repeatable = false;
  return {keyed, operations};
}

TrafficSource Source(std::uint64_t seed) {
  return TrafficSource(Streams(), 1'000.0, seed, InstantFromMicros(0));
}

AnswerRecord ResultOf(const std::string& outcome, std::int64_t due, std::int64_t answered) {
  AnswerRecord answer;
  answer.deadline_us = 1'000'000;
  answer.outcome = outcome;
  answer.due_us = due;
  answer.answered_us = answered;
  return answer;
}

}  // namespace

Test(caller, same_seed_gives_the_same_requests) {
  auto left = Source(5);
  auto right = Source(5);
  auto other = Source(6);
  bool differs = false;
  for (int draw = 0; draw < 100; ++draw) {
    const auto request = left.Next(kWallMs);
    const auto same = right.Next(kWallMs);
    cr_assert(request.nonce == same.nonce && request.due == same.due && request.key == same.key);
    differs = differs || other.Next(kWallMs).nonce != request.nonce;
  }
  cr_assert(differs);
}

Test(caller, rate_and_hot_keys_are_as_asked_for) {
  auto source = Source(1);
  std::map<std::string, int> seen;
  PlannedRequest last;
  for (int draw = 0; draw < kDraws; ++draw) {
    last = source.Next(kWallMs);
    if (!last.key.empty()) ++seen[last.key];
  }
  const double seconds = static_cast<double>(graniteseam::ToMicros(last.due)) / 1e6;
  cr_assert(seconds > kDraws / 1'000.0 * 0.95 && seconds < kDraws / 1'000.0 * 1.05);
  // Zipf with exponent 1 over 1,000 keys: the hottest gets 13.4 % of the keyed half.
  const double hottest = static_cast<double>(seen["m-0"]) / (kDraws / 2.0);
  cr_assert(hottest > 0.11 && hottest < 0.16);
  cr_assert(seen["m-0"] > seen["m-1"]);
}

Test(caller, operation_ids_are_lower_case_uuids_of_version_7) {
  auto source = Source(1);
  for (int draw = 0; draw < 100; ++draw) {
    const auto request = source.Next(kWallMs);
    cr_assert(request.nonce.size() == 36);
    cr_assert(request.nonce.starts_with("01900000-0000-7"));
    cr_assert(std::string("89ab").find(request.nonce[19]) != std::string::npos);
    cr_assert(request.operation.empty() == Streams()[request.stream].repeatable);
  }
}

Test(caller, answer_of_another_request_or_a_part_of_one_is_noticed) {
  const Stream stream = Streams()[0];
  AnswerRecord sent;
  sent.nonce = "n";
  sent.key = "m-1";
  sent.service = "readings";
  const auto check = [&](const std::string& nonce, std::size_t padding) {
    auto answer = sent;
    CheckAnswerBody(R"({"nonce": ")" + nonce +
                        R"(", "key": "m-1", "operation": "", "service": "readings", "padding": ")" +
                        std::string(padding, 'x') + R"("})",
                    stream, answer);
    return answer;
  };
  const auto length = static_cast<std::size_t>(stream.padding);
  cr_assert(check("n", length).own && check("n", length).whole);
  cr_assert_not(check("other", length).own);
  cr_assert_not(check("n", length - 1).whole);
  auto cut = sent;
  CheckAnswerBody(R"({"nonce": )", stream, cut);
  cr_assert_not(cut.whole);
}

Test(caller, quantiles_are_within_the_resolution_of_the_histogram) {
  LatencyHistogram latencies;
  for (int millis = 1; millis <= 1'000; ++millis) latencies.Add(millis * 1'000);
  cr_assert(latencies.QuantileMs(0.5) > 490 && latencies.QuantileMs(0.5) < 510);
  cr_assert(latencies.QuantileMs(0.99) > 975 && latencies.QuantileMs(0.99) < 1'010);
}

Test(caller, unavailable_time_is_the_failed_part_of_each_window) {
  TrafficSummary summary;
  summary.Add(ResultOf("answered", 0, 1'000));
  summary.Add(ResultOf("not_run", 10, 1'000));
  summary.Add(ResultOf("answered", TrafficSummary::kWindowUs, TrafficSummary::kWindowUs + 10));
  cr_assert(summary.UnavailableMs() == 50.0);
  cr_assert(summary.answered() == 2 && summary.failed() == 1);
  summary.Add(ResultOf("answered", 10 * TrafficSummary::kWindowUs, 1'000'000'000));
  cr_assert(summary.failures().at("late") == 1);
}
