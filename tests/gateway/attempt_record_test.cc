// When a request's attempts prove that it has not run.
#include "src/gateway/attempt_record.h"

#include <criterion/criterion.h>

#include <type_traits>

#include "tests/gateway/gateway_fixture.h"

using namespace graniteseam;
using namespace graniteseam::gateway;
using namespace graniteseam::gateway::test;

// A refusal that promises can't be built without a proof, nor a proof without a record.
static_assert(!std::is_default_constructible_v<NotRunProof>);
static_assert(!std::is_aggregate_v<NotRunProof>);
static_assert(!std::is_default_constructible_v<Refuse>);
static_assert(!std::is_constructible_v<Refuse, RequestNumber, int, RefusalReason>);

Test(attempt_record, nothing_sent_proves_that_nothing_ran) { cr_assert(AttemptRecord().not_run()); }

Test(attempt_record, attempt_in_flight_leaves_no_proof) {
  AttemptRecord record;
  record.begin({"s-1"}, At(0));
  cr_assert(!record.not_run());
  cr_assert(!record.ended_may_have_run());
}

Test(attempt_record, only_attempts_that_did_not_run_leave_the_proof) {
  for (auto const end : {AttemptEnd::kAnswered, AttemptEnd::kNotExecuted, AttemptEnd::kNotSent,
                         AttemptEnd::kLost, AttemptEnd::kUnusable}) {
    AttemptRecord record;
    record.begin({"s-1"}, At(0));
    record.end(end);
    auto const proven = end == AttemptEnd::kNotExecuted || end == AttemptEnd::kNotSent;
    cr_assert_eq(record.not_run().has_value(), proven, "%s", std::string(EndName(end)).c_str());
  }
}

Test(attempt_record, abandoned_attempt_may_have_run) {
  AttemptRecord record;
  record.begin({"s-1"}, At(0));
  record.abandon();
  cr_assert(!record.not_run());
}

Test(attempt_record, proof_does_not_come_back_by_a_later_attempt) {
  AttemptRecord record;
  record.begin({"s-1"}, At(0));
  record.end(AttemptEnd::kLost);
  record.begin({"s-2"}, At(5));
  record.end(AttemptEnd::kNotExecuted);
  cr_assert(!record.not_run());
}

Test(attempt_record, attempts_are_numbered_and_described) {
  AttemptRecord record;
  cr_assert_eq(record.describe(), "none");
  cr_assert_eq(record.begin({"s-1"}, At(0)), 1U);
  record.end(AttemptEnd::kNotSent);
  cr_assert_eq(record.begin({"s-1"}, At(1)), 2U);
  cr_assert(record.is_open(2) && !record.is_open(1));
  cr_assert_eq(record.describe(), "not_sent 1, one open");
}

/// Guards against a stop that tells callers nothing of requests that certainly did not run, and
/// against one that promises too much.
Test(attempt_record, end_of_the_process_promises_what_the_attempts_prove) {
  Fixture fixture;
  auto const in_flight = Only<SendAttempt>(fixture.Request("/unsafe/x", 0));
  auto const rejected = Only<SendAttempt>(fixture.Request("/keyed/x", 0, 7));
  auto const waits = fixture.End(rejected, AttemptEnd::kNotExecuted, 503, 5);
  cr_assert(!Has<Refuse>(waits) && !Has<SendAttempt>(waits));
  auto const effects = fixture.node.EndAll(At(10));
  std::map<RequestNumber, int> statuses;
  for (auto const& action : effects.actions) {
    if (auto const* refusal = std::get_if<Refuse>(&action))
      statuses[refusal->request] = refusal->status;
  }
  cr_assert_eq(statuses.size(), 2U);
  cr_assert_eq(statuses[in_flight.request], 502);
  cr_assert_eq(statuses[rejected.request], 503);
}
