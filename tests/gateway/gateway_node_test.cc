#include "src/gateway/gateway_node.h"

#include <criterion/criterion.h>

#include <map>

#include "tests/gateway/gateway_fixture.h"

using namespace graniteseam;
using namespace graniteseam::gateway;
using namespace graniteseam::gateway::test;
using traffic::RouteKind;

Test(gateway_node, without_a_configuration_nothing_is_known_not_to_exist) {
  Fixture fixture(false);
  cr_assert(!fixture.node.Ready());
  cr_assert(fixture.Request("/safe/x", 0).actions.empty());
  cr_assert(fixture.node.Tick(At(799)).actions.empty());
  const auto refused = Only<Refuse>(fixture.node.Tick(At(800)));
  cr_assert(refused.status == 503 && refused.reason == RefusalReason::kNoConfiguration);
  cr_assert(refused.retry_after.has_value());
}

Test(gateway_node, requests_read_before_the_first_configuration_are_routed_by_it) {
  Fixture fixture(false);
  fixture.Request("/safe/x", 0);
  fixture.Request("/nowhere/x", 1);
  fixture.node.OnCallerGone({fixture.numbers}, At(2));
  const auto sent = Only<SendAttempt>(fixture.node.OnUpdate(Fixture::State(), At(300)));
  cr_assert(sent.request.value == 1);
  // The route's second counts from the arrival.
  cr_assert(sent.time_left == Duration{700'000});
}

Test(gateway_node, longest_prefix_of_the_host_wins_and_unknown_routes_are_not_found) {
  Fixture fixture;
  auto update = Fixture::NextState();
  update.routes = {MakeRoute("safe/deeper", RouteKind::kSafe, "keyed")};
  fixture.node.OnUpdate(update, At(0));
  cr_assert(Only<SendAttempt>(fixture.Request("/safe/deeper/x", 1, 7)).instance.value == "k-1");
  cr_assert(Only<SendAttempt>(fixture.Request("/safe/deepe", 1)).instance.value.front() == 'p');
  cr_assert(Only<Refuse>(fixture.Request("/nothing/x", 1)).status == 404);
}

Test(gateway_node, unsafe_request_that_was_lost_is_never_sent_again) {
  Fixture fixture;
  for (const AttemptEnd end : {AttemptEnd::kLost, AttemptEnd::kUnusable}) {
    const auto send = Only<SendAttempt>(fixture.Request("/unsafe/x", 0));
    const auto effects = fixture.End(send, end, 0, 50);
    cr_assert(!Has<SendAttempt>(effects));
    cr_assert(Only<Refuse>(effects).status == 502);
  }
}

Test(gateway_node, unsafe_request_that_did_not_run_goes_to_another_server) {
  Fixture fixture;
  const auto first = Only<SendAttempt>(fixture.Request("/unsafe/x", 0));
  const auto second = Only<SendAttempt>(fixture.End(first, AttemptEnd::kNotExecuted, 503, 5));
  cr_assert(second.instance != first.instance);
  // Two servers at most: the next word that it did not run is passed on as a refusal.
  const auto refused = Only<Refuse>(fixture.End(second, AttemptEnd::kNotExecuted, 503, 10));
  cr_assert(refused.status == 503);
  cr_assert(refused.retry_after.has_value());
}

Test(gateway_node, promise_without_its_mark_is_not_passed_on) {
  Fixture fixture;
  for (const int status : {408, 421, 429, 503}) {
    const auto send = Only<SendAttempt>(fixture.Request("/unsafe/x", 0));
    const auto effects = fixture.End(send, AttemptEnd::kAnswered, status, 20);
    cr_assert(!Has<RelayAnswer>(effects));
    cr_assert(Only<Refuse>(effects).status == 502);
  }
}

Test(gateway_node, safe_request_is_sent_again_after_a_loss_and_answers_are_relayed) {
  Fixture fixture;
  const auto first = Only<SendAttempt>(fixture.Request("/safe/x", 0));
  const auto second = Only<SendAttempt>(fixture.End(first, AttemptEnd::kLost, 0, 30));
  cr_assert(second.instance != first.instance);
  cr_assert(second.time_left < first.time_left);
  cr_assert(Has<RelayAnswer>(fixture.End(second, AttemptEnd::kAnswered, 200, 90)));
  cr_assert(fixture.node.requests() == 0);
}

Test(gateway_node, connection_that_failed_costs_no_attempt_and_no_budget) {
  Fixture fixture;
  auto send = Only<SendAttempt>(fixture.Request("/unsafe/x", 0));
  send = Only<SendAttempt>(fixture.End(send, AttemptEnd::kNotSent, 0, 1));
  send = Only<SendAttempt>(fixture.End(send, AttemptEnd::kNotExecuted, 503, 2));
  cr_assert(Has<RelayAnswer>(fixture.End(send, AttemptEnd::kAnswered, 200, 80)));
}

Test(gateway_node,
     at_its_timeout_a_request_that_was_sent_ends_as_unknown_and_its_attempt_is_abandoned) {
  Fixture fixture;
  const auto send = Only<SendAttempt>(fixture.Request("/unsafe/x", 0));
  cr_assert(!Has<Refuse>(fixture.node.Tick(At(999))));
  const auto effects = fixture.node.Tick(At(1'000));
  cr_assert(Only<Refuse>(effects).status == 504);
  cr_assert(Only<AbandonAttempt>(effects).attempt == send.attempt);
  cr_assert(fixture.node.requests() == 0);
}

Test(gateway_node, caller_that_left_is_followed_at_the_server) {
  Fixture fixture;
  const auto send = Only<SendAttempt>(fixture.Request("/safe/x", 0));
  const auto effects = fixture.node.OnCallerGone(send.request, At(10));
  cr_assert(Only<AbandonAttempt>(effects).request == send.request);
  cr_assert(!Has<Refuse>(effects));
}

Test(gateway_node, full_servers_hold_requests_for_a_part_of_the_target_then_refuse_them) {
  Fixture fixture;
  int sent = 0;
  while (Has<SendAttempt>(fixture.Request("/safe/x", 0)) && sent < 100) ++sent;
  cr_assert(sent < 100);
  // The target is 200 ms: refused within a quarter of it, on the caller's clock.
  cr_assert(!Has<Refuse>(fixture.node.Tick(At(39))));
  const auto refused = Only<Refuse>(fixture.node.Tick(At(40)));
  cr_assert(refused.status == 503);
  // The caller waits for 2 s: it is told to come back with most of that left.
  cr_assert(*refused.retry_after == Duration{490'000});
  cr_assert(refused.reason == RefusalReason::kOverloaded);
}

Test(gateway_node, key_on_its_way_waits_for_its_next_owner) {
  Fixture fixture;
  auto update = Fixture::NextState();
  update.routes.clear();
  update.ranges[0].phase = traffic::RangePhase::kReleasing;
  fixture.node.OnUpdate(update, At(0));
  cr_assert(!Has<SendAttempt>(fixture.Request("/keyed/x", 1, 9)));
  update.base = 11;
  update.version = 12;
  update.ranges[0].phase = traffic::RangePhase::kServing;
  update.ranges[0].owner = {"k-2"};
  cr_assert(Only<SendAttempt>(fixture.node.OnUpdate(update, At(40))).instance.value == "k-2");
}

Test(gateway_node, older_state_is_never_taken) {
  Fixture fixture;
  auto older = Fixture::State();
  older.version = 9;
  older.routes.clear();
  fixture.node.OnUpdate(older, At(0));
  cr_assert(fixture.node.version() == 10);
  cr_assert(Has<SendAttempt>(fixture.Request("/safe/x", 1)));
  auto gap = Fixture::State();
  gap.base = 12;
  gap.version = 13;
  fixture.node.OnUpdate(gap, At(2));
  cr_assert(fixture.node.version() == 10);
}

Test(gateway_node, keyed_request_without_a_key_is_a_bad_request) {
  Fixture fixture;
  cr_assert(Only<Refuse>(fixture.Request("/keyed/x", 0)).status == 400);
  cr_assert(Only<Refuse>(fixture.Request("/keyed/x", 0, 65'536)).status == 400);
}

Test(gateway_node, parts_of_a_split_follow_their_weights) {
  Fixture fixture;
  auto update = Fixture::NextState();
  update.routes[0].split = {{{"pool"}, 75}, {{"keyed"}, 25}};
  fixture.node.OnUpdate(update, At(0));
  std::map<char, int> counts;
  for (int request = 0; request < 100; ++request) {
    const auto send = Only<SendAttempt>(fixture.Request("/safe/x", request, 1));
    ++counts[send.instance.value.front()];
    fixture.End(send, AttemptEnd::kAnswered, 200, request);
  }
  cr_assert(counts['p'] == 75 && counts['k'] == 25);
}

Test(gateway_node, owner_that_disowns_a_key_is_left_alone_until_the_map_changes) {
  Fixture fixture;
  const auto send = Only<SendAttempt>(fixture.Request("/keyed/x", 0, 9));
  cr_assert(!Has<SendAttempt>(fixture.EndAsNotOwner(send, 5)));
  // Others for the same keys do not ask it either: each would cost a repetition.
  cr_assert(!Has<SendAttempt>(fixture.Request("/keyed/x", 6, 10)));
  const auto refused = Only<Refuse>(fixture.node.Tick(At(45)));
  cr_assert(refused.reason == RefusalReason::kStaleOwner);
  cr_assert(*refused.retry_after < Duration{50'000}, "another gateway may know more");

  auto update = Fixture::NextState();
  update.ranges[0].owner = {"k-2"};
  update.ranges[0].fence = {11};
  cr_assert(Only<SendAttempt>(fixture.node.OnUpdate(update, At(46))).instance.value == "k-2");
}

/// Guards against requests that get no answer at all: their hold ended before their next try was
/// due, and no timer was left.
Test(gateway_node,
     request_that_an_owner_turned_away_is_answered_where_its_hold_ends_before_its_next_try) {
  Fixture fixture;
  auto update = Fixture::NextState();
  update.routes = {MakeRoute("keyed", traffic::RouteKind::kSafe, "keyed")};
  update.routes[0].target_latency_ms = 100;
  fixture.node.OnUpdate(update, At(0));
  const auto send = Only<SendAttempt>(fixture.Request("/keyed/x", 0, 9));
  fixture.EndAsNotOwner(send, 5);
  bool refused = false;
  for (Instant tick = fixture.node.NextTick(); !refused && tick <= At(100);
       tick = fixture.node.NextTick()) {
    refused = Has<Refuse>(fixture.node.Tick(tick));
  }
  cr_assert(refused);
}

Test(gateway_node, owner_that_fails_is_left_alone_for_longer_each_time_and_soon_asked_again) {
  Fixture fixture;
  // One lost answer is sent again; it says nothing of the owner.
  const auto first = Only<SendAttempt>(fixture.Request("/keyed/x", 0, 7));
  fixture.End(first, AttemptEnd::kLost, 0, 1);
  const auto second = Only<SendAttempt>(fixture.node.Tick(At(40)));
  fixture.End(second, AttemptEnd::kLost, 0, 41);
  // More of them do: after the fourth, it is left alone for four times its 80 ms, give or take
  // half.
  for (const std::int64_t ms : {200, 600}) {
    fixture.End(Only<SendAttempt>(fixture.Request("/keyed/x", ms, 7)), AttemptEnd::kLost, 0,
                ms + 1);
    // It would be sent again; its caller does not wait for that.
    fixture.node.OnCallerGone({fixture.numbers}, At(ms + 2));
  }
  const auto early = fixture.Request("/keyed/x", 660, 7);
  cr_assert(!Has<SendAttempt>(early) && !Has<Refuse>(early), "it waits for its only server");
  std::int64_t ms = 661;
  GatewayEffects effects;
  for (; ms < 1'200 && effects.actions.empty(); ++ms) effects = fixture.node.Tick(At(ms));
  const auto again = Only<SendAttempt>(effects);
  cr_assert(ms > 601 + 160 && ms <= 601 + 480 + 26, "asked again after %lld ms",
            static_cast<long long>(ms - 601));
  fixture.End(again, AttemptEnd::kAnswered, 200, 1'240);
  cr_assert(Has<SendAttempt>(fixture.Request("/keyed/x", 1'241, 7)), "a success ends it");
}

Test(gateway_node, keys_without_an_owner_are_waited_for_less_than_half_of_the_callers_time) {
  Fixture fixture;
  fixture.node.OnUpdate(Fixture::LossOfOwner(), At(0));
  cr_assert(fixture.Request("/keyed/x", 0, 7).actions.empty());
  GatewayEffects effects;
  std::int64_t ms = 1;
  for (; ms < 1'000 && effects.actions.empty(); ++ms) effects = fixture.node.Tick(At(ms));
  const auto refused = Only<Refuse>(effects);
  cr_assert(refused.status == 503 && refused.reason == RefusalReason::kNoOwner);
  cr_assert(refused.retry_after.has_value());
  cr_assert(ms > 790 && ms < 810, "refused after %lld ms", static_cast<long long>(ms));
}

Test(gateway_node, requests_that_can_be_answered_in_time_go_before_late_ones) {
  Fixture fixture;
  auto update = Fixture::LossOfOwner();
  fixture.node.OnUpdate(update, At(0));
  fixture.Request("/keyed/x", 0, 7);
  const std::uint64_t late = fixture.numbers;
  // Its target of 200 ms has passed; the slots of the owner are few.
  for (std::int64_t ms = 300; ms < 303; ++ms) fixture.Request("/keyed/x", ms, 7);
  update.base = 11;
  update.version = 12;
  update.ranges[0].phase = traffic::RangePhase::kServing;
  update.ranges[0].owner = {"k-2"};
  update.ranges[0].fence = {12};
  const auto effects = fixture.node.OnUpdate(update, At(310));
  cr_assert(Has<SendAttempt>(effects));
  for (const GatewayEffect& effect : effects.actions) {
    const auto* sent = std::get_if<SendAttempt>(&effect);
    cr_assert(sent == nullptr || sent->request.value != late, "the late one was sent first");
  }
}

Test(gateway_node, owner_that_drains_for_long_gets_nothing_though_its_keys_have_not_moved) {
  Fixture fixture;
  fixture.node.OnUpdate(Fixture::DrainOfOwner(), At(0));
  // No control process leads: nobody moves the keys.
  cr_assert(Has<SendAttempt>(fixture.Request("/keyed/x", 900, 1)));
  cr_assert(!Has<SendAttempt>(fixture.Request("/keyed/x", 1'000, 2)));
}

Test(gateway_node, drain_that_is_heard_of_late_may_have_begun_when_control_was_last_heard) {
  Fixture fixture;
  fixture.node.OnUpdate(Fixture::DrainOfOwner(), At(3'000));
  cr_assert(!Has<SendAttempt>(fixture.Request("/keyed/x", 3'001, 1)));
}

// A machine that was suspended wakes with what came to it meanwhile before its timers are looked
// at: requests whose callers have long gone were sent to servers, as if time were left.
Test(gateway_node, request_whose_time_is_over_is_not_sent_when_the_machine_wakes) {
  Fixture fixture;
  fixture.node.OnUpdate(Fixture::LossOfOwner(), At(0));
  cr_assert(fixture.Request("/keyed/x", 1, 7).actions.empty());
  auto owned = Fixture::NextState();
  owned.base = 11;
  owned.version = 12;
  const auto effects = fixture.node.OnUpdate(owned, At(5'000));
  cr_assert(!Has<SendAttempt>(effects));
  const auto refused = Only<Refuse>(effects);
  cr_assert(refused.status == 503 && refused.reason == RefusalReason::kDeadline);
}

/// A route that is not here may have been added meanwhile: only a gateway that a leader confirmed
/// lately says that there is none.
Test(gateway_node, unknown_route_is_not_denied_by_a_gateway_that_no_leader_confirmed_lately) {
  Fixture fixture;
  cr_assert(Only<Refuse>(fixture.Request("/nothing/x", 1'000)).status == 404);
  const auto unsure = Only<Refuse>(fixture.Request("/nothing/x", 2'000));
  cr_assert(unsure.status == 503 && unsure.reason == RefusalReason::kUnconfirmed);
  cr_assert(unsure.retry_after.has_value());
  const auto poll = fixture.node.TakePoll(At(2'100));
  traffic::TrafficUpdate answer;
  answer.sequence = poll.sequence;
  answer.base = answer.version = fixture.node.version();
  answer.configuration = fixture.node.configuration();
  fixture.node.OnUpdate(answer, At(2'400));
  cr_assert(Only<Refuse>(fixture.Request("/nothing/x", 2'500)).status == 404);
  // The answer proves what was so when the poll was sent, and no more.
  cr_assert(Only<Refuse>(fixture.Request("/nothing/x", 3'800)).status == 503);
}

Test(gateway_node, answer_to_an_older_poll_or_of_a_newer_configuration_confirms_nothing) {
  Fixture fixture;
  const auto poll = fixture.node.TakePoll(At(2'000));
  fixture.node.TakePoll(At(2'500));
  traffic::TrafficUpdate late;
  late.sequence = poll.sequence;
  late.base = late.version = fixture.node.version();
  late.configuration = fixture.node.configuration();
  fixture.node.OnUpdate(late, At(2'600));
  cr_assert(Only<Refuse>(fixture.Request("/nothing/x", 2'700)).status == 503);
  traffic::TrafficUpdate newer = late;
  newer.sequence = poll.sequence + 1;
  newer.base = newer.version = fixture.node.version() + 1;
  newer.configuration = {fixture.node.configuration().value + 1};
  fixture.node.OnUpdate(newer, At(2'700));
  cr_assert(Only<Refuse>(fixture.Request("/nothing/x", 2'800)).status == 503);
}

// Two requests of an unsafe route must not be in progress on one connection: its end would tell the
// caller to send one of them again that may have run.
Test(gateway_node, only_reads_of_repeatable_routes_run_beside_others) {
  Fixture fixture;
  cr_assert(fixture.node.MayRunBeside("A.example:8080", "/keyed/1", "GET"));
  cr_assert(fixture.node.MayRunBeside("A.example:8080", "/safe/1", "HEAD"));
  cr_assert_not(fixture.node.MayRunBeside("A.example:8080", "/safe/1", "POST"));
  cr_assert_not(fixture.node.MayRunBeside("A.example:8080", "/unsafe/1", "GET"));
  cr_assert_not(fixture.node.MayRunBeside("A.example:8080", "/unknown/1", "GET"));
}
