// What a gateway does about a configuration that exists and does not arrive.
#include <criterion/criterion.h>

#include "tests/gateway/gateway_fixture.h"

using namespace graniteseam;
using namespace graniteseam::gateway;
using namespace graniteseam::gateway::test;

namespace {

/// A gateway with configuration 5.
struct LagFixture : Fixture {
  /// A leader answers a poll: it has this configuration.
  void LeaderHas(std::uint64_t configuration, std::int64_t ms) {
    traffic::TrafficUpdate answer;
    answer.sequence = node.TakePoll(At(ms)).sequence;
    answer.base = answer.version = node.version() + (configuration - node.configuration().value);
    answer.configuration = {configuration};
    node.OnUpdate(answer, At(ms));
  }

  /// A configuration arrives that moves the safe route to another service.
  void Arrives(std::uint64_t configuration, std::int64_t ms) {
    traffic::TrafficUpdate update;
    update.base = node.version();
    update.version = node.version() + 1;
    update.configuration = {configuration};
    update.routes = {MakeRoute("safe", traffic::RouteKind::kSafe, "keyed")};
    node.OnUpdate(update, At(ms));
  }

  /// Whether a request is sent to a server, which answers it at once.
  bool Sends(std::int64_t ms) {
    const auto effects = Request("/safe/x", ms, 7);
    if (!Has<SendAttempt>(effects)) return false;
    End(Only<SendAttempt>(effects), AttemptEnd::kAnswered, 200, ms);
    return true;
  }
};

}  // namespace

// A gateway ran requests by a route's former service for as long as its feed took, though each
// answer of the leader told it that a newer configuration was acknowledged.
Test(configuration_lag, route_that_was_replaced_long_ago_is_not_used) {
  LagFixture gateway;
  for (std::int64_t ms = 0; ms <= 2'500; ms += 500) gateway.LeaderHas(6, ms);
  const auto effects = gateway.Request("/safe/x", 2'600);
  cr_assert_not(Has<SendAttempt>(effects));
  const auto refusal = Only<Refuse>(effects);
  cr_assert_eq(refusal.status, 503);
  cr_assert(refusal.retry_after && *refusal.retry_after <= Duration{100'000},
            "another gateway may be up to date");
}

Test(configuration_lag, newer_configuration_may_take_some_time_to_arrive) {
  LagFixture gateway;
  for (std::int64_t ms = 0; ms <= 1'500; ms += 500) gateway.LeaderHas(6, ms);
  cr_assert(gateway.Sends(1'900));
}

Test(configuration_lag, gateway_serves_again_as_soon_as_the_configuration_is_there) {
  LagFixture gateway;
  for (std::int64_t ms = 0; ms <= 2'500; ms += 500) gateway.LeaderHas(6, ms);
  cr_assert_not(gateway.Sends(2'600));
  gateway.Arrives(6, 2'700);
  cr_assert(gateway.Sends(2'701));
}

Test(configuration_lag, gateway_that_is_always_a_little_behind_serves) {
  LagFixture gateway;
  for (std::int64_t turn = 0; turn < 60; ++turn) {
    const auto leaders = static_cast<std::uint64_t>(10 + turn);
    gateway.LeaderHas(leaders, 330 * turn);
    if (turn > 2) gateway.Arrives(leaders - 2, 330 * turn + 1);
    cr_assert(gateway.Sends(330 * turn + 2), "turn %ld", turn);
  }
}

// With control unavailable nobody can acknowledge a change, and the other gateways may lack the
// same configuration.
Test(configuration_lag, gateway_serves_on_when_no_leader_answers_any_more) {
  LagFixture gateway;
  for (std::int64_t ms = 0; ms <= 2'500; ms += 500) gateway.LeaderHas(6, ms);
  cr_assert_not(gateway.Sends(7'400));
  cr_assert(gateway.Sends(7'600));
}

Test(configuration_lag, follower_reports_a_configuration_while_the_leader_is_silent) {
  LagFixture gateway;
  for (std::int64_t ms = 0; ms <= 2'500; ms += 500) {
    gateway.node.OnFollowerReport({"10.0.0.8:1", 11, {6}}, At(ms));
  }
  cr_assert_not(gateway.Sends(2'600));
}

Test(configuration_lag, reports_are_bounded_and_the_oldest_one_counts) {
  ConfigurationLag lag;
  for (std::uint64_t number = 1; number <= 1'000; ++number) {
    note_report(lag, {number}, {0}, At(static_cast<std::int64_t>(number)));
  }
  cr_assert_leq(lag.missing.size(), 64U);
  cr_assert_not(is_outdated(lag, At(1'999)));
  cr_assert(is_outdated(lag, At(2'002)));
  note_applied(lag, {999});
  cr_assert(is_outdated(lag, At(2'999)), "the joined reports are as old as their first");
  note_applied(lag, {1'000});
  cr_assert_not(is_outdated(lag, At(2'999)));
}
