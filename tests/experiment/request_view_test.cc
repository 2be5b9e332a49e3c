#include "testbed/fleet_session/request_view.h"

#include <criterion/criterion.h>

#include <string>
#include <vector>

namespace {

using namespace graniteseam;           // NOLINT
using namespace graniteseam::testbed;  // NOLINT

/// A request to key "k" that was due at `due_ms` and had its last answer at `done_ms`.
AnswerRecord Answer(const std::string& nonce, const std::string& outcome, std::int64_t due_ms,
                    std::int64_t done_ms, std::uint32_t sending = 1) {
  AnswerRecord answer;
  answer.nonce = nonce;
  answer.service = "transcripts";
  answer.key = "k";
  answer.sending = sending;
  answer.due_us = due_ms * 1'000;
  answer.answered_us = done_ms * 1'000;
  answer.deadline_us = 2'000'000;
  answer.outcome = outcome;
  return answer;
}

ShardId OnlyShard(const std::string& service, const std::string&) {
  return {ServiceName{service}, 0};
}

std::vector<double> UnavailableOf(const std::vector<AnswerRecord>& answers) {
  const Disturbance span{1'000'000, 4'000'000, {OnlyShard("transcripts", "k")}};
  return UnavailableMs(RequestsOf(answers), {span}, OnlyShard, 100.0);
}

}  // namespace

Test(request_view, the_last_sending_decides) {
  const auto requests =
      RequestsOf({Answer("n", "answered", 0, 300, 2), Answer("n", "not_run", 0, 100, 1)});
  cr_assert_eq(requests.size(), 1);
  cr_assert(requests[0].answered);
  cr_assert_eq(requests[0].LatencyMs(), 300.0);
}

Test(request_view, a_late_answer_is_a_failed_request) {
  const auto requests = RequestsOf({Answer("n", "answered", 0, 2'001)});
  cr_assert_eq(FailedCount(requests), 1);
  cr_assert_eq(FailedCount(requests, "another"), 0);
  cr_assert_eq(FailuresOf(requests).at("transcripts: late"), 1);
}

Test(request_view, unavailable_until_the_last_delayed_request_is_done) {
  const auto lengths = UnavailableOf(
      {Answer("before", "answered", 900, 1'500), Answer("held", "answered", 1'100, 1'600),
       Answer("held-too", "answered", 1'200, 1'650), Answer("after", "answered", 3'000, 3'010)});
  cr_assert_eq(lengths, std::vector<double>{650.0},
               "neither what was due before nor what was quick");
}

Test(request_view, a_failed_request_counts_until_it_was_given_up) {
  cr_assert_eq(UnavailableOf({Answer("n", "not_run", 1'010, 1'020)}), std::vector<double>{20.0});
}

Test(request_view, shards_that_were_not_disturbed_do_not_count) {
  const auto requests = RequestsOf({Answer("n", "answered", 1'100, 1'600)});
  const Disturbance span{1'000'000, 4'000'000, {{ServiceName{"transcripts"}, 7}}};
  cr_assert(UnavailableMs(requests, {span}, OnlyShard, 100.0).empty());
}
