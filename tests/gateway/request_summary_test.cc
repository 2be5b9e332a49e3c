// What a gateway tells its log of a request that ended.
#include <string>

#include "tests/gateway/gateway_fixture.h"

using namespace graniteseam;
using namespace graniteseam::gateway;
using namespace graniteseam::gateway::test;

namespace {

GatewayEffects EndWithWork(Fixture& fixture, const SendAttempt& send, double percent,
                           std::int64_t ms) {
  AttemptReport report;
  report.request = send.request;
  report.attempt = send.attempt;
  report.end = AttemptEnd::kAnswered;
  report.status = 200;
  report.load = ReportedLoad{1, 0, 2, percent};
  return fixture.node.OnAttemptEnd(report, At(ms));
}

}  // namespace

// Guards against log lines in which a slow server can't be told from a full one.
Test(request_summary, tells_target_and_the_work_time_that_came_with_the_answer) {
  Fixture fixture;
  const auto send = Only<SendAttempt>(fixture.Request("/keyed/x", 0, 7));
  const GatewayEffects effects = EndWithWork(fixture, send, 250, 20);
  cr_assert_eq(effects.ended.size(), 1);
  const RequestSummary& summary = effects.ended[0];
  cr_assert(summary.request == send.request);
  cr_assert(summary.target_latency == std::chrono::milliseconds(200));
  cr_assert(summary.age == Duration{});
  cr_assert(summary.work_percent == 250.0);
}

Test(request_summary, refusal_without_a_route_has_no_target_and_no_server) {
  Fixture fixture;
  const GatewayEffects effects = fixture.Request("/none/x", 0);
  cr_assert_eq(effects.ended.size(), 1);
  cr_assert(effects.ended[0].target_latency == Duration{});
  cr_assert(!effects.ended[0].work_percent);
}

// Guards against a request that counts as in time although its caller had been turned away before.
Test(request_summary, tells_how_long_a_caller_that_came_back_had_been_trying) {
  GatewayOptions options = Fixture::Options();
  options.coordination_address = "10.0.0.9:7000";
  Fixture fixture(/*configured=*/false, options);
  traffic::TrafficUpdate state = Fixture::State();
  state.services[1].lease_form = traffic::LeaseForm::kHeartbeat;
  // Ages are estimated only for coordinated services.
  state.routes[2].target_latency_ms = 800;
  fixture.node.OnUpdate(state, kStart);
  fixture.Confirm(0);
  const auto request = [&](Duration time_left, std::int64_t ms) {
    ArrivedRequest arrived;
    arrived.number = {++fixture.numbers};
    arrived.host = "a.example";
    arrived.path = "/keyed/x";
    arrived.key = 7;
    arrived.time_left = time_left;
    return fixture.End(Only<SendAttempt>(fixture.node.OnRequest(arrived, At(ms))),
                       AttemptEnd::kAnswered, 200, ms + 5);
  };
  constexpr std::int64_t kFirstAttempts = 300;
  for (std::int64_t ms = 0; ms < kFirstAttempts; ++ms) {
    cr_assert(request(std::chrono::seconds(2), ms * 10).ended.at(0).age == Duration{});
  }
  const Duration age = request(std::chrono::seconds(1), kFirstAttempts * 10).ended.at(0).age;
  cr_assert(age > std::chrono::milliseconds(900) && age <= std::chrono::milliseconds(1'000));
}
