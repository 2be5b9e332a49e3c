// Which requests of one connection run in parallel, and in which order their responses leave.
#include "src/event_http/pipeline.h"

#include <criterion/criterion.h>

#include <string>

using namespace graniteseam::event_http;

namespace {

constexpr PipelineBounds kBounds{4, 100};

Response WithBody(std::string body) {
  Response response;
  response.body = std::move(body);
  return response;
}

}  // namespace

Test(pipeline, pipelined_reads_run_in_parallel_up_to_the_bound) {
  Pipeline pipeline(kBounds);
  for (std::size_t number = 0; number < kBounds.requests_maximum; ++number) {
    cr_assert(pipeline.Admits(true), "Request %zu is held back.", number);
    pipeline.Add(true, false);
  }
  cr_assert_not(pipeline.Admits(true));
  cr_assert_not(pipeline.MayParse());
}

Test(pipeline, request_that_may_not_run_beside_others_waits_for_them) {
  Pipeline pipeline(kBounds);
  const auto read = pipeline.Add(true, false);
  cr_assert_not(pipeline.Admits(false));
  pipeline.Finish(read, WithBody("a"));
  cr_assert_not(pipeline.Admits(false), "It begins before the response ahead of it is sent.");
  cr_assert(pipeline.TakeReady().has_value());
  cr_assert(pipeline.Admits(false));
}

Test(pipeline, request_that_may_not_run_beside_others_holds_back_what_follows) {
  Pipeline pipeline(kBounds);
  const auto order = pipeline.Add(false, false);
  cr_assert_not(pipeline.MayParse());
  cr_assert_not(pipeline.Admits(true));
  pipeline.Finish(order, WithBody("a"));
  cr_assert(pipeline.TakeReady().has_value());
  cr_assert(pipeline.Admits(true));
}

// A client sends again what it sent behind a response that ends the connection, whatever its kind:
// had it begun, it would run twice.
Test(pipeline, nothing_begins_behind_a_request_that_ends_the_connection) {
  Pipeline pipeline(kBounds);
  pipeline.Add(true, false);
  pipeline.Add(true, true);
  cr_assert_not(pipeline.MayParse());
  cr_assert_not(pipeline.Admits(true));
}

Test(pipeline, nothing_begins_behind_requests_of_which_the_last_was_made_to_end_the_connection) {
  Pipeline pipeline(kBounds);
  const auto first = pipeline.Add(true, false);
  const auto second = pipeline.Add(true, false);
  pipeline.EndWithLast();
  cr_assert_not(pipeline.Admits(true));
  pipeline.Finish(second, WithBody(""));
  pipeline.Finish(first, WithBody(""));
  cr_assert_not(pipeline.TakeReady()->ends_connection);
  cr_assert_not(pipeline.Admits(true));
  cr_assert(pipeline.TakeReady()->ends_connection);
}

Test(pipeline, responses_leave_in_the_order_of_the_requests) {
  Pipeline pipeline(kBounds);
  const auto first = pipeline.Add(true, false);
  const auto second = pipeline.Add(true, false);
  cr_assert(pipeline.Finish(second, WithBody("second")));
  cr_assert_not(pipeline.TakeReady().has_value());
  cr_assert(pipeline.Finish(first, WithBody("first")));
  auto ready = pipeline.TakeReady();
  cr_assert(ready && ready->response.body == "first" && !ready->last);
  ready = pipeline.TakeReady();
  cr_assert(ready && ready->response.body == "second" && ready->last);
  cr_assert(pipeline.empty());
}

// A client that does not read would otherwise fill the server's memory with finished responses.
Test(pipeline, finished_responses_beyond_the_bound_hold_back_further_requests) {
  Pipeline pipeline(kBounds);
  const auto slow = pipeline.Add(true, false);
  const auto large = pipeline.Add(true, false);
  pipeline.Finish(large, WithBody(std::string(kBounds.answer_bytes_maximum, 'x')));
  cr_assert_eq(pipeline.waiting_answer_bytes(), kBounds.answer_bytes_maximum);
  cr_assert_not(pipeline.Admits(true));
  pipeline.Finish(slow, WithBody(""));
  cr_assert(pipeline.TakeReady().has_value());
  cr_assert(pipeline.TakeReady().has_value());
  cr_assert(pipeline.Admits(true));
}

Test(pipeline, second_response_to_a_request_is_ignored) {
  Pipeline pipeline(kBounds);
  pipeline.Add(true, false);
  const auto second = pipeline.Add(true, false);
  cr_assert(pipeline.Finish(second, WithBody("a")));
  cr_assert_not(pipeline.IsOpen(second));
  cr_assert_not(pipeline.Finish(second, WithBody("b")));
  cr_assert_eq(pipeline.waiting_answer_bytes(), 1);
}

Test(pipeline, connection_that_ends_tells_each_open_request_once) {
  Pipeline pipeline(kBounds);
  std::string gone;
  const auto first = pipeline.Add(true, false);
  const auto second = pipeline.Add(true, false);
  const auto third = pipeline.Add(true, false);
  pipeline.SetGoneHandler(first, [&] { gone += "1"; });
  pipeline.SetGoneHandler(second, [&] { gone += "2"; });
  pipeline.SetGoneHandler(third, [&] { gone += "3"; });
  pipeline.Finish(second, WithBody("done"));
  for (const auto& handler : pipeline.Clear()) handler();
  cr_assert_eq(gone, std::string("13"));
  cr_assert(pipeline.empty());
  cr_assert_eq(pipeline.waiting_answer_bytes(), 0);
}
