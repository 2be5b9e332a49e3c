// A gateway heeds what servers state of the requests that they take.
#include <algorithm>
#include <map>
#include <string>
#include <vector>

#include "tests/gateway/gateway_fixture.h"

using namespace graniteseam;
using namespace graniteseam::gateway;
using namespace graniteseam::gateway::test;

namespace {

GatewayEffects EndStating(Fixture& fixture, const SendAttempt& send, AttemptEnd end, int status,
                          const BackPressure& pressure, std::int64_t ms) {
  AttemptReport report;
  report.request = send.request;
  report.attempt = send.attempt;
  report.end = end;
  report.status = status;
  report.pressure = pressure;
  return fixture.node.OnAttemptEnd(report, At(ms));
}

BackPressure Limit(double per_second) {
  BackPressure pressure;
  pressure.limit_per_second = per_second;
  return pressure;
}

/// A gateway that was told a limit by the owner of all keys.
void TellLimit(Fixture& fixture, double per_second) {
  const auto send = Only<SendAttempt>(fixture.Request("/keyed/x", 0, 7));
  EndStating(fixture, send, AttemptEnd::kAnswered, 200, Limit(per_second), 20);
}

BackPressure Leaving() {
  BackPressure pressure;
  pressure.leaving = true;
  return pressure;
}

/// One after State() in which an instance of the pool was displaced by a heartbeat of a former
/// process at its address.
traffic::TrafficUpdate Displaced(const traffic::InstanceId& id) {
  traffic::TrafficUpdate update = Fixture::NextState();
  update.instances = {MakeInstance(id.value, "pool")};
  update.instances[0].state = traffic::InstanceState::kDisplaced;
  return update;
}

/// The next one, in which it is listed again.
traffic::TrafficUpdate ListedAgain(const traffic::InstanceId& id) {
  traffic::TrafficUpdate update = Displaced(id);
  update.base = 11;
  update.version = 12;
  update.instances[0].state = traffic::InstanceState::kReady;
  return update;
}

/// Whether an instance of the pool gets any of many requests, of which several are under way at a
/// time, so that each server that takes any is needed.
bool GetsRequests(Fixture& fixture, const traffic::InstanceId& id, std::int64_t from_ms) {
  constexpr int kTogether = 4;
  for (std::int64_t ms = from_ms; ms < from_ms + 5'000; ms += 200) {
    std::vector<SendAttempt> sends;
    for (int i = 0; i < kTogether; ++i) {
      sends.push_back(Only<SendAttempt>(fixture.Request("/safe/x", ms)));
      if (sends.back().instance == id) return true;
    }
    for (const SendAttempt& send : sends) fixture.End(send, AttemptEnd::kAnswered, 200, ms + 100);
  }
  return false;
}

GatewayEffects GiveTokens(Fixture& fixture, const AskTokens& asked, std::uint32_t tokens,
                          std::int64_t ms) {
  traffic::TokenAnswer answer;
  answer.sequence = asked.request.sequence;
  for (const traffic::LimitTokenRequest& limited : asked.request.limited) {
    const std::int64_t wait_ms = tokens < limited.requests ? 200 : 0;
    answer.limited.push_back({limited.limit.instance, tokens, wait_ms});
  }
  return fixture.node.OnTokens(answer, At(ms));
}

}  // namespace

/// Guards against an owner that names a limit and is sent each request all the same.
Test(stated_limits, request_for_a_limited_owner_waits_for_a_token) {
  Fixture fixture;
  TellLimit(fixture, 5);
  const auto first = fixture.Request("/keyed/x", 100, 7);
  cr_assert(!Has<SendAttempt>(first));
  const auto asked = Only<AskTokens>(first);
  cr_assert_eq(asked.request.limited.size(), 1);
  cr_assert(asked.request.limited[0].limit.instance.value == "k-1");
  cr_assert_eq(asked.request.limited[0].limit.requests_per_second, 5);
  cr_assert_eq(asked.request.limited[0].limit.heard_ms_ago, 80);
  cr_assert(Has<SendAttempt>(GiveTokens(fixture, asked, 1, 105)));
}

/// Guards against holding back what can not be served.
Test(stated_limits, request_without_a_token_is_refused_at_once) {
  Fixture fixture;
  TellLimit(fixture, 5);
  const auto asked = Only<AskTokens>(fixture.Request("/keyed/x", 100, 7));
  const auto refused = Only<Refuse>(GiveTokens(fixture, asked, 0, 105));
  cr_assert(refused.reason == RefusalReason::kLimited);
  cr_assert(refused.status == 503 && refused.retry_after);
  // The leader's word holds for a moment: the next one need not ask.
  cr_assert(Only<Refuse>(fixture.Request("/keyed/x", 110, 7)).reason == RefusalReason::kLimited);
  cr_assert(Has<AskTokens>(fixture.Request("/keyed/x", 400, 7)));
}

Test(stated_limits, tokens_that_come_are_not_kept_for_later_requests) {
  Fixture fixture;
  TellLimit(fixture, 5);
  const auto asked = Only<AskTokens>(fixture.Request("/keyed/x", 100, 7));
  fixture.node.OnCallerGone({fixture.numbers}, At(102));
  GiveTokens(fixture, asked, 1, 105);
  cr_assert(!Has<SendAttempt>(fixture.Request("/keyed/x", 200, 7)));
}

Test(stated_limits, request_is_refused_when_no_leader_gives_tokens) {
  Fixture fixture;
  TellLimit(fixture, 0.1);
  cr_assert(Has<AskTokens>(fixture.Request("/keyed/x", 100, 7)));
  const auto refused = Only<Refuse>(fixture.node.Tick(At(151)));
  cr_assert(refused.reason == RefusalReason::kLimited);
}

/// Guards against gateways that hold to a limit whose end others heard.
Test(stated_limits, waiting_request_is_sent_when_another_gateway_heard_the_end) {
  Fixture fixture;
  TellLimit(fixture, 5);
  cr_assert(!Has<SendAttempt>(fixture.Request("/keyed/x", 100, 7)));
  traffic::TrafficHints hints;
  hints.limits = {{{"k-1"}, 0, 5}};
  cr_assert(Has<SendAttempt>(fixture.node.OnHints(hints, At(110))));
}

/// Guards against a limit that is heeded by one way of choosing a server and not by another: there
/// the last one that is left gets what the limit forbids.
Test(stated_limits, limited_servers_of_a_pool_leave_the_rest_to_others) {
  Fixture fixture;
  std::map<std::string, int> sent;
  for (std::int64_t ms = 0; ms < 20'000; ms += 50) {
    const auto effects = fixture.Request("/safe/x", ms);
    if (!Has<SendAttempt>(effects)) continue;
    const auto send = Only<SendAttempt>(effects);
    ++sent[send.instance.value];
    const bool limited = send.instance.value == "p-1";
    EndStating(fixture, send, AttemptEnd::kAnswered, 200, limited ? Limit(2) : BackPressure{},
               ms + 20);
  }
  cr_assert_leq(sent["p-1"], 30);
  cr_assert_geq(sent["p-1"], 10, "it takes what it can");
  cr_assert_geq(sent["p-2"], 350);
}

namespace {

BackPressure Rest(std::int64_t ms) {
  BackPressure pressure;
  pressure.rest = std::chrono::milliseconds(ms);
  return pressure;
}

}  // namespace

/// Guards against a request that is sent to an owner again 30 ms after that asked for rest.
Test(stated_limits, owner_that_asked_for_rest_gets_nothing_until_its_end) {
  Fixture fixture;
  const auto first = Only<SendAttempt>(fixture.Request("/keyed/x", 0, 7));
  const auto refused =
      Only<Refuse>(EndStating(fixture, first, AttemptEnd::kNotExecuted, 503, Rest(3'000), 10));
  cr_assert(refused.reason == RefusalReason::kResting);
  cr_assert_eq(refused.retry_after->count(), 1'000'000);
  const auto next = Only<Refuse>(fixture.Request("/keyed/x", 500, 7));
  cr_assert(next.reason == RefusalReason::kResting, "at once: it can't be served in its time");
  cr_assert(!Has<SendAttempt>(fixture.Request("/keyed/x", 3'005, 7)));
  cr_assert(Has<SendAttempt>(fixture.Request("/keyed/x", 3'030, 7)));
}

Test(stated_limits, request_whose_time_outlasts_the_rest_waits_for_its_end) {
  Fixture fixture;
  const auto first = Only<SendAttempt>(fixture.Request("/keyed/x", 0, 7));
  cr_assert(!Has<Refuse>(EndStating(fixture, first, AttemptEnd::kNotExecuted, 503, Rest(200), 10)));
  cr_assert(!Has<SendAttempt>(fixture.node.Tick(At(100))));
  cr_assert(Has<SendAttempt>(fixture.node.Tick(At(230))));
}

Test(stated_limits, server_of_a_pool_that_asked_for_rest_gets_nothing_until_its_end) {
  Fixture fixture;
  const auto first = Only<SendAttempt>(fixture.Request("/safe/x", 0));
  const auto other =
      Only<SendAttempt>(EndStating(fixture, first, AttemptEnd::kNotExecuted, 503, Rest(3'000), 10));
  cr_assert(other.instance != first.instance);
  EndStating(fixture, other, AttemptEnd::kNotExecuted, 503, Rest(2'000), 20);
  for (std::int64_t ms = 50; ms < 2'000; ms += 50) {
    fixture.Request("/safe/x", ms);
    cr_assert(!Has<SendAttempt>(fixture.node.Tick(At(ms + 45))), "%lld ms",
              static_cast<long long>(ms));
  }
  cr_assert(Only<SendAttempt>(fixture.Request("/safe/x", 2'050)).instance == other.instance);
}

/// Guards against a gateway that knows from a server's answers that it leaves, and not from
/// control.
Test(stated_limits, server_that_said_that_it_leaves_gets_nothing_soon) {
  Fixture fixture;
  BackPressure leaving;
  leaving.leaving = true;
  const auto pooled = Only<SendAttempt>(fixture.Request("/safe/x", 0));
  EndStating(fixture, pooled, AttemptEnd::kAnswered, 200, leaving, 20);
  const auto keyed = Only<SendAttempt>(fixture.Request("/keyed/x", 30, 7));
  EndStating(fixture, keyed, AttemptEnd::kAnswered, 200, leaving, 50);
  const auto while_keys_move = Only<SendAttempt>(fixture.Request("/keyed/x", 500, 7));
  EndStating(fixture, while_keys_move, AttemptEnd::kAnswered, 200, leaving, 520);
  for (std::int64_t ms = 1'100; ms < 5'000; ms += 100) {
    cr_assert(!Has<SendAttempt>(fixture.Request("/keyed/x", ms, 7)));
    const auto send = Only<SendAttempt>(fixture.Request("/safe/x", ms));
    cr_assert(send.instance != pooled.instance);
    fixture.End(send, AttemptEnd::kAnswered, 200, ms + 20);
  }
}

/// A failure that the owner answered is the caller's; no word of the gateway's takes its place.
Test(stated_limits, answer_of_an_owner_that_rests_is_passed_on) {
  Fixture fixture;
  const auto failed = Only<SendAttempt>(fixture.Request("/keyed/x", 0, 7));
  const auto turned_away = Only<SendAttempt>(fixture.Request("/keyed/x", 0, 7));
  EndStating(fixture, turned_away, AttemptEnd::kNotExecuted, 503, Rest(3'000), 10);
  cr_assert(Has<RelayAnswer>(fixture.End(failed, AttemptEnd::kAnswered, 500, 20)));
}

/// Guards against an announced shutdown that is forgotten when its instance is displaced for a
/// moment.
Test(stated_limits, server_that_leaves_gets_nothing_after_it_was_displaced_and_listed_again) {
  Fixture fixture;
  const auto send = Only<SendAttempt>(fixture.Request("/safe/x", 0));
  EndStating(fixture, send, AttemptEnd::kAnswered, 500, Leaving(), 20);
  fixture.node.OnUpdate(Displaced(send.instance), At(100));
  fixture.node.OnUpdate(ListedAgain(send.instance), At(200));
  cr_assert(!GetsRequests(fixture, send.instance, 2'100));
}

/// Guards against an announced shutdown that is forgotten when a complete update lacks its
/// instance.
Test(stated_limits, server_that_leaves_gets_nothing_after_a_complete_update_without_it) {
  Fixture fixture;
  const auto send = Only<SendAttempt>(fixture.Request("/safe/x", 0));
  EndStating(fixture, send, AttemptEnd::kAnswered, 200, Leaving(), 20);
  traffic::TrafficUpdate complete = Fixture::State();
  complete.version = 11;
  std::erase_if(complete.instances,
                [&](const auto& instance) { return instance.report.id == send.instance; });
  fixture.node.OnUpdate(complete, At(100));
  fixture.node.OnUpdate(ListedAgain(send.instance), At(200));
  cr_assert(!GetsRequests(fixture, send.instance, 2'100));
}

/// Guards against an announced shutdown that is not read, since the answer comes while its instance
/// is not listed.
Test(stated_limits, server_that_says_that_it_leaves_while_it_is_not_listed_gets_nothing) {
  Fixture fixture;
  const auto send = Only<SendAttempt>(fixture.Request("/safe/x", 0));
  fixture.node.OnUpdate(Displaced(send.instance), At(10));
  EndStating(fixture, send, AttemptEnd::kAnswered, 200, Leaving(), 20);
  fixture.node.OnUpdate(ListedAgain(send.instance), At(200));
  cr_assert(!GetsRequests(fixture, send.instance, 2'100));
}

/// Guards against a back-off that ends early, since its instance is displaced for a moment.
Test(stated_limits, server_that_backs_off_gets_nothing_after_it_was_displaced_and_listed_again) {
  Fixture fixture;
  const auto send = Only<SendAttempt>(fixture.Request("/safe/x", 0));
  EndStating(fixture, send, AttemptEnd::kNotExecuted, 503, Rest(6'000), 20);
  fixture.node.OnUpdate(Displaced(send.instance), At(100));
  fixture.node.OnUpdate(ListedAgain(send.instance), At(200));
  cr_assert(!GetsRequests(fixture, send.instance, 600));
}

/// Guards against an owner whose announced shutdown control does not hear of, so that its keys stay
/// without service until it ends.
Test(stated_limits, server_that_leaves_is_reported_until_it_is_known_to_drain) {
  Fixture fixture;
  const auto send = Only<SendAttempt>(fixture.Request("/keyed/x", 0, 7));
  EndStating(fixture, send, AttemptEnd::kAnswered, 200, Leaving(), 20);
  cr_assert(fixture.node.PollIsUrgent());
  for (const std::int64_t ms : {30, 530}) {
    const auto poll = fixture.node.TakePoll(At(ms));
    cr_assert_eq(poll.leaving.size(), 1);
    cr_assert(poll.leaving[0].value == "k-1");
  }
  fixture.node.OnUpdate(Fixture::DrainOfOwner(), At(600));
  cr_assert(fixture.node.TakePoll(At(1'030)).leaving.empty());
}
